"""Stand-ins of targets that record the calls that they run."""

import asyncio
import enum
import time
from collections.abc import Callable, Iterator

from attrs import define, field

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.platform.reservations import ORDER_PATH
from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.crashes import CrashSource
from trefoilhinge.soak.demands import (
    ENGINE_SLOTS,
    EVENT_INTERVAL_S,
    Demand,
    EnginePrefills,
)
from trefoilhinge.soak.observations import RELEASE_TIMEOUT_S, ObservationLog
from trefoilhinge.soak.records import (
    LONG_NAME,
    QUEUED_NAME,
    CallKind,
    ObservedArrival,
    ObservedRun,
    make_content,
)
from trefoilhinge.soak.spoiled_events import choose_spoiled_event, make_writes
from trefoilhinge.standins.http_listener import Header, HttpExchange, serve_http

STREAM_EVENTS = 12
PLAIN_CALL_S = 0.03
SLOW_CALL_S = 6.0  # of plain calls that may take longer than a stop
UNRESPONSIVE_S = 60.0  # longer than any caller waits
TRUNCATED_EVENT = 5  # the event within which a truncated stream ends
UNAVAILABLE_STATUS = 503


class TargetBehaviour(enum.Enum):
    """Behaviour of a target.

    A ``losing`` target drops answers of plain calls, a ``tearing`` one
    truncates streams, a ``mute`` one answers after ``UNRESPONSIVE_S`` only
    and a ``full`` one refuses all calls.
    """

    sound = 'sound'
    losing = 'losing'
    tearing = 'tearing'
    mute = 'mute'
    full = 'full'


