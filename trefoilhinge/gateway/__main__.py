"""Run a gateway instance: ``python -m trefoilhinge.gateway``."""

from trefoilhinge.gateway.early_signals import record_signals

record_signals()

from trefoilhinge.gateway.daemon import run_gateway  # noqa: E402

run_gateway()
