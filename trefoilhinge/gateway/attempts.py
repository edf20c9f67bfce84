"""Offers of one call to targets, until one answers or none may be asked."""

import asyncio
import functools

from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Call, HelperPlace, Offer
from trefoilhinge.dispatch.documents import CallKind
from trefoilhinge.dispatch.health import Outcome
from trefoilhinge.dispatch.joint import Placement
from trefoilhinge.gateway.state import Beliefs
from trefoilhinge.gateway.caller_connections import CallerConnection, Refusal
from trefoilhinge.gateway.refusals import (
    CallFailed,
    describe_end,
    describe_no_target,
    describe_timeout,
)
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    TargetExchange,
    TargetUnreachable,
    open_exchange,
)
from trefoilhinge.gateway.attempt_recorder import OfferNotes
from trefoilhinge.gateway.placement import find_placement
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.answer_relay import AnswerRelay
from trefoilhinge.gateway.reservations import Reservations, reserve
from trefoilhinge.gateway.run_tracker import RunKeeper
from trefoilhinge.gateway.liveness import await_answer

MAXIMUM_REJECTIONS = 3  # targets that say they did not run the call
MAXIMUM_UNREACHABLE = 8  # connections that could not be opened
MAXIMUM_FAULTS = 10  # offers that named another target which could not help
REJECTED_PAUSE_S = 0.03  # before the next target is asked, for news to come
LEAST_PATIENCE_S = 0.6  # a few passes of an engine
PLAIN_PATIENCE_S = 0.25  # of a plain call, several times what it takes
PATIENCE_FACTOR = 1.5  # of the time that was predicted
PAUSE_FACTOR = 2.0  # of the longest pause that is on time
LOWEST_PRIORITY = 9  # the platform's ranks end there


