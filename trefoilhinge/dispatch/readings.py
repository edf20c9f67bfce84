"""Prompts that one target reads or is about to read, one after the other."""

from attrs import define, field

RunKey = tuple[str, int]


@define
class Reading:
    """One prompt, or a part of one.

    :ivar begin_s: monotonic seconds before which it does not begin.
    :ivar left_s: seconds of reading that are left of it.
    """

    begin_s: float
    left_s: float


@define
class ReadingQueue:
    """What a target has to read, in the order in which it begins.

    A target never stands still while something may begin: a prompt that is
    told ahead of its time delays none that comes before it.

    :ivar at_s: monotonic seconds for which the readings hold.
    """

    at_s: float = float('-inf')
    _readings: dict[RunKey, Reading] = field(factory=dict)

    def add(
        self, key: RunKey, begin_s: float, reading_s: float, now_s: float
    ) -> None:
        """Take that a prompt is to be read from a time on."""
        self._advance(now_s)
        self._readings[key] = Reading(begin_s, reading_s)

    def drop(self, key: RunKey, now_s: float) -> None:
        """Take that a prompt was read, or never will be."""
        self._advance(now_s)
        self._readings.pop(key, None)

    def find_backlog_s(self, at_s: float) -> float:
        """Return seconds that a prompt waits that comes at a time.

        :param at_s: monotonic seconds, not before the last change.
        """
        finish_s = self.at_s
        for reading in self._sort():
            if reading.begin_s > at_s:
                break
            finish_s = max(finish_s, reading.begin_s) + reading.left_s
        return max(0, finish_s - at_s)

    def find_coming_s(self, at_s: float) -> float:
        """Return the longest reading that begins after a time."""
        return max(
            (
                reading.left_s
                for reading in self._readings.values()
                if reading.begin_s > at_s
            ),
            default=0,
        )

    def _advance(self, now_s: float) -> None:
        reached_s = self.at_s
        for reading in self._sort():
            reached_s = max(reached_s, reading.begin_s)
            if reached_s >= now_s:
                break
            done_s = min(reading.left_s, now_s - reached_s)
            reading.left_s -= done_s
            reached_s += done_s
        self.at_s = max(self.at_s, now_s)

    def _sort(self) -> list[Reading]:
        return sorted(
            self._readings.values(), key=lambda reading: reading.begin_s
        )
