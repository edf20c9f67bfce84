"""Detection of targets that are slower than their published profile.

A prefill lengthens single gaps between events at any target, while a slow
target has no short gaps at all. Therefore the shortest of the last few gaps is
compared with the duration of an iteration without prefill.
"""

from collections import deque

from attrs import define, field

GAP_WINDOW = 3  # gaps of one target that are evaluated together
# Multiple of the published iteration time; normal iterations stay below it.
SLOW_THRESHOLD = 1.7
# A change by this factor is announced to the other instances.
ANNOUNCE_FACTOR = 1.4
SLOWDOWN_TTL_S = 3.0  # without new gaps, a slow target is tried again
MAXIMUM_SLOWDOWN = 20.0  # cap; a slower target is as good as unresponsive


@define
class _GapHistory:
    ratios: deque[float] = field(factory=lambda: deque(maxlen=GAP_WINDOW))
    slowdown: float = 1.0
    announced: float = 1.0
    updated_s: float = float('-inf')


@define
class SlowdownTable:
    """Slowdowns of targets, observed here or announced by other instances."""

    _targets: dict[str, _GapHistory] = field(factory=dict)

    def record_gap(
        self, target: str, gap_s: float, expected_s: float, now_s: float
    ) -> float | None:
        """Record a gap between two events of one stream.

        :param expected_s: seconds of an iteration without prefill.
        :return: the slowdown to announce to the other instances, none if it
            has not changed enough.
        """
        history = self._targets.setdefault(target, _GapHistory())
        history.ratios.append(gap_s / max(expected_s, 0.001))
        if len(history.ratios) < GAP_WINDOW:
            return None
        shortest = min(history.ratios)
        slowdown = (
            min(shortest, MAXIMUM_SLOWDOWN) if shortest >= SLOW_THRESHOLD else 1
        )
        self._set(history, slowdown, now_s)
        if max(slowdown, history.announced) < ANNOUNCE_FACTOR * min(
            slowdown, history.announced
        ):
            return None
        history.announced = slowdown
        return slowdown

    def apply_report(self, target: str, slowdown: float, now_s: float) -> None:
        """Apply a slowdown that another instance announced."""
        history = self._targets.setdefault(target, _GapHistory())
        history.ratios.clear()
        history.announced = slowdown
        self._set(history, min(slowdown, MAXIMUM_SLOWDOWN), now_s)

    def get(self, target: str, now_s: float) -> float:
        """Return a target's slowdown; 1 if it is not slow or unknown."""
        history = self._targets.get(target)
        if history is None or now_s - history.updated_s > SLOWDOWN_TTL_S:
            return 1
        return history.slowdown

    def forget(self, target: str) -> None:
        """Forget what is known of a target that has started again."""
        self._targets.pop(target, None)

    def _set(self, history: _GapHistory, slowdown: float, now_s: float) -> None:
        history.slowdown = slowdown
        history.updated_s = now_s
