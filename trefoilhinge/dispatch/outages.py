"""Outages of the platform's store, and the entries that may expire in them."""

from attrs import define, field

# Entries that expired in an outage are registered again within this time
# after the store's return.
REREGISTRATION_GRACE_S = 2.0
# Between two looks for entries whose grace period is over.
EXPIRY_CHECK_S = 0.1
# An entry expires after three registration intervals without a registration;
# the last one may be an interval old when the outage begins.
EXPIRY_INTERVALS = 2


@define
class StoreOutages:
    """Tells whether a missing entry was removed or may have expired.

    A target whose entry expired is still alive, and registers again while the
    store answers. Time in which the store does not answer is not counted, but
    no entry gets more than the grace period, however often the store fails.
    An instance does not know of outages before the store's first answer, so
    that entries may have expired until then.

    :ivar registration_interval_s: seconds between two registrations of a
        target. Zero if unknown: entries may expire in each outage.
    :ivar unreachable_since_s: monotonic seconds since which the store does
        not answer; none while it does.
    :ivar reachable_since_s: monotonic seconds of the store's last return.
    """

    registration_interval_s: float = 0
    unreachable_since_s: float | None = None
    reachable_since_s: float = 0
    _has_answered: bool = field(default=False, init=False)
    _reachable_s: float = field(default=0, init=False)
    _grace_ends_at: float = field(default=float('-inf'), init=False)

    @property
    def minimum_expiry_s(self) -> float:
        """Return seconds of the shortest outage in which entries expire."""
        return EXPIRY_INTERVALS * self.registration_interval_s

    def mark_unreachable(self, since_s: float) -> None:
        """Record that the store does not answer.

        :param since_s: monotonic seconds of the first sign of it.
        """
        if self.unreachable_since_s is None:
            self._reachable_s = self.count_reachable_s(since_s)
            self.unreachable_since_s = since_s

    def mark_reachable(self, now_s: float) -> None:
        """Record that the store answered."""
        if self._is_reachable:
            return
        is_expiry_possible = self._is_expiry_possible(now_s)
        self._record_return(now_s)
        if is_expiry_possible:
            self._begin_grace()

    def mark_silent(self, since_s: float, now_s: float) -> None:
        """Record a read that got nothing before the next one was answered.

        It was an outage only if it lasted so long that entries may have
        expired; a store that cuts a watch is not away.
        """
        if 0 < self.minimum_expiry_s <= now_s - since_s:
            self.mark_unreachable(since_s)
            self.mark_reachable(now_s)

    def mark_restored(self, now_s: float) -> None:
        """Record that the store lost entries that are registered again."""
        self.mark_unreachable(now_s)
        self._record_return(now_s)
        self._begin_grace()

    def count_reachable_s(self, now_s: float) -> float:
        """Return for how many seconds the store has answered, all in all."""
        if not self._is_reachable:
            return self._reachable_s
        return self._reachable_s + max(0, now_s - self.reachable_since_s)

    def count_unreachable_s(self, now_s: float) -> float:
        """Return for how many seconds the store has not answered."""
        if self.unreachable_since_s is None:
            return 0
        return now_s - self.unreachable_since_s

    def find_grace_end(self, now_s: float) -> float | None:
        """Return until when an entry that is missing now may come back.

        :return: a value of ``count_reachable_s``; none if the entry cannot
            have expired.
        """
        reachable_s = self.count_reachable_s(now_s)
        if self._is_expiry_possible(now_s):
            return reachable_s + REREGISTRATION_GRACE_S
        if reachable_s <= self._grace_ends_at:
            return self._grace_ends_at
        return None

    @property
    def _is_reachable(self) -> bool:
        return self._has_answered and self.unreachable_since_s is None

    def _record_return(self, now_s: float) -> None:
        self._has_answered = True
        self.unreachable_since_s = None
        self.reachable_since_s = now_s

    def _begin_grace(self) -> None:
        self._grace_ends_at = self._reachable_s + REREGISTRATION_GRACE_S

    def _is_expiry_possible(self, now_s: float) -> bool:
        """Return whether entries may have expired while it does not answer."""
        if not self._has_answered:
            return True
        return (
            self.unreachable_since_s is not None
            and self.count_unreachable_s(now_s) >= self.minimum_expiry_s
        )
