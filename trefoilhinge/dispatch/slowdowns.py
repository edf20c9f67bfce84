"""How many times slower than published a target is, from its pauses.

Reading stretches single pauses of any target; a slow one has none that are
short. Of the last few pauses the shortest is compared with a pass in which
nothing is read.
"""

from collections import deque

from attrs import define, field

GAP_WINDOW = 3  # pauses of one target that are looked at together
SLOW_THRESHOLD = 1.7  # times the published pass; ordinary passes stay below
ANNOUNCE_FACTOR = (
    1.4  # a change of that size is announced to the other instances
)
SLOWDOWN_TTL_S = 3.0  # without a new pause, a target is tried again
MAXIMUM_SLOWDOWN = 20.0  # beyond it a target is as good as mute


@define
class _GapHistory:
    ratios: deque[float] = field(factory=lambda: deque(maxlen=GAP_WINDOW))
    slowdown: float = 1.0
    announced: float = 1.0
    updated_s: float = float('-inf')


@define
class SlowdownTable:
    """Paces of targets, seen here or announced by other instances."""

    _targets: dict[str, _GapHistory] = field(factory=dict)

    def record_gap(
        self, target: str, gap_s: float, expected_s: float, now_s: float
    ) -> float | None:
        """Take a pause between two events of one stream.

        :param expected_s: seconds of a pass in which nothing is read.
        :return: the target's new slowdown, if the others should know it.
        """
        known = self._targets.setdefault(target, _GapHistory())
        known.ratios.append(gap_s / max(expected_s, 0.001))
        if len(known.ratios) < GAP_WINDOW:
            return None
        shortest = min(known.ratios)
        slowdown = (
            min(shortest, MAXIMUM_SLOWDOWN) if shortest >= SLOW_THRESHOLD else 1
        )
        self._set(known, slowdown, now_s)
        if max(slowdown, known.announced) < ANNOUNCE_FACTOR * min(
            slowdown, known.announced
        ):
            return None
        known.announced = slowdown
        return slowdown

    def apply_report(self, target: str, slowdown: float, now_s: float) -> None:
        """Take a slowdown that another instance saw."""
        known = self._targets.setdefault(target, _GapHistory())
        known.ratios.clear()
        known.announced = slowdown
        self._set(known, min(slowdown, MAXIMUM_SLOWDOWN), now_s)

    def get(self, target: str, now_s: float) -> float:
        """Return a target's slowdown; 1 if it is as published, or unknown."""
        known = self._targets.get(target)
        if known is None or now_s - known.updated_s > SLOWDOWN_TTL_S:
            return 1
        return known.slowdown

    def _set(self, known: _GapHistory, slowdown: float, now_s: float) -> None:
        known.slowdown = slowdown
        known.updated_s = now_s
