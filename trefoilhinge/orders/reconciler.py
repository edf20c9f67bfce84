"""Reconciles targets with the desired state of the document.

Any live instance can own any target; no particular instance is needed. An
owner reads the state of a target right before it sends an order, and has one
order in progress per service.
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
from trefoilhinge.node.target_polling import TargetPoller
from trefoilhinge.orders.desired_state import choose_fence
from trefoilhinge.orders.ownership import TargetOwnership, make_ownership
from trefoilhinge.orders.rollout import Rollout

# Interval between reads of a target that this instance owns.
OWNED_READ_INTERVAL_S = 5.0
# Interval between reads of a target that a peer owns, while its service has
# targets to change.
SURVEY_READ_INTERVAL_S = 10.0
# Time after the request for a state from which it leads to no order.
READ_LEASE_S = 3.0
# Longest time from the decision on an order until it is sent.
ORDER_LEASE_S = 2.0
# Time without orders after a pause or a change of the live instances.
SETTLE_DELAY_S = 3.0


@define
class ReadBackReconciler:
    """Sends orders based on freshly read states, within the load rate limit."""

    _own_name: InstanceName
    _document: Document | None = None
    _rollouts: dict[str, Rollout] = field(factory=dict)
    _live: frozenset[InstanceName] = frozenset()
    _expected: int = 1
    _targets: tuple[TargetView, ...] = ()
    _services: dict[TargetName, str] = field(factory=dict)
    _read_requested_s: dict[TargetName, float] = field(factory=dict)
    _owned_poller: TargetPoller = field(
        factory=lambda: TargetPoller(OWNED_READ_INTERVAL_S),
    )
    _survey_poller: TargetPoller = field(
        factory=lambda: TargetPoller(SURVEY_READ_INTERVAL_S),
    )
    _outdated_services: frozenset[str] = frozenset()
    _settled_from_s: float | None = None
    _ownership_stale: bool = True

    def configure(self, document: Document, now: Instant) -> None:
        """Apply a document that is now in force."""
        self._document = document
        previous = self._rollouts
        self._rollouts = {}
        for service in document.services:
            if service.kind == 'model':
                rollout = previous.get(service.name)
                if rollout is None:
                    rollout = Rollout(service, self._own_name)
                rollout.service = service
                self._rollouts[service.name] = rollout
        self._ownership_stale = True

    def note_state(
        self,
        event: EngineStateRead,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Record the state of a target and order missing changes."""
        rollout = self._find_rollout(event.target)
        if rollout is None:
            return ()
        requested_s = self._read_requested_s.pop(event.target, None)
        rollout.note_state(event.target, event.state, now)
        if event.state is None or requested_s is None:
            return ()
        # An answer that waited too long to be handled may be outdated.
        if now.monotonic_s - requested_s >= READ_LEASE_S:
            return ()
        if not self._is_settled(now) or not rollout.is_owned(event.target):
            return ()
        if not rollout.may_order(event.target, event.state, now):
            return ()
        return self._send_order(rollout, event.state, now)

    def note_answer(
        self,
        event: OrderAnswered,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Record the answer of a target to an order.

        Without an answer the order may have been accepted; the next read of
        the state shows whether it was.
        """
        rollout = self._find_rollout(event.target)
        if rollout is None or event.accepted is not False:
            return ()
        rollout.note_refused(event.target)
        fields = (('target', event.target), ('fence', str(event.fence)))
        return (LogEvent('order_refused', fields),)

    def reconcile(
        self,
        live: frozenset[InstanceIdentity],
        expected: int,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Return reads of the states that are due."""
        names = frozenset(one.name for one in live)
        if (
            self._ownership_stale
            or targets is not self._targets
            or names != self._live
        ):
            self._update_ownership(names, targets, now)
        self._expected = expected
        live_share = min(1, len(names) / max(1, expected))
        for rollout in self._rollouts.values():
            rollout.refill_loads(live_share, now)
        self._update_survey()
        due = (
            *self._owned_poller.take_due(now),
            *self._survey_poller.take_due(now),
        )
        for one in due:
            self._read_requested_s[one.name] = now.monotonic_s
        return tuple(ReadEngineState(one.name, one.address) for one in due)

    def note_pause(self, now: Instant) -> None:
        """Invalidate every lease after a pause of this process."""
        self._read_requested_s.clear()
        self._settled_from_s = now.monotonic_s + SETTLE_DELAY_S
        for rollout in self._rollouts.values():
            rollout.clear_states()

    def _send_order(
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

    def _update_ownership(
        self,
        live: frozenset[InstanceName],
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        if live != self._live:
            # Peers may not have the same view of the live instances yet.
            self._settled_from_s = now.monotonic_s + SETTLE_DELAY_S
        self._ownership_stale = False
        self._live = live
        self._targets = targets
        self._services = {one.name: one.service for one in targets}
        ownership = make_ownership(self._services, live)
        self._replace_targets(ownership)
        owned = ownership.list_owned(self._own_name)
        self._owned_poller.replace_targets(
            tuple(
                one for one in targets if one.name in owned and not one.leaving
            ),
        )
        self._read_requested_s = {
            name: requested_s
            for name, requested_s in self._read_requested_s.items()
            if name in self._services
        }
        self._outdated_services = frozenset()
        self._survey_poller.replace_targets(())

    def _replace_targets(self, ownership: TargetOwnership) -> None:
        by_service: dict[str, list[TargetView]] = {}
        for one in self._targets:
            by_service.setdefault(one.service, []).append(one)
        for name, rollout in self._rollouts.items():
            rollout.replace_targets(tuple(by_service.get(name, ())), ownership)

    def _update_survey(self) -> None:
        outdated = frozenset(
            name
            for name, rollout in self._rollouts.items()
            if rollout.has_outdated_targets()
        )
        if outdated == self._outdated_services:
            return
        # All targets of a service are read before any of them is changed.
        self._outdated_services = outdated
        self._survey_poller.replace_targets(
            tuple(
                one
                for name in sorted(outdated)
                for one in self._rollouts[name].list_targets()
                if not self._rollouts[name].is_owned(one.name)
            ),
        )

    def _find_rollout(self, target: TargetName) -> Rollout | None:
        return self._rollouts.get(self._services.get(target, ''))

    def _is_settled(self, now: Instant) -> bool:
        return (
            self._settled_from_s is None
            or now.monotonic_s >= self._settled_from_s
        )


def make_read_back_reconciler(own_name: InstanceName) -> ReadBackReconciler:
    """Return a reconciler without any state.

    :param own_name: name of this instance.
    """
    return ReadBackReconciler(own_name)
