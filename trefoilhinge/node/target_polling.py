"""Round-robin polling of targets with a bounded read rate."""

from collections import deque

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.membership.interfaces import TargetView

MAXIMUM_READS_PER_S = 60.0
MAXIMUM_READ_BURST = 64


@define
class TargetPoller:
    """Selects the targets that are due to be read.

    A small number of targets is read at the configured interval. A large
    number is read round-robin at ``MAXIMUM_READS_PER_S``, so that the cost of
    the control plane does not grow with the number of targets.

    :ivar interval_s: minimum seconds between two reads of one target.
    """

    interval_s: float
    _targets: dict[TargetName, TargetView] = field(factory=dict)
    _queue: deque[TargetName] = field(factory=deque)
    _last_read_s: dict[TargetName, float] = field(factory=dict)
    _read_credit: float = MAXIMUM_READ_BURST
    _refilled_s: float = 0

    def replace_targets(self, targets: tuple[TargetView, ...]) -> None:
        """Replace the targets; new ones come first, others keep their order."""
        previous = self._targets
        self._targets = {one.name: one for one in targets}
        kept = [name for name in self._queue if name in self._targets]
        added = [name for name in self._targets if name not in previous]
        self._queue = deque((*added, *kept))
        self._last_read_s = {
            name: last_read_s
            for name, last_read_s in self._last_read_s.items()
            if name in self._targets
        }

    def take_due(self, now: Instant) -> tuple[TargetView, ...]:
        """Return the targets to read now and record them as read."""
        self._refill(now.monotonic_s)
        due: list[TargetView] = []
        while self._queue and self._read_credit >= 1:
            name = self._queue[0]
            if not self._is_due(name, now.monotonic_s):
                break
            self._read_credit -= 1
            self._last_read_s[name] = now.monotonic_s
            self._queue.rotate(-1)
            due.append(self._targets[name])
        return tuple(due)

    def _is_due(self, name: TargetName, now_s: float) -> bool:
        last_read_s = self._last_read_s.get(name)
        return last_read_s is None or now_s - last_read_s >= self.interval_s

    def _refill(self, now_s: float) -> None:
        earned = max(0, now_s - self._refilled_s) * MAXIMUM_READS_PER_S
        self._read_credit = min(MAXIMUM_READ_BURST, self._read_credit + earned)
        self._refilled_s = now_s
