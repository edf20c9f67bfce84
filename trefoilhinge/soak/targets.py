"""Stand-ins of targets that write down what they run."""

import asyncio
import enum
import time

from attrs import define, field

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.platform.reservations import ORDER_PATH
from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.ledgers import (
    FREE_S,
    Kind,
    Ledger,
    RunSeen,
    make_content,
    make_event,
)
from trefoilhinge.standins.http_listener import HttpExchange, serve_http

EVENTS = 12  # of a stream
PAUSE_S = 0.05  # between two events
WORK_S = 0.03  # of a plain call
MUTE_S = 60.0
TORN_AT = 5  # event in the middle of which a torn stream ends
UNAVAILABLE = 503


class Mood(enum.Enum):
    """How a target behaves for now."""

    sound = 'sound'
    losing = 'losing'
    tearing = 'tearing'
    mute = 'mute'
    full = 'full'


@define
class SoakTarget:
    """One target.

    :ivar service: service that its entry names.
    :ivar tickets: seconds at which each reservation ends by itself.
    """

    name: str
    service: str
    address: Address
    ledger: Ledger
    mood: Mood = Mood.sound
    tickets: dict[str, float] = field(factory=dict)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Serve."""
        self._server = await serve_http(*self.address, self._answer)

    def list_kept(self, now_s: float, quiet_since_s: float) -> list[str]:
        """Return tickets that are held though no call has run for long."""
        return [
            name
            for name, expires_s in self.tickets.items()
            if expires_s > now_s and now_s - quiet_since_s > FREE_S
        ]

    async def _answer(self, asked: HttpExchange) -> None:
        if asked.path == ORDER_PATH:
            await self._take_order(asked)
            return
        offer = formats.decode_request_headers(asked.headers)
        if self.mood is Mood.full:
            await asked.respond(UNAVAILABLE, b'', [formats.NOT_RUN_HEADER])
            return
        self._note_run(offer)
        kind = Kind(asked.path.split('/')[1])
        if kind is Kind.stream and self.mood is not Mood.mute:
            await self._stream(asked, offer)
        else:
            await self._work(asked, offer, kind)

    async def _work(
        self, asked: HttpExchange, offer: formats.ReceivedRequest, kind: Kind
    ) -> None:
        await asyncio.sleep(MUTE_S if self.mood is Mood.mute else WORK_S)
        if self.mood is Mood.losing:
            asked.writer.transport.abort()
            return
        content = make_content(kind, offer.request_id)
        await asked.respond(200, content, [formats.SEAL_HEADER])

    def _note_run(self, offer: formats.ReceivedRequest) -> None:
        self.ledger.runs.append(
            RunSeen(offer.request_id, self.name, time.monotonic())
        )

    async def _stream(
        self, asked: HttpExchange, offer: formats.ReceivedRequest
    ) -> None:
        headers = [formats.SEAL_HEADER, formats.EVENT_STREAM_HEADER]
        await asked.send_headers(200, headers)
        for number in range(offer.last_event + 1, EVENTS + 1):
            event = make_event(offer.request_id, number)
            is_torn = self.mood is Mood.tearing and number == TORN_AT
            if is_torn:
                await asked.send_body(event[: len(event) // 2])
                asked.writer.transport.abort()
                return
            await asked.send_body(event)
            await asyncio.sleep(PAUSE_S)
        await asked.end_response()

    async def _take_order(self, asked: HttpExchange) -> None:
        order = formats.decode_order(asked.body)
        if order.is_reservation:
            self.tickets[order.reservation_id] = time.monotonic() + order.hold_s
        else:
            self.tickets.pop(order.reservation_id, None)
        await asked.respond(200, b'{"free": 1}')
