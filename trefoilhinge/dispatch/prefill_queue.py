"""Queue of the prefills that are pending at one target."""

from attrs import define, field

OVERDUE_GRACE_S = 0.1  # two iterations; a longer wait leaves engines idle
# Added for a prompt that is not sent yet: its instance may have failed.
UNSENT_GRACE_S = 0.1

RunKey = tuple[str, int]


@define
class Prefill:
    """Pending prefill of a prompt or of a part of one.

    :ivar start_s: monotonic seconds before which it does not start.
    :ivar remaining_s: seconds of prefill that remain.
    :ivar is_grouped: whether other targets prefill parts of the same prompt.
    :ivar is_sent: whether it was sent to the target.
    :ivar expires_s: monotonic seconds from which other prompts no longer wait
        for it.
    """

    start_s: float
    remaining_s: float
    is_grouped: bool
    is_sent: bool
    expires_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the time of expiry."""
        grace_s = 0 if self.is_sent else UNSENT_GRACE_S
        self.expires_s = (
            self.start_s + self.remaining_s + OVERDUE_GRACE_S + grace_s
        )


@define
class PrefillQueue:
    """Prefills pending at one target, in the order of their reports.

    An engine prefills the prompts of groups before others, and the newest of
    them first, so a prompt that is sent too early delays all group prefills
    that are in progress there.

    :ivar updated_s: monotonic seconds at which the remaining times were
        computed.
    :ivar busy_until_s: monotonic seconds at which all prefills added so far
        were expected to be complete.
    """

    updated_s: float = float('-inf')
    busy_until_s: float = float('-inf')
    _prefills: dict[RunKey, Prefill] = field(factory=dict)

    def add(self, key: RunKey, prefill: Prefill, now_s: float) -> None:
        """Add a prefill that is in progress or about to start."""
        self._advance(now_s)
        self._prefills[key] = prefill
        self.busy_until_s = now_s + self.estimate_backlog_s(now_s)

    def record_sent(self, key: RunKey, now_s: float) -> None:
        """Record that a delayed prompt was sent."""
        self._advance(now_s)
        known = self._prefills.get(key)
        if known is not None and not known.is_sent:
            self._prefills[key] = Prefill(
                now_s, known.remaining_s, known.is_grouped, is_sent=True
            )

    def remove(self, key: RunKey, now_s: float) -> None:
        """Remove a prefill that is complete or was cancelled."""
        self._advance(now_s)
        self._prefills.pop(key, None)

    def estimate_backlog_s(self, at_s: float) -> float:
        """Return seconds of prefill ahead of a prompt that arrives at a time.

        :param at_s: monotonic seconds, not before the last change.
        """
        free_s = self.updated_s
        for prefill in self._prefills.values():
            free_s = max(free_s, prefill.start_s) + prefill.remaining_s
        return max(0, free_s - at_s)

    def find_send_time_s(self, key: RunKey, now_s: float) -> float:
        """Return the time until which a prompt waits before it is sent.

        :return: monotonic seconds at which all group prefills ahead of it
            have expired; ``now_s`` if none is pending.
        """
        send_s = now_s
        for other, prefill in self._prefills.items():
            if other == key:
                break
            if prefill.is_grouped:
                send_s = max(send_s, prefill.expires_s)
        return send_s

    def _advance(self, now_s: float) -> None:
        reached_s = self.updated_s
        for prefill in self._prefills.values():
            reached_s = max(reached_s, prefill.start_s)
            if reached_s >= now_s or not prefill.is_sent:
                break
            done_s = min(prefill.remaining_s, now_s - reached_s)
            prefill.remaining_s -= done_s
            reached_s += done_s
        self.updated_s = max(self.updated_s, now_s)
