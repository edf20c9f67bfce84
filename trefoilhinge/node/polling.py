"""Paces the reads of targets: each in turn, so many a second at most."""

from collections import deque

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.membership.interfaces import TargetView

MAXIMUM_READS_PER_S = 60.0
MAXIMUM_READS_AT_ONCE = 64


@define
class TargetPoller:
    """Hands out the targets whose turn to be read has come.

    A fleet of few targets is read at the wanted interval; one of many is
    read in turn at the highest rate, so that the cost of control does not
    grow with the number of targets.

    :ivar interval_s: seconds between two reads of one target at the least.
    """

    interval_s: float
    _targets: dict[TargetName, TargetView] = field(factory=dict)
    _turns: deque[TargetName] = field(factory=deque)
    _read_s: dict[TargetName, float] = field(factory=dict)
    _allowance: float = MAXIMUM_READS_AT_ONCE
    _filled_s: float = 0

    def replace_targets(self, targets: tuple[TargetView, ...]) -> None:
        """Take the whole list of targets; those that stay keep their turn."""
        before = self._targets
        self._targets = {one.name: one for one in targets}
        stayed = [name for name in self._turns if name in self._targets]
        came = [name for name in self._targets if name not in before]
        self._turns = deque((*came, *stayed))
        self._read_s = {
            name: read_s
            for name, read_s in self._read_s.items()
            if name in self._targets
        }

    def take_due(self, now: Instant) -> tuple[TargetView, ...]:
        """Return the targets to read now."""
        self._fill(now.monotonic_s)
        due: list[TargetView] = []
        while self._turns and self._allowance >= 1:
            name = self._turns[0]
            if not self._is_due(name, now.monotonic_s):
                break
            self._allowance -= 1
            self._read_s[name] = now.monotonic_s
            self._turns.rotate(-1)
            due.append(self._targets[name])
        return tuple(due)

    def _is_due(self, name: TargetName, now_s: float) -> bool:
        read_s = self._read_s.get(name)
        return read_s is None or now_s - read_s >= self.interval_s

    def _fill(self, now_s: float) -> None:
        earned = max(0, now_s - self._filled_s) * MAXIMUM_READS_PER_S
        self._allowance = min(MAXIMUM_READS_AT_ONCE, self._allowance + earned)
        self._filled_s = now_s
