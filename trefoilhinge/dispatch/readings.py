"""Prompts that one target reads, one after the other."""

from attrs import define, field

RunKey = tuple[str, int]


@define
class ReadingQueue:
    """What a target has to read, in the order in which it came.

    :ivar at_s: monotonic seconds for which the figures hold.
    """

    at_s: float = float('-inf')
    _left_s: dict[RunKey, float] = field(factory=dict)

    def add(self, key: RunKey, reading_s: float, now_s: float) -> None:
        """Take that a prompt came that is read in so many seconds."""
        self._advance(now_s)
        self._left_s[key] = reading_s

    def drop(self, key: RunKey, now_s: float) -> None:
        """Take that a prompt was read, or never will be."""
        self._advance(now_s)
        self._left_s.pop(key, None)

    def find_backlog_s(self, at_s: float) -> float:
        """Return seconds that a prompt waits that comes at a time.

        :param at_s: monotonic seconds, not before the last change.
        """
        return max(0, self.at_s + sum(self._left_s.values()) - at_s)

    def _advance(self, now_s: float) -> None:
        spent_s = now_s - self.at_s
        for key, left_s in self._left_s.items():
            done_s = min(left_s, max(0, spent_s))
            self._left_s[key] = left_s - done_s
            spent_s -= done_s
        self.at_s = max(self.at_s, now_s)