@define
class Attempts:
    """One call's offers."""

    _beliefs: Beliefs
    _call: Call
    _relay: AnswerRelay
    _runs: RunKeeper
    _notes: OfferNotes
    progress: CallProgress
    _excluded: set[str] = field(factory=set)
    _exchange: TargetExchange | None = None
    _reservations: Reservations | None = None
    _failure: tuple[AnswerHead, bytes] | None = None

    async def run(self) -> None:
        """Offer the call until it is answered.

        :raises CallFailed: it cannot be.
        """
        while True:
            placement = self._place()
            if self.progress.offers and not self._has_budget():
                await self._give_up('repeats are used up')
                return
            try:
                if await self._offer(placement):
                    return
            except TargetUnreachable as problem:
                self._excluded.add(placement.parts[0].target)
                self._notes.note_unreachable(placement, str(problem))
                await self._take_unreachable()
            except AnswerBroken as problem:
                self._excluded.add(placement.parts[0].target)
                self._notes.note_broken(placement, str(problem))
                if not self._may_repeat():
                    await self._give_up('the answer was lost')
                    return
            finally:
                self.close()

    def describe_timeout(self) -> Refusal:
        """Return what a caller is told whose time is over."""
        return describe_timeout(self.progress)

    def close(self) -> None:
        """Drop whatever is still open."""
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        self._runs.end()
        if self._reservations is not None:
            self._reservations.release()
            self._reservations = None

    def _place(self) -> Placement:
        placement = find_placement(self._beliefs, self._call, self._excluded)
        if placement is None:
            raise CallFailed(describe_no_target(self.progress))
        return placement

    def _has_budget(self) -> bool:
        now_s = self._beliefs.get_now_s()
        budget = self._beliefs.find_budget(self._call.service)
        instances = self._beliefs.peers.count_instances(now_s)
        if budget.has_left(instances, now_s):
            return True
        self._notes.note_no_budget(instances)
        return False

    def _may_repeat(self) -> bool:
        return (
            self._call.route.is_repeatable
            and self.progress.runs < self._call.route.attempts
        )

    async def _offer(self, placement: Placement) -> bool:
        """Send the call to a placement; return whether it was answered."""
        target = placement.parts[0].target
        self._runs.start(placement)
        self._notes.note_turn(placement)
        await self._runs.wait_turn()
        if not self._is_current(placement):
            return False
        record = self._beliefs.directory.records[target]
        helpers = await self._prepare_helpers(placement)
        if helpers is None:
            return False
        exchange = await open_exchange(record.address)
        self._exchange = exchange
        exchange.patience_s = self._find_patience_s(placement)
        exchange.find_backlog_s = functools.partial(
            self._find_backlog_s, target
        )
        offer = self._make_offer(target, helpers)
        self._notes.note_sent(placement, offer)
        exchange.send(self._call, offer)
        work = self._take_answer(target, exchange)
        if not self._may_repeat():
            return await work
        return await await_answer(work, exchange)

    def _is_current(self, placement: Placement) -> bool:
        """Return whether no target has left since the placement."""
        serving = {
            record.name
            for record in self._beliefs.directory.list_serving(
                self._call.service
            )
        }
        return all(part.target in serving for part in placement.parts)

    async def _prepare_helpers(
        self,
        placement: Placement,
    ) -> tuple[HelperPlace, ...] | None:
        """Return the helpers; none if memory could not be reserved."""
        records = self._beliefs.directory.records
        addresses = [records[part.target].address for part in placement.parts]
        if not placement.tickets:
            return tuple(HelperPlace(address) for address in addresses[1:])
        count = len(placement.tickets)
        self._reservations = await reserve(
            self._beliefs,
            self._call.head.request_id,
            list(zip(addresses[:count], placement.tickets, strict=True)),
        )
        if self._reservations is None:
            await self._take_rejection('memory could not be reserved')
            return None
        bare = tuple(HelperPlace(address) for address in addresses[count:])
        return self._reservations.places + bare

    def _make_offer(
        self, target: str, helpers: tuple[HelperPlace, ...]
    ) -> Offer:
        return Offer(
            target=target,
            remaining_s=self._call.ends_s - self._beliefs.get_now_s(),
            priority=min(LOWEST_PRIORITY, self._call.priority),
            helpers=helpers,
            last_event=self.progress.last_event,
        )

    def _find_patience_s(self, placement: Placement) -> float:
        if self._call.head.prompt is None:
            return PLAIN_PATIENCE_S
        return LEAST_PATIENCE_S + PATIENCE_FACTOR * placement.first_event_s

    def _find_backlog_s(self, target: str) -> float:
        load = self._beliefs.loads.find(target)
        return load.find_backlog_s(self._beliefs.get_now_s())

    async def _take_answer(self, target: str, exchange: TargetExchange) -> bool:
        head = await exchange.read_head(self._call.head.request_id)
        if head.not_run:
            self._notes.note_rejected(target, head)
            if self._is_fault_of_other(target, head):
                return False
            await self._take_rejection('all targets asked are full')
            return False
        if head.is_success and not head.is_sealed:
            raise AnswerBroken('a success without the signature')
        if head.is_success and self._call.route.kind is CallKind.stream:
            pause_s = self._call.route.pause_aim_s * PAUSE_FACTOR
            exchange.patience_s = max(LEAST_PATIENCE_S, pause_s)
            await self._relay.relay_stream(
                exchange, head, functools.partial(self._note_event, target)
            )
            self._notes.note_outcome(target, Outcome.served)
            return True
        return await self._take_whole(target, head, await exchange.read_whole())

    def _is_fault_of_other(self, target: str, head: AnswerHead) -> bool:
        """Take a rejection; return whether another target is to blame.

        That one is avoided from now on, so that the next offer, which need
        not wait, does without it.
        """
        record = self._beliefs.directory.records.get(target)
        own = {target, record.address if record else ''}
        if not head.at_fault or head.at_fault in own:
            self._excluded.add(target)
            return False
        self.progress.faults += 1
        return self.progress.faults <= MAXIMUM_FAULTS

    async def _take_whole(
        self, target: str, head: AnswerHead, content: bytes
    ) -> bool:
        served = head.status < 500
        outcome = Outcome.served if served else Outcome.failed
        self._notes.note_outcome(target, outcome)
        if not served and self._may_repeat():
            self._failure = (head, content)
            self._excluded.add(target)
            return False
        await self._send_answer(head, content)
        return True

    async def _send_answer(self, head: AnswerHead, content: bytes) -> None:
        if self.progress.has_begun:
            raise CallFailed(
                Refusal(502, 'stream_lost', 'may_have_run', 'no answer')
            )
        await self._relay.send_whole(head, content)

    async def _take_rejection(self, reason: str) -> None:
        """Take that no run began; go on after a pause, or give up."""
        self.progress.rejections += 1
        if self.progress.rejections > MAXIMUM_REJECTIONS:
            await self._give_up(reason)
        await asyncio.sleep(REJECTED_PAUSE_S)

    async def _take_unreachable(self) -> None:
        """Take that nothing was sent; go on after a pause, or give up."""
        self.progress.unreachable += 1
        if self.progress.unreachable > MAXIMUM_UNREACHABLE:
            await self._give_up('no target can be reached')
        if self.progress.unreachable > 1:
            await asyncio.sleep(REJECTED_PAUSE_S * self.progress.unreachable)

    def _note_event(self, target: str) -> None:
        now_s = self._beliefs.get_now_s()
        pause_s = self.progress.note_event(now_s)
        if pause_s is not None and self._runs.writes:
            self._notes.note_pause(target, pause_s)
        self._runs.note_event(now_s)

    async def _give_up(self, reason: str) -> None:
        """End the call with the best that is known of it."""
        if self._failure is not None and not self.progress.has_begun:
            await self._send_answer(*self._failure)
            return
        raise CallFailed(describe_end(self.progress, reason))


def make_attempts(
    beliefs: Beliefs,
    peers: PeerExchange,
    call: Call,
    caller: CallerConnection,
) -> Attempts:
    """Return the offers of a call, none of them sent."""
    progress = CallProgress(call.arrived_s, call.head.last_event)
    return Attempts(
        beliefs,
        call,
        AnswerRelay(caller, progress),
        RunKeeper(beliefs, peers, call),
        OfferNotes(beliefs, peers, call, progress),
        progress,
    )
