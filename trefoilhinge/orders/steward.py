"""Brings targets to the state that the document asks for.

Any instance may be the steward of a target; none has to be. A steward reads a
target back and orders only then, one order at a time for each service.
"""

from attrs import define, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    Effect,
    LogEvent,
    ReadEngineState,
    SendOrder,
)
from trefoilhinge.core.events import EngineStateRead, OrderAnswered
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    TargetName,
)
from trefoilhinge.core.reports import EngineState
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.node.polling import TargetPoller
from trefoilhinge.orders.desired import choose_fence
from trefoilhinge.orders.rollout import Rollout
from trefoilhinge.orders.stewardship import Stewardship, make_stewardship

STATE_INTERVAL_S = 5.0
SURVEY_INTERVAL_S = 10.0
READ_LEASE_S = 3.0
ORDER_LEASE_S = 2.0
SETTLE_S = 3.0


@define
class ReadBackSteward:
    """Orders what it has just read back, at the pace the store bears."""

    _own: InstanceName
    _document: Document | None = None
    _rollouts: dict[str, Rollout] = field(factory=dict)
    _live: frozenset[InstanceName] = frozenset()
    _expected: int = 1
    _targets: tuple[TargetView, ...] = ()
    _services: dict[TargetName, str] = field(factory=dict)
    _asked: dict[TargetName, float] = field(factory=dict)
    _owned: TargetPoller = field(
        factory=lambda: TargetPoller(STATE_INTERVAL_S),
    )
    _surveyed: TargetPoller = field(
        factory=lambda: TargetPoller(SURVEY_INTERVAL_S),
    )
    _behind: frozenset[str] = frozenset()
    _settled_s: float | None = None
    _stale: bool = True

    def configure(self, document: Document, now: Instant) -> None:
        """Take a document that is now in force."""
        self._document = document
        before = self._rollouts
        self._rollouts = {}
        for service in document.services:
            if service.kind == 'model':
                rollout = before.get(service.name)
                if rollout is None:
                    rollout = Rollout(service, self._own)
                rollout.service = service
                self._rollouts[service.name] = rollout
        self._stale = True

    def note_state(
        self,
        event: EngineStateRead,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's state and order what is missing."""
        rollout = self._find_rollout(event.target)
        if rollout is None:
            return ()
        asked_s = self._asked.pop(event.target, None)
        rollout.note_state(event.target, event.state, now)
        if event.state is None or asked_s is None:
            return ()
        # An answer that lay unread for long says nothing of now.
        if now.monotonic_s - asked_s >= READ_LEASE_S:
            return ()
        if not self._is_settled(now) or not rollout.is_steward(event.target):
            return ()
        if not rollout.may_order(event.target, event.state, now):
            return ()
        return self._order(rollout, event.state, now)

    def note_answer(
        self,
        event: OrderAnswered,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's answer to an order.

        Without one the order may have been taken: the state shows it.
        """
        rollout = self._find_rollout(event.target)
        if rollout is None or event.accepted is not False:
            return ()
        rollout.note_refused(event.target)
        fields = (('target', event.target), ('fence', str(event.fence)))
        return (LogEvent('order_refused', fields),)

    def act(
        self,
        live: frozenset[InstanceIdentity],
        expected: int,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Read states that are due."""
        names = frozenset(one.name for one in live)
        if self._stale or targets is not self._targets or names != self._live:
            self._rearrange(names, targets, now)
        self._expected = expected
        live_part = min(1, len(names) / max(1, expected))
        for rollout in self._rollouts.values():
            rollout.fill_share(live_part, now)
        self._survey()
        due = (*self._owned.take_due(now), *self._surveyed.take_due(now))
        for one in due:
            self._asked[one.name] = now.monotonic_s
        return tuple(ReadEngineState(one.name, one.address) for one in due)

    def note_pause(self, now: Instant) -> None:
        """Treat every lease as lost: this process was paused."""
        self._asked.clear()
        self._settled_s = now.monotonic_s + SETTLE_S
        for rollout in self._rollouts.values():
            rollout.forget_states()

    def _order(
        self,
        rollout: Rollout,
        state: EngineState,
        now: Instant,
    ) -> tuple[Effect, ...]:
        document = self._document
        goal = rollout.goals[state.target]
        if document is None:
            return ()
        fence = choose_fence(state.fence, document.revision)
        fields = (
            ('target', state.target),
            ('revision', str(document.revision)),
            ('reported_fence', str(state.fence)),
        )
        if fence is None:
            return (LogEvent('order_held', fields),)
        rollout.note_order(state.target, goal.needs_load(state), now)
        order = SendOrder(
            target=state.target,
            address=rollout.find_address(state.target),
            fence=fence,
            revision=document.revision,
            model=goal.model,
            version=goal.version,
            adapters=goal.adapters,
            role=goal.role,
            lease=now.shift(ORDER_LEASE_S),
            requires_credential=rollout.service.checks_orderer,
        )
        return LogEvent('order_sent', fields), order

    def _rearrange(
        self,
        live: frozenset[InstanceName],
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        if live != self._live:
            # Peers may not see yet what this instance sees.
            self._settled_s = now.monotonic_s + SETTLE_S
        self._stale = False
        self._live = live
        self._targets = targets
        self._services = {one.name: one.service for one in targets}
        stewards = make_stewardship(self._services, live)
        self._replace_targets(stewards)
        owned = stewards.list_owned(self._own)
        self._owned.replace_targets(
            tuple(
                one for one in targets if one.name in owned and not one.leaving
            ),
        )
        self._asked = {
            name: asked_s
            for name, asked_s in self._asked.items()
            if name in self._services
        }
        self._behind = frozenset()
        self._surveyed.replace_targets(())

    def _replace_targets(self, stewards: Stewardship) -> None:
        by_service: dict[str, list[TargetView]] = {}
        for one in self._targets:
            by_service.setdefault(one.service, []).append(one)
        for name, rollout in self._rollouts.items():
            rollout.replace_targets(tuple(by_service.get(name, ())), stewards)

    def _survey(self) -> None:
        behind = frozenset(
            name
            for name, rollout in self._rollouts.items()
            if rollout.has_pending()
        )
        if behind == self._behind:
            return
        # Before a service is changed, all of its targets are read.
        self._behind = behind
        self._surveyed.replace_targets(
            tuple(
                one
                for name in sorted(behind)
                for one in self._rollouts[name].list_targets()
                if not self._rollouts[name].is_steward(one.name)
            ),
        )

    def _find_rollout(self, target: TargetName) -> Rollout | None:
        return self._rollouts.get(self._services.get(target, ''))

    def _is_settled(self, now: Instant) -> bool:
        return self._settled_s is None or now.monotonic_s >= self._settled_s


def make_read_back_steward(own: InstanceName) -> ReadBackSteward:
    """Return a steward that has read nothing yet.

    :param own: name of this instance.
    """
    return ReadBackSteward(own)
