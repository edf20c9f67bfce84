"""Plays placements of the gateway's cores on engines that work in passes."""

import heapq
import itertools
from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.loads import LoadTable, Run
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.measure.phased_workload import Arrival
from trefoilhinge.standins.passes import PassEngine, Prompt, split_prompt

HOP_S = 0.002  # from a caller over an instance to an engine, and back
NEWS_S = 0.004  # until all instances know that a prompt was read
ABANDON_S = 2.0  # callers leave a stream after a longer pause
ABANDON_PAUSES = 8  # or after so many times the longest pause on time
ABANDON_AIMS = 4  # or after so many times their aim, whichever is longest
ORIGIN = 'measure'


@frozen
class Outcome:
    """What became of one call.

    :ivar first_s: seconds to its first event; none if it was refused.
    :ivar expected_s: the same, as its placement predicted.
    :ivar pause_s: its longest pause, seconds.
    """

    arrival: Arrival
    first_s: float | None
    expected_s: float
    pause_s: float
    readers: int

    @property
    def is_on_time(self) -> bool:
        """Return whether first event and pauses kept to their aims."""
        if self.first_s is None:
            return False
        route = self.arrival.kind.route
        return self.first_s <= route.slo_s and self.pause_s <= route.gap_slo_s

    @property
    def credit(self) -> float:
        """Return its credit, in the unit of its kind's worth."""
        kind = self.arrival.kind
        patience_s = max(
            ABANDON_S,
            ABANDON_PAUSES * kind.route.gap_slo_s,
            ABANDON_AIMS * kind.route.slo_s,
        )
        if self.first_s is None or self.pause_s > patience_s:
            return 0
        earned = kind.worth if self.is_on_time else kind.late_worth
        return earned * self.arrival.share


@define
class _Live:
    """A call that was placed.

    :ivar look_s: seconds at which its turn comes at the latest.
    """

    arrival: Arrival
    run: Run
    placement: Placement
    prompt: Prompt
    look_s: float = 0


@define
class PassFleet:
    """Engines, one common view of their loads, and the calls that come."""

    figures: EngineProfile
    records: list[TargetRecord]
    loads: LoadTable = field(factory=LoadTable)
    outcomes: list[Outcome] = field(factory=list)
    _engines: dict[str, PassEngine] = field(factory=dict)
    _events: list[tuple[float, int, object]] = field(factory=list)
    _order: 'itertools.count[int]' = field(factory=itertools.count)
    _live: dict[int, _Live] = field(factory=dict)
    _waiting: list[_Live] = field(factory=list)

    def play(self, arrivals: Iterable[Arrival]) -> list[Outcome]:
        """Play calls until the last has ended; return what became of them."""
        for record in self.records:
            self._engines[record.name] = PassEngine(self.figures)
        for arrival in arrivals:
            self._push(arrival.at_s, arrival)
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            if isinstance(event, Arrival):
                self._place(event, now_s)
            elif isinstance(event, str):
                self._end_pass(event, now_s)
            else:
                self._send_waiting(now_s)
        return self.outcomes

    def _push(self, at_s: float, event: Arrival | str | None) -> None:
        """Note an arrival, a pass's end, or a look at those that wait."""
        heapq.heappush(self._events, (at_s, next(self._order), event))

    def _place(self, arrival: Arrival, now_s: float) -> None:
        placement = place_prompt(
            list_candidates(self.records, self.loads),
            self.figures,
            arrival.kind.route,
            arrival.size,
            now_s,
        )
        if placement is None:
            self.outcomes.append(Outcome(arrival, None, 0, 0, 0))
            return
        run = Run(
            origin=ORIGIN,
            number=next(self._order),
            parts=placement.parts,
            context_tokens=arrival.size.prompt_tokens,
            output_tokens=arrival.size.expected_output_tokens,
            gap_slo_s=arrival.kind.route.gap_slo_s,
            started_s=now_s,
            send_delay_s=placement.send_delay_s,
        )
        self.loads.record_start(
            run, now_s + arrival.kind.route.timeout_s, now_s
        )
        context = max(
            placement.reserved_tokens, default=arrival.size.prompt_tokens
        )
        prompt = Prompt(run.number, context, arrival.answer_tokens)
        self._waiting.append(_Live(arrival, run, placement, prompt))
        self._send_waiting(now_s)

    def _send_waiting(self, now_s: float) -> None:
        for live in tuple(self._waiting):
            turn_s = now_s
            if live.run.send_delay_s:
                turn_s = self.loads.find_send_time_s(live.run, now_s)
            if turn_s > now_s:
                if turn_s != live.look_s:
                    live.look_s = turn_s
                    self._push(turn_s, None)
            else:
                self._waiting.remove(live)
                self.loads.record_sent(live.run.key, now_s)
                self._send(live, now_s)

    def _send(self, live: _Live, now_s: float) -> None:
        number = live.run.number
        tickets = live.placement.reserved_tokens
        names = [part.target for part in live.placement.parts]
        for name, tokens in zip(names[1:], tickets[1:], strict=False):
            self._engines[name].held_context[number] = tokens
        self._live[number] = live
        parts = split_prompt(
            self.figures,
            live.prompt,
            live.arrival.size.prompt_tokens,
            len(names),
        )
        for name, part in zip(names, parts, strict=True):
            engine = self._engines[name]
            if part.is_own:
                engine.take_call(live.prompt, part)
            else:
                engine.take_part(part)
            self._wake(name, now_s + HOP_S)

    def _wake(self, name: str, now_s: float) -> None:
        engine = self._engines[name]
        if engine.busy_until_s is None:
            ends_s = engine.begin_pass(now_s)
            if ends_s is not None:
                self._push(ends_s, name)

    def _end_pass(self, name: str, now_s: float) -> None:
        ended = self._engines[name]
        for prompt in ended.end_pass(now_s):
            self._finish(prompt.key, now_s)
        for other_name, other in self._engines.items():
            if other is ended or other.busy_until_s is None:
                self._begin_answers(other_name, other, now_s)
        self._wake(name, now_s)

    def _begin_answers(
        self, name: str, engine: PassEngine, now_s: float
    ) -> None:
        begun = engine.begin_answers(now_s)
        for prompt in begun:
            self.loads.record_first_event((ORIGIN, prompt.key), now_s)
        if begun:
            self._wake(name, now_s)
            self._push(now_s + NEWS_S, None)

    def _finish(self, number: int, now_s: float) -> None:
        live = self._live.pop(number)
        for engine in self._engines.values():
            engine.held_context.pop(number, None)
        self.loads.record_end(live.run.key, now_s)
        times = live.prompt.event_times
        pauses = [after - before for before, after in itertools.pairwise(times)]
        self.outcomes.append(
            Outcome(
                live.arrival,
                times[0] + HOP_S - live.arrival.at_s,
                live.placement.first_event_s,
                max(pauses, default=0),
                len(live.placement.parts),
            )
        )
