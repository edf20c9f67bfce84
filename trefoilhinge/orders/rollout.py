"""Rollout of the desired state to the targets of one service."""

from attrs import define, field, frozen

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.core.reports import EngineState
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.orders.desired_state import TargetGoal, list_goals
from trefoilhinge.orders.ownership import TargetOwnership
from trefoilhinge.orders.weight_loads import WeightLoadLimiter

# Age from which a read state no longer counts a target as ready.
MAXIMUM_STATE_AGE_S = 30.0
# Time after which an order is no longer waited for and another may be sent.
ORDER_TIMEOUT_S = 60.0


@frozen
class _StateReading:
    """State of a target as it was last read.

    :ivar state: state of the target.
    :ivar read_s: monotonic seconds at which it was recorded.
    """

    state: EngineState
    read_s: float


@define
class Rollout:
    """Rollout of one service, as seen by this instance.

    :ivar service: service of the document in force.
    :ivar goals: desired state of each target, by target name.
    :ivar ownership: owner of each target in the current view.
    """

    service: Service
    _own_name: InstanceName
    goals: dict[str, TargetGoal] = field(factory=dict)
    ownership: TargetOwnership = field(factory=lambda: TargetOwnership({}))
    _targets: dict[TargetName, TargetView] = field(factory=dict)
    _readings: dict[TargetName, _StateReading] = field(factory=dict)
    _ordered_s: dict[TargetName, float] = field(factory=dict)
    _load_limiter: WeightLoadLimiter = field(factory=WeightLoadLimiter)
    _owned_share: float = 0

    def replace_targets(
        self,
        targets: tuple[TargetView, ...],
        ownership: TargetOwnership,
    ) -> None:
        """Replace the targets of the service and their ownership."""
        # Leaving targets receive no orders and are not counted.
        remaining = tuple(one for one in targets if not one.leaving)
        self.goals = list_goals(self.service, remaining)
        self.ownership = ownership
        self._targets = {one.name: one for one in remaining}
        owned = sum(self.is_owned(one.name) for one in remaining)
        self._owned_share = owned / max(1, len(remaining))
        for table in (self._readings, self._ordered_s):
            for name in table.keys() - self._targets.keys():
                del table[name]

    def is_owned(self, target: TargetName) -> bool:
        """Return whether this instance owns a target."""
        return self.ownership.owners.get(target) == self._own_name

    def note_state(
        self,
        target: TargetName,
        state: EngineState | None,
        now: Instant,
    ) -> None:
        """Record the state of a target, ``None`` if it did not answer."""
        if target not in self._targets:
            return
        if state is None:
            self._readings.pop(target, None)
            return
        self._readings[target] = _StateReading(state, now.monotonic_s)
        if self.goals.get(target) is not None and self._is_met(target):
            self._ordered_s.pop(target, None)

    def clear_states(self) -> None:
        """Discard every state, as after a pause of this process."""
        self._readings.clear()

    def note_order(self, target: TargetName, loads: bool, now: Instant) -> None:
        """Record that an order is sent now.

        :param loads: whether the order makes the target load weights.
        """
        self._ordered_s[target] = now.monotonic_s
        if loads:
            self._load_limiter.take()

    def note_refused(self, target: TargetName) -> None:
        """Record that a target refused an order, so that it may get another."""
        self._ordered_s.pop(target, None)

    def refill_loads(self, live_share: float, now: Instant) -> None:
        """Refill this instance's share of the rate of weight loads.

        :param live_share: ratio of live to expected instances; it keeps the
            sum of the shares within the rate during a network partition.
        """
        share = self._owned_share * live_share
        self._load_limiter.refill(self.service.loads_per_minute * share, now)

    def has_outdated_targets(self) -> bool:
        """Return whether an owned target is known not to meet its goal."""
        return any(
            self.is_owned(name) and not self._is_met(name)
            for name in self._readings
        )

    def list_targets(self) -> tuple[TargetView, ...]:
        """Return the targets that are not leaving."""
        return tuple(self._targets.values())

    def find_address(self, target: TargetName) -> str:
        """Return the address of a target of the service."""
        return self._targets[target].address

    def may_order(
        self,
        target: TargetName,
        state: EngineState,
        now: Instant,
    ) -> bool:
        """Return whether an order may be sent to a target now."""
        goal = self.goals.get(target)
        if goal is None or goal.is_met(state):
            return False
        if self._has_pending_order(now):
            return False
        if goal.needs_load(state) and not self._load_limiter.is_ready:
            return False
        # An order to a target that is not ready does not reduce capacity.
        return not state.ready or self._leaves_minimum_ready(target, now)

    def _has_pending_order(self, now: Instant) -> bool:
        return any(
            now.monotonic_s - ordered_s < ORDER_TIMEOUT_S
            for ordered_s in self._ordered_s.values()
        )

    def _leaves_minimum_ready(self, target: TargetName, now: Instant) -> bool:
        ready = 0
        for name, reading in self._readings.items():
            fresh = now.monotonic_s - reading.read_s < MAXIMUM_STATE_AGE_S
            if fresh and reading.state.ready and name not in self._ordered_s:
                ready += 1
        # Owners that precede this one by name may order at the same time.
        return (
            ready - 1 - self._count_preceding_owners()
            >= self.service.minimum_ready
        )

    def _count_preceding_owners(self) -> int:
        owners = self.ownership.owners
        outdated = {
            owners[name] for name in self._readings if not self._is_met(name)
        }
        return sum(one < self._own_name for one in outdated)

    def _is_met(self, target: TargetName) -> bool:
        goal = self.goals.get(target)
        return goal is None or goal.is_met(self._readings[target].state)
