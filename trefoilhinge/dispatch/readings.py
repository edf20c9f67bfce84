"""Prompts that one target reads or is about to read, one after the other."""

from attrs import define, field

RunKey = tuple[str, int]


@define
class Reading:
    """One prompt, or a part of one.

    :ivar begin_s: monotonic seconds before which it does not begin.
    :ivar left_s: seconds of reading that are left of it.
    :ivar overdue_s: monotonic seconds from which nobody waits for it any more.
    :ivar is_joint: whether other targets read parts of the same prompt.
    """

    begin_s: float
    left_s: float
    overdue_s: float
    is_joint: bool


@define
class ReadingQueue:
    """What a target has to read, in the order in which it was told.

    An engine reads joint prompts before others and the newest of them first,
    so that one which comes too early holds up all that are read there.

    :ivar at_s: monotonic seconds for which the readings hold.
    """

    at_s: float = float('-inf')
    _readings: dict[RunKey, Reading] = field(factory=dict)

    def add(self, key: RunKey, reading: Reading, now_s: float) -> None:
        """Take that a prompt is read, or about to be."""
        self._advance(now_s)
        self._readings[key] = reading

    def drop(self, key: RunKey, now_s: float) -> None:
        """Take that a prompt was read, or never will be."""
        self._advance(now_s)
        self._readings.pop(key, None)

    def find_backlog_s(self, at_s: float) -> float:
        """Return seconds that a prompt waits that comes at a time.

        :param at_s: monotonic seconds, not before the last change.
        """
        free_s = self.at_s
        for reading in self._readings.values():
            free_s = max(free_s, reading.begin_s) + reading.left_s
        return max(0, free_s - at_s)

    def find_turn_s(self, key: RunKey, now_s: float) -> float:
        """Return when a prompt's turn comes at the latest.

        :return: monotonic seconds, not after the present if all joint
            readings ahead of it have ended.
        """
        turn_s = now_s
        for other, reading in self._readings.items():
            if other == key:
                break
            if reading.is_joint:
                turn_s = max(turn_s, reading.overdue_s)
        return turn_s

    def _advance(self, now_s: float) -> None:
        reached_s = self.at_s
        for reading in self._readings.values():
            reached_s = max(reached_s, reading.begin_s)
            if reached_s >= now_s:
                break
            done_s = min(reading.left_s, now_s - reached_s)
            reading.left_s -= done_s
            reached_s += done_s
        self.at_s = max(self.at_s, now_s)
