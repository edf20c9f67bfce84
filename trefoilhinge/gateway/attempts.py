"""Offers of one call to targets, until one answers or none may be asked."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Call, HelperPlace, Offer
from trefoilhinge.dispatch.documents import CallKind, EngineFigures
from trefoilhinge.dispatch.events import EventSplitter, StreamPiece
from trefoilhinge.dispatch.health import Outcome
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.placement import (
    Placement,
    list_candidates,
    place_plain,
    place_prompt,
)
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.beliefs import Beliefs
from trefoilhinge.gateway.callers import CallerConnection, Refusal
from trefoilhinge.gateway.exchange import PeerExchange
from trefoilhinge.gateway.exchanges import (
    AnswerBroken,
    TargetExchange,
    TargetUnreachable,
    open_exchange,
)
from trefoilhinge.gateway.reservations import Reservations, reserve

MAXIMUM_REJECTIONS = 3  # targets that say they did not run the call
REJECTED_PAUSE_S = 0.03  # before the next target is asked, for news to come
BUSY_RETRY_S = 0.7  # until a short stream has freed a place
NO_TARGET_RETRY_S = 1.0  # until a target that starts is in the store
FAULT_AVOID_S = 2.0  # of a target that another one could not reach
PLAIN_READING_S = 0.0


class CallFailed(Exception):
    """No answer can be had; the refusal tells the caller so."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep what the caller is told."""
        super().__init__(refusal.code)
        self.refusal = refusal


