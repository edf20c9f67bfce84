"""When the configuration service is read next."""

import numpy as np
from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.membership.interfaces import Fleet

FIRST_BACK_OFF_S = 0.25
MAXIMUM_BACK_OFF_S = 3.0
# A read that is not answered by then was lost with its thread.
LOST_READ_S = 15.0
SELDOM_S = 30.0
# Of a larger fleet, so many instances watch the service, others each hour.
WATCHERS = 8
MAXIMUM_WATCHING_FLEET = 16
WATCH_TURN_S = 3600


@define
class DocumentReads:
    """Paces watches: at once after news, ever later without.

    A service that is down, or that serves an old document and so answers
    each watch at once, is not asked in a loop.
    """

    _generator: np.random.Generator = field(repr=False)
    _asked_s: float | None = None
    _due_s: float = 0
    _back_off_s: float = 0
    _wait_s: float = 0

    def take_due(self, wait_s: float, now: Instant) -> bool:
        """Return whether to read now, and note that it was asked.

        :param wait_s: seconds that the watch may wait.
        """
        asked_s = self._asked_s
        if asked_s is not None and now.monotonic_s - asked_s < LOST_READ_S:
            return False
        if now.monotonic_s < self._due_s:
            return False
        self._asked_s = now.monotonic_s
        self._wait_s = wait_s
        return True

    def note_answer(self, newer: bool, now: Instant) -> None:
        """Take the end of a read.

        :param newer: whether it brought a newer document.
        """
        asked_s = now.monotonic_s if self._asked_s is None else self._asked_s
        self._asked_s = None
        took_s = now.monotonic_s - asked_s
        held = self._wait_s > 0 and took_s >= self._wait_s
        if newer or held:
            self._back_off_s = 0
        else:
            doubled = max(FIRST_BACK_OFF_S, self._back_off_s * 2)
            self._back_off_s = min(MAXIMUM_BACK_OFF_S, doubled)
        span_s = max(FIRST_BACK_OFF_S, self._back_off_s)
        jitter = float(self._generator.uniform(0.5, 1))
        self._due_s = now.monotonic_s + span_s * jitter

    def defer_unless_chosen(self, fleet: Fleet, now: Instant) -> None:
        """Read seldom where others watch: peers tell what they read."""
        if fleet.count_expected() <= MAXIMUM_WATCHING_FLEET:
            return
        turn = int(now.wall_s // WATCH_TURN_S)
        if fleet.is_chosen(WATCHERS, f'watch-{turn}', now):
            return
        jitter = float(self._generator.uniform(0.5, 1))
        seldom_s = now.monotonic_s + SELDOM_S * jitter
        self._due_s = max(self._due_s, seldom_s)

    def force(self) -> None:
        """Read at the next occasion, whatever was asked before."""
        self._asked_s = None
        self._due_s = 0


def make_document_reads(seed: int) -> DocumentReads:
    """Return a pace that reads at once.

    :param seed: seed of the jitter.
    """
    return DocumentReads(np.random.default_rng(seed))
