"""Progress of one service towards its goals, and what may be ordered."""

from attrs import define, field, frozen

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.core.reports import EngineState
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.orders.desired_state import TargetGoal, list_goals
from trefoilhinge.orders.weight_loads import WeightLoadLimiter
from trefoilhinge.orders.ownership import TargetOwnership

MAXIMUM_STATE_AGE_S = 30.0
ORDER_TIMEOUT_S = 60.0


@frozen
class _StateReading:
    state: EngineState
    read_s: float


@define
class Rollout:
    """One service as its ownership see it.

    :ivar service: the service of the document in force.
    :ivar goals: what each target is to run.
    :ivar ownership: the steward of each target in this view.
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
        """Take the targets of the service and their ownership."""
        # Targets that are leaving are neither ordered nor counted.
        staying = tuple(one for one in targets if not one.leaving)
        self.goals = list_goals(self.service, staying)
        self.ownership = ownership
        self._targets = {one.name: one for one in staying}
        owned = sum(self.is_owned(one.name) for one in staying)
        self._owned_share = owned / max(1, len(staying))
        for table in (self._readings, self._ordered_s):
            for name in table.keys() - self._targets.keys():
                del table[name]

    def is_owned(self, target: TargetName) -> bool:
        """Return whether this instance is the steward of a target."""
        return self.ownership.owners.get(target) == self._own_name

    def note_state(
        self,
        target: TargetName,
        state: EngineState | None,
        now: Instant,
    ) -> None:
        """Take a target's state, none if it did not answer."""
        if target not in self._targets:
            return
        if state is None:
            self._readings.pop(target, None)
            return
        self._readings[target] = _StateReading(state, now.monotonic_s)
        if self.goals.get(target) is not None and self._is_met(target):
            self._ordered_s.pop(target, None)

    def forget_states(self) -> None:
        """Forget every state: time has passed unseen."""
        self._readings.clear()

    def note_order(self, target: TargetName, loads: bool, now: Instant) -> None:
        """Take that an order is sent now."""
        self._ordered_s[target] = now.monotonic_s
        if loads:
            self._load_limiter.take()

    def note_refused(self, target: TargetName) -> None:
        """Take that a target refused an order; it is free for another."""
        self._ordered_s.pop(target, None)

    def refill_loads(self, live_share: float, now: Instant) -> None:
        """Earn loads of the weight store.

        :param live_part: live instances by those there should be; it keeps
            the sum of the shares within the rate when the fleet is split.
        """
        share = self._owned_share * live_share
        self._load_limiter.refill(self.service.loads_per_minute * share, now)

    def has_pending(self) -> bool:
        """Return whether a target of this steward is known to be behind."""
        return any(
            self.is_owned(name) and not self._is_met(name)
            for name in self._readings
        )

    def list_targets(self) -> tuple[TargetView, ...]:
        """Return the targets that stay."""
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
        """Return whether an order to a target may be sent now."""
        goal = self.goals.get(target)
        if goal is None or goal.is_met(state):
            return False
        if self._has_pending_order(now):
            return False
        if goal.needs_load(state) and not self._load_limiter.is_ready:
            return False
        # An order to a target that is not ready makes nothing worse.
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
        # Stewards before this one may order at the same moment.
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
