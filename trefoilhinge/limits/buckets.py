"""Token buckets whose rate is this instance's share of a fleet-wide rate."""

from attrs import define


@define
class TokenBucket:
    """One bucket; a call may take it below zero, which later calls wait out.

    :ivar level: what may still be taken.
    :ivar filled_s: monotonic seconds at which the level was worked out.
    """

    level: float
    refilled_s: float

    def refill(self, rate: float, burst: float, now_s: float) -> None:
        """Add what was earned since the last time.

        :param rate: units a second.
        :param burst: most that the bucket holds.
        """
        earned = max(0, now_s - self.refilled_s) * rate
        self.level = min(burst, self.level + earned)
        self.refilled_s = max(self.refilled_s, now_s)

    def compute_wait_s(self, rate: float) -> float:
        """Return seconds until something may be taken again."""
        if self.level > 0 or rate <= 0:
            return 0
        return -self.level / rate


def make_empty_bucket(now_s: float) -> TokenBucket:
    """Return a bucket of an instance that has just started.

    It is empty: an instance that restarts often would otherwise grant a
    full burst at each start.
    """
    return TokenBucket(0, now_s)
