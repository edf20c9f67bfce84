"""Prompts that one target reads or is about to read, one after the other."""

from attrs import define, field

OVERDUE_S = 0.1  # two passes; longer waits leave engines idle
UNSENT_S = 0.1  # more for a prompt that waits itself; its instance may be gone

RunKey = tuple[str, int]


@define
class Reading:
    """One prompt, or a part of one.

    :ivar begin_s: monotonic seconds before which it does not begin.
    :ivar left_s: seconds of reading that are left of it.
    :ivar is_joint: whether other targets read parts of the same prompt.
    :ivar is_sent: whether the target has it.
    :ivar overdue_s: monotonic seconds from which nobody waits for it any more.
    """

    begin_s: float
    left_s: float
    is_joint: bool
    is_sent: bool
    overdue_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Find when it is overdue."""
        unsent_s = 0 if self.is_sent else UNSENT_S
        self.overdue_s = self.begin_s + self.left_s + OVERDUE_S + unsent_s


@define
class ReadingQueue:
    """What a target has to read, in the order in which it was told.

    An engine reads joint prompts before others and the newest of them first,
    so that one which comes too early holds up all that are read there.

    :ivar at_s: monotonic seconds for which the readings hold.
    :ivar busy_until_s: monotonic seconds at which all that ever came was to
        be read.
    """

    at_s: float = float('-inf')
    busy_until_s: float = float('-inf')
    _readings: dict[RunKey, Reading] = field(factory=dict)

    def add(self, key: RunKey, reading: Reading, now_s: float) -> None:
        """Take that a prompt is read, or about to be."""
        self._advance(now_s)
        self._readings[key] = reading
        self.busy_until_s = now_s + self.find_backlog_s(now_s)

    def note_sent(self, key: RunKey, now_s: float) -> None:
        """Take that a prompt which waited was sent."""
        self._advance(now_s)
        known = self._readings.get(key)
        if known is not None and not known.is_sent:
            self._readings[key] = Reading(
                now_s, known.left_s, known.is_joint, is_sent=True
            )

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
            if reached_s >= now_s or not reading.is_sent:
                break
            done_s = min(reading.left_s, now_s - reached_s)
            reading.left_s -= done_s
            reached_s += done_s
        self.at_s = max(self.at_s, now_s)
