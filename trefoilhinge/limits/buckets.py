"""Token buckets filled at this instance's share of a fleet-wide rate."""

from attrs import define


@define
class TokenBucket:
    """Token bucket that may go into debt.

    A call may take the level below zero; later calls wait until it is
    positive again.

    :ivar level: units available, negative while in debt.
    :ivar refilled_s: monotonic seconds of the last refill.
    """

    level: float
    refilled_s: float

    def refill(self, rate: float, burst: float, now_s: float) -> None:
        """Add the units accrued since the last refill.

        :param rate: units per second.
        :param burst: capacity of the bucket, in units.
        :param now_s: monotonic seconds.
        """
        accrued = max(0, now_s - self.refilled_s) * rate
        self.level = min(burst, self.level + accrued)
        self.refilled_s = max(self.refilled_s, now_s)

    def compute_wait_s(self, rate: float) -> float:
        """Return the seconds until the level is positive again."""
        if self.level > 0 or rate <= 0:
            return 0
        return -self.level / rate


def make_empty_bucket(now_s: float) -> TokenBucket:
    """Return an empty bucket.

    It does not start full because an instance that restarts often would
    otherwise grant a full burst at each start.
    """
    return TokenBucket(0, now_s)