@define
class SoakTarget:
    """Stand-in of one target.

    :ivar service: service that its entry in the store names.
    :ivar requests_per_s: limit that its answers name, none if it has none.
    :ivar cold_until_s: end of the time for which its entry and its answers say
        that it is cold.
    :ivar spoiled_until_s: end of the time in which it spoils an event of each
        stream.
    :ivar number_excess: by how much the numbers of events that it makes larger
        are too large.
    :ivar started_ms: wall-clock milliseconds of its start.
    :ivar sequence: number of its registration, in its entry.
    :ivar crashed_s: time of its last crash.
    :ivar get_crash_source: returns what crashes targets at present, if
        anything does.
    :ivar get_demand: returns what all callers ask for at present; the target
        takes time to prefill and has few slots then.
    :ivar prefills: prefills of all engines.
    :ivar on_crash: called when a request crashes the target.
    :ivar slots: free slots of its engine.
    :ivar reservations: expiry time of each reservation, in seconds of the
        monotonic clock.
    """

    name: str
    service: str
    failure_domain: str
    address: Address
    observations: ObservationLog
    behaviour: TargetBehaviour = TargetBehaviour.sound
    requests_per_s: float | None = None
    cold_until_s: float = float('-inf')
    spoiled_until_s: float = float('-inf')
    number_excess: int = 1
    started_ms: int = 1000
    sequence: int = 1
    crashed_s: float = float('-inf')
    get_crash_source: Callable[[], CrashSource | None] = lambda: None
    get_demand: Callable[[], Demand | None] = lambda: None
    prefills: EnginePrefills = field(factory=EnginePrefills)
    on_crash: Callable[['SoakTarget', CrashSource], None] | None = None
    reservations: dict[str, float] = field(factory=dict)
    slots: asyncio.Semaphore = field(
        factory=lambda: asyncio.Semaphore(ENGINE_SLOTS)
    )
    _known_reservations: set[str] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await serve_http(*self.address, self._handle_request)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def list_leaked_reservations(
        self, now_s: float, quiet_since_s: float
    ) -> list[str]:
        """Return reservations that are held long after the last call.

        :param quiet_since_s: time at which the last call ended.
        """
        return [
            name
            for name, expires_s in self.reservations.items()
            if expires_s > now_s and now_s - quiet_since_s > RELEASE_TIMEOUT_S
        ]

    def compute_cold_s(self) -> float:
        """Return the seconds for which the target stays cold."""
        return max(0, self.cold_until_s - time.monotonic())

    def _list_headers(self, *headers: Header) -> list[Header]:
        """Return the headers of an answer, with what the target needs."""
        needs: list[Header] = []
        if self.requests_per_s is not None:
            needs.append(formats.encode_rate_header(self.requests_per_s))
        cold_s = self.compute_cold_s()
        if cold_s:
            needs.append(formats.encode_cold_header(cold_s))
        return [*headers, *needs]

    async def _handle_request(self, request: HttpExchange) -> None:
        is_order = request.path == ORDER_PATH
        self.observations.arrivals.append(
            ObservedArrival(self.address[1], time.monotonic(), is_order)
        )
        if is_order:
            await self._handle_order(request)
            return
        received = formats.decode_request_headers(request.headers)
        source = self._find_crash_source(request, received)
        if self.behaviour is TargetBehaviour.full:
            await request.respond(
                UNAVAILABLE_STATUS,
                b'',
                self._list_headers(formats.NOT_RUN_HEADER),
            )
            return
        self._record_run(received)
        if source is not None and self.behaviour is not TargetBehaviour.mute:
            await self._crash(request, source)
            return
        kind = CallKind(request.path.split('/')[1])
        if (
            kind is CallKind.stream
            and self.behaviour is not TargetBehaviour.mute
        ):
            await self._serve_from_slot(request, received)
        else:
            await self._serve_plain(request, received, kind)

    def _find_crash_source(
        self, request: HttpExchange, received: formats.ReceivedRequest
    ) -> CrashSource | None:
        source = self.get_crash_source()
        if source is None or not source.matches(request.path, received):
            return None
        source.trait.arrivals_s.append(time.monotonic())
        return source

    async def _crash(self, request: HttpExchange, source: CrashSource) -> None:
        """Begin to run a request, and crash."""
        await asyncio.sleep(PLAIN_CALL_S)
        if source.call_kind is CallKind.stream:
            await request.send_headers(
                200, [formats.SEAL_HEADER, formats.EVENT_STREAM_HEADER]
            )
        if self.on_crash is not None:
            self.on_crash(self, source)

    async def _serve_plain(
        self,
        request: HttpExchange,
        received: formats.ReceivedRequest,
        kind: CallKind,
    ) -> None:
        is_slow = f'/{QUEUED_NAME}/' in request.path
        sound_s = SLOW_CALL_S if is_slow else PLAIN_CALL_S
        await asyncio.sleep(
            UNRESPONSIVE_S
            if self.behaviour is TargetBehaviour.mute
            else sound_s
        )
        if self.behaviour is TargetBehaviour.losing:
            request.writer.transport.abort()
            return
        is_long = request.path.endswith(f'/{LONG_NAME}')
        content = make_content(kind, received.request_id, is_long)
        await request.respond(
            200, content, self._list_headers(formats.SEAL_HEADER)
        )

    def _record_run(self, received: formats.ReceivedRequest) -> None:
        self.observations.runs.append(self._make_run(received.request_id))
        for name in received.reservations:
            self.observations.users.setdefault(name, set()).add(
                received.request_id
            )

    def _make_run(self, name: str) -> ObservedRun:
        return ObservedRun(
            name, self.name, time.monotonic(), self.failure_domain
        )

    async def _serve_from_slot(
        self, request: HttpExchange, received: formats.ReceivedRequest
    ) -> None:
        """Serve a stream, in a slot and after its prefill if these count."""
        demand = self.get_demand()
        if demand is None:
            await self._serve_stream(request, received)
            return
        own_address = f'{self.address[0]}:{self.address[1] + 1}'
        async with self.slots:
            await self.prefills.prefill(
                (own_address, *received.helpers),
                received.prompt_tokens,
                demand.prefill_tokens_per_s,
            )
            await self._serve_stream(request, received, demand.event_interval_s)

    async def _serve_stream(
        self,
        request: HttpExchange,
        received: formats.ReceivedRequest,
        interval_s: float = EVENT_INTERVAL_S,
    ) -> None:
        headers = self._list_headers(
            formats.SEAL_HEADER, formats.EVENT_STREAM_HEADER
        )
        await request.send_headers(200, headers)
        for number, content in self._make_writes(received):
            is_truncated = (
                self.behaviour is TargetBehaviour.tearing
                and number == TRUNCATED_EVENT
            )
            if is_truncated:
                await request.send_body(content[: len(content) // 2])
                request.writer.transport.abort()
                return
            await request.send_body(content)
            await asyncio.sleep(interval_s)
        await request.end_response()
        self.observations.finished_s[received.request_id] = time.monotonic()

    def _make_writes(
        self, received: formats.ReceivedRequest
    ) -> Iterator[tuple[int, bytes]]:
        """Return the writes of a stream; spoil an event if it is time to."""
        spoiled = None
        if time.monotonic() < self.spoiled_until_s:
            spoiled = choose_spoiled_event(
                received.request_id, STREAM_EVENTS, self.number_excess
            )
            self.observations.spoiled.add(received.request_id)
        numbers = range(received.last_event + 1, STREAM_EVENTS + 1)
        return make_writes(received.request_id, numbers, spoiled)

    async def _handle_order(self, request: HttpExchange) -> None:
        order = formats.decode_order(request.body)
        if order.is_reservation:
            if order.reservation_id not in self._known_reservations:
                self._known_reservations.add(order.reservation_id)
                self.observations.new_reservations.append(
                    self._make_run(order.reservation_id)
                )
            self.reservations[order.reservation_id] = (
                time.monotonic() + order.hold_s
            )
        else:
            self.reservations.pop(order.reservation_id, None)
        await request.respond(200, b'{"free": 1}')
