"""Permits for requests to limited targets, asked of and granted to peers."""

import asyncio
import functools
from collections.abc import Callable

from attrs import define, evolve, field

from trefoilhinge.dispatch.messages import (
    Message,
    PermitMessage,
    TargetOrdered,
    TargetRateNamed,
)
from trefoilhinge.dispatch.permits import (
    PermitDecision,
    PermitKey,
    PermitRequest,
    PermitVerdict,
    choose_owner,
    make_decision,
)
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.state import GatewayState

ANSWER_TIMEOUT_S = 0.08  # an owner answers within milliseconds
REPEAT_INTERVAL_S = 0.25  # of a request that waits at its owner
MAXIMUM_UNANSWERED = 2  # requests in succession
# Wait that is stated while no owner decides, for instance because it has just
# failed and is still counted as live.
NO_OWNER_WAIT_S = 0.5
MINIMUM_TIMER_S = 0.002
# An instance that has just started does not know all peers yet.
SETTLING_HEARTBEATS = 2

Send = Callable[[Message, str], None]
Inbox = asyncio.Queue[PermitDecision]


def _ignore(wait_s: float) -> None:
    """Note nothing."""


@define
class Permits:
    """Asks the owners of limited targets, and answers as an owner.

    :ivar send: sends a message to the instance at an IP address.
    :ivar grant_probe: grants a probe of a quarantined trait if one is due.
    """

    _state: GatewayState
    send: Send
    grant_probe: Callable[[str], bool]
    _inboxes: dict[PermitKey, Inbox] = field(factory=dict)
    _timers: dict[str, asyncio.TimerHandle] = field(factory=dict)

    def find_owner(self, target: str) -> str:
        """Return the IP address of the instance that owns a target."""
        live = self._state.peers.list_live(self._state.get_now_s())
        return choose_owner(target, (self._state.settings.ip, *live))

    async def acquire(
        self,
        request: PermitRequest,
        has_alternative: Callable[[], bool],
        note_wait: Callable[[float], None] = _ignore,
    ) -> PermitDecision:
        """Ask for a permit until it is granted or refused.

        :param has_alternative: returns whether the call need not wait for
            this target any more; the request is then given up.
        :param note_wait: called with the seconds until a permit is expected,
            as often as the owner says so.
        """
        inbox: Inbox = asyncio.Queue()
        self._inboxes[request.key] = inbox
        try:
            decision = await self._acquire(
                request, inbox, has_alternative, note_wait
            )
        finally:
            self._inboxes.pop(request.key)
        if decision.verdict is not PermitVerdict.granted:
            self._adopt_wait(request, decision.wait_s)
        outcome = decision.verdict.value
        self._state.metrics.increment('permits', outcome=outcome)
        return decision

    def apply_message(self, message: PermitMessage, ip: str) -> None:
        """Apply a message about a limited target.

        :param ip: address of its sender, for the log.
        """
        now_s = self._state.get_now_s()
        match message:
            case PermitRequest():
                self._handle_request(message)
            case PermitDecision():
                self._handle_decision(message)
            case TargetOrdered(name):
                self._state.permits.charge(name, None, now_s)
            case TargetRateNamed(named):
                self._state.rate_limits.record_announcement(named.target, now_s)
                self.apply_named_rate(named, f'peer {ip}')

    def apply_named_rate(self, named: NamedRate, source: str) -> bool:
        """Apply what a target said about its limit.

        If the limit has ended, all that waits for the target is granted.

        :param source: who said so, for the log.
        :return: whether the limit changed.
        """
        changed = self._state.apply_named_rate(named, source)
        if changed and named.requests_per_s is None:
            for decision in self._state.permits.remove(named.target):
                self._deliver(decision)
        return changed

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self._timers.values():
            timer.cancel()

    def _handle_request(self, request: PermitRequest) -> None:
        for decision in self._decide(request):
            self._deliver(decision)

    def _handle_decision(self, decision: PermitDecision) -> None:
        """Pass a decision on to the call that waits for it, if any."""
        inbox = self._inboxes.get(decision.key)
        if inbox is not None:
            inbox.put_nowait(decision)

    async def _acquire(
        self,
        request: PermitRequest,
        inbox: Inbox,
        has_alternative: Callable[[], bool],
        note_wait: Callable[[float], None],
    ) -> PermitDecision:
        latest_s = self._state.get_now_s() + request.patience_s
        unanswered = 0
        while unanswered < MAXIMUM_UNANSWERED and not has_alternative():
            patience_s = max(0, latest_s - self._state.get_now_s())
            self._submit(evolve(request, patience_s=patience_s))
            decision = await _receive(inbox, ANSWER_TIMEOUT_S)
            if decision is None:
                unanswered += 1
                continue
            unanswered = 0
            if decision.verdict is PermitVerdict.waiting:
                note_wait(decision.wait_s)
                decision = await _receive(inbox, REPEAT_INTERVAL_S)
            if (
                decision is not None
                and decision.verdict is not PermitVerdict.waiting
            ):
                return decision
        if unanswered:
            self._state.metrics.increment('permits_unanswered')
        return make_decision(request, PermitVerdict.refused, NO_OWNER_WAIT_S)

    def _submit(self, request: PermitRequest) -> None:
        owner = self.find_owner(request.target)
        if owner == self._state.settings.ip:
            self._handle_request(request)
            return
        # The owner may not have heard of the limit yet.
        named = self._state.rate_limits.find_named(request.target)
        if named is not None:
            self.send(TargetRateNamed(named, self._state.get_now_s()), owner)
        self.send(request, owner)

    def _adopt_wait(self, request: PermitRequest, wait_s: float) -> None:
        bucket = self._state.permits.get(request.target, request.started_ms)
        is_owner = self.find_owner(request.target) == self._state.settings.ip
        if bucket is not None and not is_owner:
            bucket.apply_wait(wait_s, self._state.get_now_s())

    def _decide(self, request: PermitRequest) -> list[PermitDecision]:
        state = self._state
        now_s = state.get_now_s()
        if self.find_owner(request.target) != state.settings.ip:
            return [_postpone(request, NO_OWNER_WAIT_S)]
        bucket = state.permits.get(request.target, request.started_ms)
        is_probe = state.quarantine.get(request.target) is not None
        if bucket is None and not is_probe:
            return [self._decide_without_limit(request)]
        settled_s = state.started_s + (
            SETTLING_HEARTBEATS * state.peers.compute_heartbeat_interval_s()
        )
        if now_s < settled_s:
            return [_postpone(request, settled_s - now_s)]
        if bucket is None:
            return [self._decide_probe(request)]
        self._adjust_rate(request.target, request.started_ms)
        decisions = bucket.request(request, now_s)
        self._schedule(request.target, request.started_ms)
        return decisions

    def _decide_probe(self, request: PermitRequest) -> PermitDecision:
        """Decide on a probe of a quarantined trait."""
        is_granted = self.grant_probe(request.target)
        verdict = PermitVerdict.granted if is_granted else PermitVerdict.refused
        return make_decision(request, verdict, 0)

    def _decide_without_limit(self, request: PermitRequest) -> PermitDecision:
        """Grant a permit if the limit is known to have ended."""
        named = self._state.rate_limits.find_named(request.target)
        if named is None or named.started_ms != request.started_ms:
            return _postpone(request, NO_OWNER_WAIT_S)
        return make_decision(request, PermitVerdict.granted, 0)

    def _adjust_rate(self, target: str, started_ms: int) -> None:
        """Grant only the live instances' part of the rate.

        Instances that were heard of lately may be alive behind a partition,
        and then grant the rest of it there.
        """
        state = self._state
        rate = state.rate_limits.get(target, started_ms)
        if rate is None:
            return
        now_s = state.get_now_s()
        live = state.peers.count_instances(now_s)
        known = state.peers.count_known()
        state.permits.set_rate(target, started_ms, rate * live / known, now_s)

    def _schedule(self, target: str, started_ms: int) -> None:
        """Decide again once the next permit is available."""
        timer = self._timers.pop(target, None)
        if timer is not None:
            timer.cancel()
        bucket = self._state.permits.get(target, started_ms)
        if bucket is None:
            return
        due_s = bucket.find_due_s(self._state.get_now_s())
        if due_s is not None:
            self._timers[target] = asyncio.get_running_loop().call_later(
                max(due_s, MINIMUM_TIMER_S),
                functools.partial(self._decide_due, target, started_ms),
            )

    def _decide_due(self, target: str, started_ms: int) -> None:
        bucket = self._state.permits.get(target, started_ms)
        if bucket is None or self.find_owner(target) != self._state.settings.ip:
            # What waits is repeated to the new owner.
            return
        self._adjust_rate(target, started_ms)
        for decision in bucket.decide_due(self._state.get_now_s()):
            self._deliver(decision)
        self._schedule(target, started_ms)

    def _deliver(self, decision: PermitDecision) -> None:
        if decision.origin == self._state.origin:
            self._handle_decision(decision)
        else:
            self.send(decision, decision.origin.partition('/')[0])


def make_permit_request(
    state: GatewayState,
    record: TargetRecord,
    number: int,
    priority: int,
    patience_s: float,
) -> PermitRequest:
    """Return the request of this instance for a permit."""
    return PermitRequest(
        state.origin,
        number,
        record.name,
        record.started_ms,
        priority,
        patience_s,
    )


def _postpone(request: PermitRequest, wait_s: float) -> PermitDecision:
    """Let a request wait for an owner that can decide, if it has the time.

    The asking instance repeats it, perhaps to another owner.
    """
    can_wait = request.patience_s >= wait_s
    verdict = PermitVerdict.waiting if can_wait else PermitVerdict.refused
    return make_decision(request, verdict, wait_s)


async def _receive(inbox: Inbox, timeout_s: float) -> PermitDecision | None:
    try:
        async with asyncio.timeout(timeout_s):
            return await inbox.get()
    except TimeoutError:
        return None
