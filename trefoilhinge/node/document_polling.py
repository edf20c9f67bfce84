"""When the configuration service is read next."""

import numpy as np
from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.membership.interfaces import Fleet

INITIAL_BACKOFF_S = 0.25
MAXIMUM_BACKOFF_S = 3.0
# A read that is not answered by then was lost with its thread.
READ_TIMEOUT_S = 15.0
UNSELECTED_INTERVAL_S = 30.0
# Of a larger fleet, so many instances watch the service, others each hour.
WATCHING_INSTANCES = 8
MAXIMUM_INSTANCES_ALL_WATCHING = 16
WATCHER_ROTATION_S = 3600


@define
class DocumentPoller:
    """Paces watches: at once after news, ever later without.

    A service that is down, or that serves an old document and so answers
    each watch at once, is not asked in a loop.
    """

    _generator: np.random.Generator = field(repr=False)
    _requested_s: float | None = None
    _due_s: float = 0
    _backoff_s: float = 0
    _wait_s: float = 0

    def take_due(self, wait_s: float, now: Instant) -> bool:
        """Return whether to read now, and note that it was asked.

        :param wait_s: seconds that the watch may wait.
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

    def note_answer(self, newer: bool, now: Instant) -> None:
        """Take the end of a read.

        :param newer: whether it brought a newer document.
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
        """Read seldom where others watch: peers tell what they read."""
        if fleet.count_expected() <= MAXIMUM_INSTANCES_ALL_WATCHING:
            return
        turn = int(now.wall_s // WATCHER_ROTATION_S)
        if fleet.is_chosen(WATCHING_INSTANCES, f'watch-{turn}', now):
            return
        jitter = float(self._generator.uniform(0.5, 1))
        later_s = now.monotonic_s + UNSELECTED_INTERVAL_S * jitter
        self._due_s = max(self._due_s, later_s)

    def force(self) -> None:
        """Read at the next occasion, whatever was asked before."""
        self._requested_s = None
        self._due_s = 0


def make_document_poller(seed: int) -> DocumentPoller:
    """Return a pace that reads at once.

    :param seed: seed of the jitter.
    """
    return DocumentPoller(np.random.default_rng(seed))
