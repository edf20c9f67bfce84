"""Which targets are to be avoided, from what became of their calls."""

import enum

from attrs import define, field

FAILURE_EWMA_WEIGHT = 0.25  # of the newest outcome in the running share
EJECTION_FAILURE_RATE = (
    0.45  # running share of failures from which a target is avoided
)
INITIAL_EJECTION_S = 1.5  # first time out, doubled up to the longest
MAXIMUM_EJECTION_S = 6.0  # a target is asked again at least this often
MINIMUM_HEALTHY_SHARE = (
    0.5  # of the targets in reach; with fewer, failing ones too
)


class Outcome(enum.Enum):
    """What became of an offer."""

    served = 'served'
    rejected = 'rejected'
    failed = 'failed'
    unreachable = 'unreachable'


@define
class _Record:
    failures: float = 0
    eject_s: float = INITIAL_EJECTION_S
    failing_until_s: float = float('-inf')
    gone_until_s: float = float('-inf')


@define
class TargetHealth:
    """Running shares of failures and who is avoided until when.

    A target that cannot be reached is avoided as long as any other can. One
    that fails calls is avoided only while enough others do not.
    """

    _records: dict[str, _Record] = field(factory=dict)

    def record_outcome(
        self, target: str, outcome: Outcome, now_s: float
    ) -> bool:
        """Take an outcome; return whether the target is newly avoided."""
        record = self._records.setdefault(target, _Record())
        if outcome is Outcome.served:
            record.failures *= 1 - FAILURE_EWMA_WEIGHT
            record.eject_s = INITIAL_EJECTION_S
            return False
        if outcome is Outcome.rejected:
            return False
        record.failures += FAILURE_EWMA_WEIGHT * (1 - record.failures)
        until_s = now_s + record.eject_s
        if outcome is Outcome.unreachable:
            is_news = record.gone_until_s <= now_s
            record.gone_until_s = max(record.gone_until_s, until_s)
        else:
            is_news = (
                record.failures >= EJECTION_FAILURE_RATE
                and record.failing_until_s <= now_s
            )
            if is_news:
                record.failing_until_s = until_s
        if is_news:
            record.eject_s = min(MAXIMUM_EJECTION_S, record.eject_s * 2)
        return is_news

    def eject(self, target: str, duration_s: float, now_s: float) -> None:
        """Avoid a target that another party named as unreachable."""
        record = self._records.setdefault(target, _Record())
        until_s = now_s + min(duration_s, MAXIMUM_EJECTION_S)
        record.gone_until_s = max(record.gone_until_s, until_s)

    def list_usable(self, targets: list[str], now_s: float) -> list[str]:
        """Return targets that may be asked; never none of some."""
        known = self._records
        reached = [
            name
            for name in targets
            if name not in known or known[name].gone_until_s <= now_s
        ]
        if not reached:
            return targets
        usable = [
            name
            for name in reached
            if name not in known or known[name].failing_until_s <= now_s
        ]
        if len(usable) < len(reached) * MINIMUM_HEALTHY_SHARE:
            return reached
        return usable
