"""How many times slower than published a target is, from its pauses.

Reading stretches single pauses of any target; a slow one has none that are
short. Of the last few pauses the shortest is compared with a pass in which
nothing is read.
"""

from collections import deque

from attrs import define, field

PAUSES_KEPT = 3  # pauses of one target that are looked at together
SLOW_FROM = 1.7  # times the published pass; ordinary passes stay below
NEWS_FACTOR = 1.4  # a change of that size is told to the other instances
KEPT_S = 3.0  # without a new pause, a target is tried again
LARGEST_PACE = 20.0  # beyond it a target is as good as mute


@define
class _Pauses:
    ratios: deque[float] = field(factory=lambda: deque(maxlen=PAUSES_KEPT))
    pace: float = 1.0
    told: float = 1.0
    seen_s: float = float('-inf')


@define
class PaceTable:
    """Paces of targets, seen here or told by other instances."""

    _targets: dict[str, _Pauses] = field(factory=dict)

    def note_pause(
        self, target: str, pause_s: float, expected_s: float, now_s: float
    ) -> float | None:
        """Take a pause between two events of one stream.

        :param expected_s: seconds of a pass in which nothing is read.
        :return: the target's new pace, if the others should know it.
        """
        known = self._targets.setdefault(target, _Pauses())
        known.ratios.append(pause_s / max(expected_s, 0.001))
        if len(known.ratios) < PAUSES_KEPT:
            return None
        shortest = min(known.ratios)
        pace = min(shortest, LARGEST_PACE) if shortest >= SLOW_FROM else 1
        self._set(known, pace, now_s)
        if max(pace, known.told) < NEWS_FACTOR * min(pace, known.told):
            return None
        known.told = pace
        return pace

    def take(self, target: str, pace: float, now_s: float) -> None:
        """Take a pace that another instance saw."""
        known = self._targets.setdefault(target, _Pauses())
        known.ratios.clear()
        known.told = pace
        self._set(known, min(pace, LARGEST_PACE), now_s)

    def find(self, target: str, now_s: float) -> float:
        """Return a target's pace; 1 if it is as published, or unknown."""
        known = self._targets.get(target)
        if known is None or now_s - known.seen_s > KEPT_S:
            return 1
        return known.pace

    def _set(self, known: _Pauses, pace: float, now_s: float) -> None:
        known.pace = pace
        known.seen_s = now_s
