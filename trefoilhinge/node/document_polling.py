"""Schedules reads of the configuration service."""

import numpy as np
from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.membership.interfaces import Fleet

INITIAL_BACKOFF_S = 0.25
MAXIMUM_BACKOFF_S = 3.0
# A read without a response by then was lost together with its thread.
READ_TIMEOUT_S = 15.0
UNSELECTED_INTERVAL_S = 30.0
# In a fleet of more than MAXIMUM_INSTANCES_ALL_WATCHING, only this many
# instances watch the service; the selection changes every hour.
WATCHING_INSTANCES = 8
MAXIMUM_INSTANCES_ALL_WATCHING = 16
WATCHER_ROTATION_S = 3600


@define
class DocumentPoller:
    """Schedules watches: soon after a new document, with backoff without one.

    Backoff prevents a busy loop against a service that is down, or one that
    serves an outdated document and therefore responds to every watch at once.
    """

    _generator: np.random.Generator = field(repr=False)
    _requested_s: float | None = None
    _due_s: float = 0
    _backoff_s: float = 0
    _wait_s: float = 0

    def take_due(self, wait_s: float, now: Instant) -> bool:
        """Return whether a read is due; if so, record it as started.

        :param wait_s: seconds for which the service may hold the watch open.
        """
        requested_s = self._requested_s
        if (
            requested_s is not None
            and now.monotonic_s - requested_s < READ_TIMEOUT_S
        ):
            return False
        if now.monotonic_s < self._due_s:
            return False
        self._requested_s = now.monotonic_s
        self._wait_s = wait_s
        return True

    def note_read(self, newer: bool, now: Instant) -> None:
        """Record the end of a read and schedule the next one.

        :param newer: whether the read returned a newer document.
        """
        requested_s = (
            now.monotonic_s if self._requested_s is None else self._requested_s
        )
        self._requested_s = None
        took_s = now.monotonic_s - requested_s
        held = self._wait_s > 0 and took_s >= self._wait_s
        if newer or held:
            self._backoff_s = 0
        else:
            doubled = max(INITIAL_BACKOFF_S, self._backoff_s * 2)
            self._backoff_s = min(MAXIMUM_BACKOFF_S, doubled)
        span_s = max(INITIAL_BACKOFF_S, self._backoff_s)
        jitter = float(self._generator.uniform(0.5, 1))
        self._due_s = now.monotonic_s + span_s * jitter

    def defer_unless_selected(self, fleet: Fleet, now: Instant) -> None:
        """Defer the next read if this instance is not selected to watch.

        In a large fleet the selected instances pass on what they read, so the
        others read at intervals of up to ``UNSELECTED_INTERVAL_S``.
        """
        if fleet.count_expected() <= MAXIMUM_INSTANCES_ALL_WATCHING:
            return
        rotation = int(now.wall_s // WATCHER_ROTATION_S)
        if fleet.is_selected(WATCHING_INSTANCES, f'watch-{rotation}', now):
            return
        jitter = float(self._generator.uniform(0.5, 1))
        later_s = now.monotonic_s + UNSELECTED_INTERVAL_S * jitter
        self._due_s = max(self._due_s, later_s)

    def force(self) -> None:
        """Make a read due now, even if one is in progress."""
        self._requested_s = None
        self._due_s = 0


def make_document_poller(seed: int) -> DocumentPoller:
    """Return a poller whose first read is due at once.

    :param seed: seed of the jitter.
    """
    return DocumentPoller(np.random.default_rng(seed))