@define
class Attempts:
    """One call's offers.

    :ivar offers: offers that were sent.
    :ivar runs: offers that may have run.
    :ivar has_begun: whether a part of an answer went to the caller.
    :ivar last_event: number of the last event that went to the caller.
    """

    _beliefs: Beliefs
    _peers: PeerExchange
    _call: Call
    _caller: CallerConnection
    offers: int = 0
    runs: int = 0
    status: int = 0
    has_begun: bool = False
    last_event: int | None = None
    first_event_s: float | None = None
    longest_pause_s: float = 0.0
    _event_at_s: float = 0.0
    _rejections: int = 0
    _excluded: set[str] = field(factory=set)
    _run: Run | None = None
    _exchange: TargetExchange | None = None
    _reservations: Reservations | None = None
    _failure: tuple[AnswerHead, bytes] | None = None

    async def run(self) -> None:
        """Offer the call until it is answered.

        :raises CallFailed: it cannot be.
        """
        self.last_event = self._call.head.last_event
        while True:
            placement = self._place()
            if not await self._check_repeat():
                return
            try:
                if await self._offer(placement):
                    return
            except TargetUnreachable as problem:
                self._note_unreachable(placement, str(problem))
            except AnswerBroken as problem:
                await self._note_broken(placement, str(problem))
            finally:
                self._release()

    def describe_timeout(self) -> Refusal:
        """Return what a caller is told whose time is over."""
        if self.runs:
            return Refusal(
                504, 'time_over', 'may_have_run', 'no answer came in time'
            )
        return Refusal(
            503, 'time_over', 'not_run', 'no target could be asked in time'
        )

    def close(self) -> None:
        """Drop whatever is still open."""
        self._release()

    async def _check_repeat(self) -> bool:
        """Return whether one more offer may be sent."""
        if not self.offers:
            return True
        budget = self._beliefs.find_budget(self._call.service)
        now_s = self._beliefs.get_now_s()
        instances = self._beliefs.peers.count_instances(now_s)
        if budget.has_left(instances, now_s):
            return True
        self._beliefs.log.write(
            'repeat_refused',
            request=self._call.head.request_id,
            instances=instances,
        )
        await self._give_up('repeats are used up')
        return False

    def _place(self) -> Placement:
        beliefs = self._beliefs
        now_s = beliefs.get_now_s()
        records = {
            record.name: record
            for record in beliefs.directory.list_serving(self._call.service)
        }
        usable = beliefs.health.list_usable(list(records), now_s)
        names = [name for name in usable if name not in self._excluded]
        found = [records[name] for name in names or usable]
        placement = self._place_among(found, now_s)
        if placement is None:
            raise CallFailed(
                Refusal(
                    503,
                    'no_target',
                    'may_have_run' if self.runs else 'not_run',
                    'no target can take the call now',
                    NO_TARGET_RETRY_S,
                )
            )
        return placement

    def _place_among(
        self,
        found: list[TargetRecord],
        now_s: float,
    ) -> Placement | None:
        size = self._call.head.prompt
        figures = self._find_figures()
        loads = self._beliefs.loads
        if size is not None and figures is not None:
            return place_prompt(
                list_candidates(found, loads),
                figures,
                self._call.route,
                size,
                now_s,
            )
        domain = self._beliefs.settings.failure_domain
        chosen = place_plain(found, loads, domain)
        if chosen is None:
            return None
        part = RunPart(chosen.name, PLAIN_READING_S, 0, has_place=True)
        return Placement((part,), (), 0.0, 0.0)

    def _find_figures(self) -> EngineFigures | None:
        document = self._beliefs.document
        if document is None:
            return None
        service = document.services.get(self._call.service)
        return service.engine if service else None

    async def _offer(self, placement: Placement) -> bool:
        """Send the call to a placement; return whether it was answered."""
        target = placement.parts[0].target
        record = self._beliefs.directory.records[target]
        self._start_run(placement)
        helpers = await self._prepare_helpers(placement)
        if helpers is None:
            return False
        self._exchange = await open_exchange(record.address)
        offer = self._make_offer(target, helpers)
        self._note_sent(placement, offer)
        self._exchange.send(self._call, offer)
        head = await self._exchange.read_head(self._call.head.request_id)
        if head.not_run:
            await self._note_rejected(target, head)
            return False
        return await self._take_answer(target, head)

    async def _prepare_helpers(
        self, placement: Placement
    ) -> tuple[HelperPlace, ...] | None:
        records = self._beliefs.directory.records
        addresses = [
            records[part.target].address for part in placement.parts
        ]
        if not placement.tickets:
            return tuple(HelperPlace(address) for address in addresses[1:])
        self._reservations = await reserve(
            self._beliefs,
            self._call.head.request_id,
            list(zip(addresses, placement.tickets, strict=True)),
        )
        if self._reservations is None:
            self._rejections += 1
            if self._rejections > MAXIMUM_REJECTIONS:
                await self._give_up('memory could not be reserved')
            await asyncio.sleep(REJECTED_PAUSE_S)
            return None
        return self._reservations.places

    def _make_offer(
        self, target: str, helpers: tuple[HelperPlace, ...]
    ) -> Offer:
        now_s = self._beliefs.get_now_s()
        return Offer(
            target=target,
            remaining_s=self._call.ends_s - now_s,
            priority=min(9, self._call.priority),
            helpers=helpers,
            last_event=self.last_event,
        )

    async def _take_answer(self, target: str, head: AnswerHead) -> bool:
        is_stream = self._call.route.kind is CallKind.stream
        if is_stream and head.is_success:
            await self._relay_stream(head)
            self._note_outcome(target, Outcome.served)
            return True
        content = await self._read_whole()
        if head.is_success and not head.is_sealed:
            raise AnswerBroken('a success without the signature')
        served = head.is_success or head.status < 500
        self._note_outcome(
            target, Outcome.served if served else Outcome.failed
        )
        if not served and self._may_repeat():
            self._failure = (head, content)
            self._excluded.add(target)
            return False
        await self._send_answer(head, content)
        return True

    async def _read_whole(self) -> bytes:
        if self._exchange is None:
            raise AnswerBroken('the exchange is closed')
        return await self._exchange.read_whole()

    async def _send_answer(self, head: AnswerHead, content: bytes) -> None:
        if self.has_begun:
            raise CallFailed(
                Refusal(502, 'stream_lost', 'may_have_run', 'no answer')
            )
        self.status = head.status
        self.has_begun = True
        await self._caller.send_whole(head.status, list(head.passed), content)

    async def _relay_stream(self, head: AnswerHead) -> None:
        if self._exchange is None:
            raise AnswerBroken('the exchange is closed')
        if not head.is_sealed:
            raise AnswerBroken('a success without the signature')
        splitter = EventSplitter()
        async for chunk in self._exchange.read_content():
            pieces = splitter.split(chunk)
            if pieces:
                await self._pass_pieces(head, pieces)
        if splitter.rest:
            raise AnswerBroken('the last event is torn')
        if not self.has_begun:
            self._begin(head)
        await self._caller.finish()

    async def _pass_pieces(
        self, head: AnswerHead, pieces: list[StreamPiece]
    ) -> None:
        fresh = []
        for piece in pieces:
            if piece.number is not None and self.last_event is not None:
                if piece.number <= self.last_event:
                    continue
                if piece.number > self.last_event + 1:
                    raise AnswerBroken('an event is missing')
            if piece.number is not None:
                self.last_event = piece.number
            fresh.append(piece.content)
        if not fresh:
            return
        if not self.has_begun:
            self._begin(head)
        self._note_event()
        await self._caller.send(b''.join(fresh))

    def _begin(self, head: AnswerHead) -> None:
        self.has_begun = True
        self.status = head.status
        self._caller.begin(head.status, list(head.passed))

    def _note_event(self) -> None:
        now_s = self._beliefs.get_now_s()
        if self.first_event_s is None:
            self.first_event_s = now_s - self._call.arrived_s
        else:
            pause_s = now_s - self._event_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._event_at_s = now_s
        if self._run is not None and self._run.pause_aim_s > 0:
            self._beliefs.loads.note_first_event(self._run.key, now_s)

    def _may_repeat(self) -> bool:
        return (
            self._call.route.is_repeatable
            and self.runs < self._call.route.attempts
        )

    def _start_run(self, placement: Placement) -> None:
        now_s = self._beliefs.get_now_s()
        size = self._call.head.prompt
        is_stream = self._call.route.kind is CallKind.stream
        self._run = Run(
            origin=self._beliefs.origin,
            number=self._beliefs.make_run_number(),
            parts=placement.parts,
            context_tokens=size.prompt if size else 0,
            answer_tokens=size.answer_expected if size else 0,
            pause_aim_s=self._call.route.pause_aim_s if is_stream else 0.0,
            started_s=now_s,
        )
        lasts_s = max(0.0, self._call.ends_s - now_s)
        self._beliefs.loads.start(self._run, now_s + lasts_s, now_s)
        self._peers.tell_start(self._run, lasts_s)

    def _release(self) -> None:
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._run is not None:
            self._beliefs.loads.end(self._run.key, self._beliefs.get_now_s())
            self._peers.tell_end(self._run)
            self._run = None
        if self._reservations is not None:
            self._reservations.release()
            self._reservations = None

    def _note_sent(self, placement: Placement, offer: Offer) -> None:
        now_s = self._beliefs.get_now_s()
        budget = self._beliefs.find_budget(self._call.service)
        if self.offers:
            budget.note_repeat(now_s)
        else:
            budget.note_first(now_s)
        self.offers += 1
        self.runs += 1
        load = self._beliefs.loads.find(offer.target)
        self._beliefs.log.write(
            'call_offered',
            request=self._call.head.request_id,
            target=offer.target,
            number=self.offers,
            helpers=len(offer.helpers),
            tickets=len(placement.tickets),
            expected_s=placement.first_event_s,
            cost=placement.cost,
            running=load.running,
            last_event=offer.last_event,
            remaining_s=offer.remaining_s,
        )

    def _note_outcome(self, target: str, outcome: Outcome) -> None:
        now_s = self._beliefs.get_now_s()
        if self._beliefs.health.note(target, outcome, now_s):
            self._beliefs.counters.add('targets_avoided')
            self._beliefs.log.write(
                'target_avoided', target=target, outcome=outcome.value
            )

    def _note_unreachable(self, placement: Placement, problem: str) -> None:
        target = placement.parts[0].target
        self._excluded.add(target)
        self._note_outcome(target, Outcome.unreachable)
        self._beliefs.log.write(
            'offer_unreachable',
            request=self._call.head.request_id,
            target=target,
            problem=problem,
        )

    async def _note_rejected(self, target: str, head: AnswerHead) -> None:
        self.runs -= 1
        self._rejections += 1
        self._excluded.add(target)
        self._note_outcome(target, Outcome.rejected)
        self._avoid_fault(head.at_fault)
        self._beliefs.log.write(
            'offer_rejected',
            request=self._call.head.request_id,
            target=target,
            status=head.status,
            at_fault=head.at_fault or None,
        )
        if self._rejections > MAXIMUM_REJECTIONS:
            await self._give_up('all targets asked are full')
        await asyncio.sleep(REJECTED_PAUSE_S)

    def _avoid_fault(self, at_fault: str) -> None:
        if not at_fault:
            return
        now_s = self._beliefs.get_now_s()
        for record in self._beliefs.directory.records.values():
            if at_fault in {record.name, record.address}:
                self._beliefs.health.avoid(record.name, FAULT_AVOID_S, now_s)

    async def _note_broken(self, placement: Placement, problem: str) -> None:
        target = placement.parts[0].target
        self._excluded.add(target)
        self._note_outcome(target, Outcome.failed)
        self._beliefs.log.write(
            'offer_broken',
            request=self._call.head.request_id,
            target=target,
            problem=problem,
            last_event=self.last_event,
        )
        if not self._may_repeat():
            await self._give_up('the answer was lost')

    async def _give_up(self, reason: str) -> None:
        """End the call with the best that is known of it."""
        if self._failure is not None and not self.has_begun:
            await self._send_answer(*self._failure)
            return
        if self.runs:
            raise CallFailed(
                Refusal(502, 'answer_lost', 'may_have_run', reason)
            )
        raise CallFailed(
            Refusal(503, 'targets_full', 'not_run', reason, BUSY_RETRY_S)
        )
