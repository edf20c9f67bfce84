"""Prompts that one target reads or is about to read, one after the other."""

from attrs import define, field

OVERDUE_GRACE_S = 0.1  # two passes; longer waits leave engines idle
UNSENT_GRACE_S = (
    0.1  # more for a prompt that waits itself; its instance may be gone
)

RunKey = tuple[str, int]


@define
class Prefill:
    """One prompt, or a part of one.

    :ivar start_s: monotonic seconds before which it does not begin.
    :ivar remaining_s: seconds of reading that are left of it.
    :ivar is_grouped: whether other targets read parts of the same prompt.
    :ivar is_sent: whether the target has it.
    :ivar expires_s: monotonic seconds from which nobody waits for it any more.
    """

    start_s: float
    remaining_s: float
    is_grouped: bool
    is_sent: bool
    expires_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Find when it is overdue."""
        unsent_s = 0 if self.is_sent else UNSENT_GRACE_S
        self.expires_s = (
            self.start_s + self.remaining_s + OVERDUE_GRACE_S + unsent_s
        )


@define
class PrefillQueue:
    """What a target has to read, in the order in which it was told.

    An engine reads joint prompts before others and the newest of them first,
    so that one which comes too early holds up all that are read there.

    :ivar updated_s: monotonic seconds for which the readings hold.
    :ivar busy_until_s: monotonic seconds at which all that ever came was to
        be read.
    """

    updated_s: float = float('-inf')
    busy_until_s: float = float('-inf')
    _prefills: dict[RunKey, Prefill] = field(factory=dict)

    def add(self, key: RunKey, reading: Prefill, now_s: float) -> None:
        """Take that a prompt is read, or about to be."""
        self._advance(now_s)
        self._prefills[key] = reading
        self.busy_until_s = now_s + self.estimate_backlog_s(now_s)

    def record_sent(self, key: RunKey, now_s: float) -> None:
        """Take that a prompt which waited was sent."""
        self._advance(now_s)
        known = self._prefills.get(key)
        if known is not None and not known.is_sent:
            self._prefills[key] = Prefill(
                now_s, known.remaining_s, known.is_grouped, is_sent=True
            )

    def remove(self, key: RunKey, now_s: float) -> None:
        """Take that a prompt was read, or never will be."""
        self._advance(now_s)
        self._prefills.pop(key, None)

    def estimate_backlog_s(self, at_s: float) -> float:
        """Return seconds that a prompt waits that comes at a time.

        :param at_s: monotonic seconds, not before the last change.
        """
        free_s = self.updated_s
        for reading in self._prefills.values():
            free_s = max(free_s, reading.start_s) + reading.remaining_s
        return max(0, free_s - at_s)

    def find_send_time_s(self, key: RunKey, now_s: float) -> float:
        """Return when a prompt's turn comes at the latest.

        :return: monotonic seconds, not after the present if all joint
            readings ahead of it have ended.
        """
        turn_s = now_s
        for other, reading in self._prefills.items():
            if other == key:
                break
            if reading.is_grouped:
                turn_s = max(turn_s, reading.expires_s)
        return turn_s

    def _advance(self, now_s: float) -> None:
        reached_s = self.updated_s
        for reading in self._prefills.values():
            reached_s = max(reached_s, reading.start_s)
            if reached_s >= now_s or not reading.is_sent:
                break
            done_s = min(reading.remaining_s, now_s - reached_s)
            reading.remaining_s -= done_s
            reached_s += done_s
        self.updated_s = max(self.updated_s, now_s)
