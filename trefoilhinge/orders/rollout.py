"""Progress of one service towards its goals, and what may be ordered."""

from attrs import define, field, frozen

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.core.reports import EngineState
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.orders.desired import TargetGoal, list_goals
from trefoilhinge.orders.loads import LoadShare
from trefoilhinge.orders.stewardship import Stewardship

FRESH_S = 30.0
REPEAT_ORDER_S = 60.0


@frozen
class _Known:
    state: EngineState
    read_s: float


@define
class Rollout:
    """One service as its stewards see it.

    :ivar service: the service of the document in force.
    :ivar goals: what each target is to run.
    :ivar stewards: the steward of each target in this view.
    """

    service: Service
    _own: InstanceName
    goals: dict[str, TargetGoal] = field(factory=dict)
    stewards: Stewardship = field(factory=lambda: Stewardship({}))
    _targets: dict[TargetName, TargetView] = field(factory=dict)
    _known: dict[TargetName, _Known] = field(factory=dict)
    _ordered: dict[TargetName, float] = field(factory=dict)
    _share: LoadShare = field(factory=LoadShare)
    _owned_part: float = 0

    def replace_targets(
        self,
        targets: tuple[TargetView, ...],
        stewards: Stewardship,
    ) -> None:
        """Take the targets of the service and their stewards."""
        # Targets that are leaving are neither ordered nor counted.
        staying = tuple(one for one in targets if not one.leaving)
        self.goals = list_goals(self.service, staying)
        self.stewards = stewards
        self._targets = {one.name: one for one in staying}
        owned = sum(self.is_steward(one.name) for one in staying)
        self._owned_part = owned / max(1, len(staying))
        for table in (self._known, self._ordered):
            for name in table.keys() - self._targets.keys():
                del table[name]

    def is_steward(self, target: TargetName) -> bool:
        """Return whether this instance is the steward of a target."""
        return self.stewards.stewards.get(target) == self._own

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
            self._known.pop(target, None)
            return
        self._known[target] = _Known(state, now.monotonic_s)
        if self.goals.get(target) is not None and self._is_met(target):
            self._ordered.pop(target, None)

    def forget_states(self) -> None:
        """Forget every state: time has passed unseen."""
        self._known.clear()

    def note_order(self, target: TargetName, loads: bool, now: Instant) -> None:
        """Take that an order is sent now."""
        self._ordered[target] = now.monotonic_s
        if loads:
            self._share.take()

    def note_refused(self, target: TargetName) -> None:
        """Take that a target refused an order; it is free for another."""
        self._ordered.pop(target, None)

    def fill_share(self, live_part: float, now: Instant) -> None:
        """Earn loads of the weight store.

        :param live_part: live instances by those there should be; it keeps
            the sum of the shares within the rate when the fleet is split.
        """
        part = self._owned_part * live_part
        self._share.fill(self.service.loads_per_minute * part, now)

    def has_pending(self) -> bool:
        """Return whether a target of this steward is known to be behind."""
        return any(
            self.is_steward(name) and not self._is_met(name)
            for name in self._known
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
        if self._has_order_open(now):
            return False
        if goal.needs_load(state) and not self._share.is_ready:
            return False
        # An order to a target that is not ready makes nothing worse.
        return not state.ready or self._leaves_enough(target, now)

    def _has_order_open(self, now: Instant) -> bool:
        return any(
            now.monotonic_s - ordered_s < REPEAT_ORDER_S
            for ordered_s in self._ordered.values()
        )

    def _leaves_enough(self, target: TargetName, now: Instant) -> bool:
        ready = 0
        for name, known in self._known.items():
            fresh = now.monotonic_s - known.read_s < FRESH_S
            if fresh and known.state.ready and name not in self._ordered:
                ready += 1
        # Stewards before this one may order at the same moment.
        return ready - 1 - self._count_earlier() >= self.service.minimum_ready

    def _count_earlier(self) -> int:
        stewards = self.stewards.stewards
        behind = {
            stewards[name] for name in self._known if not self._is_met(name)
        }
        return sum(one < self._own for one in behind)

    def _is_met(self, target: TargetName) -> bool:
        goal = self.goals.get(target)
        return goal is None or goal.is_met(self._known[target].state)
