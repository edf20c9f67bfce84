"""Which targets are to be avoided, from what became of their calls."""

import enum

from attrs import define, field

FAILURE_WEIGHT = 0.25  # of the newest outcome in the running share
EJECT_SHARE = 0.45  # running share of failures from which a target is avoided
EJECT_S = 1.5  # first time out, doubled up to the longest
LONGEST_EJECT_S = 6.0  # a target is asked again at least this often
MOST_EJECTED = 0.5  # of a service's targets; beyond that all are asked


class Outcome(enum.Enum):
    """What became of an offer."""

    served = 'served'
    rejected = 'rejected'
    failed = 'failed'
    unreachable = 'unreachable'


@define
class _Record:
    failures: float = 0
    eject_s: float = EJECT_S
    until_s: float = float('-inf')


@define
class TargetHealth:
    """Running shares of failures and who is avoided until when."""

    _records: dict[str, _Record] = field(factory=dict)

    def note(self, target: str, outcome: Outcome, now_s: float) -> bool:
        """Take an outcome; return whether the target is newly avoided."""
        record = self._records.setdefault(target, _Record())
        if outcome is Outcome.served:
            record.failures *= 1 - FAILURE_WEIGHT
            record.eject_s = EJECT_S
            return False
        if outcome is Outcome.rejected:
            return False
        record.failures += FAILURE_WEIGHT * (1 - record.failures)
        unreachable = outcome is Outcome.unreachable
        if not unreachable and record.failures < EJECT_SHARE:
            return False
        return self._eject(record, now_s)

    def avoid(self, target: str, duration_s: float, now_s: float) -> None:
        """Avoid a target that another party named as unreachable."""
        record = self._records.setdefault(target, _Record())
        until_s = now_s + min(duration_s, LONGEST_EJECT_S)
        record.until_s = max(record.until_s, until_s)

    def list_usable(self, targets: list[str], now_s: float) -> list[str]:
        """Return targets that may be asked; all if most would be avoided."""
        usable = [
            name
            for name in targets
            if name not in self._records or self._records[name].until_s <= now_s
        ]
        if len(usable) < len(targets) * MOST_EJECTED:
            return targets
        return usable

    def _eject(self, record: _Record, now_s: float) -> bool:
        is_news = record.until_s <= now_s
        if is_news:
            record.until_s = now_s + record.eject_s
            record.eject_s = min(LONGEST_EJECT_S, record.eject_s * 2)
        return is_news
