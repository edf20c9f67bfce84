"""Run a gateway instance: ``python -m trefoilhinge.gateway``."""

from trefoilhinge.gateway.daemon import run_gateway

run_gateway()
