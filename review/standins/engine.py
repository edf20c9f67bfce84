"""Stand-in of a model replica, with reservations of its memory."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.standins.http import Exchange, serve

EVENTS = 24
FIRST_EVENT_S = 0.8
EVENT_INTERVAL_S = 0.2
MEMORY_TOKENS = 232_000
MAXIMUM_HOLD_MS = 20_000

Write = Callable[[str], None]


@dataclass
class Ticket:
    """A reservation.

    ``users`` are the requests that use it at present.
    """

    tokens: int
    expires_s: float
    users: set[str] = field(default_factory=set)


class Engine:
    """A replica that reads prompts, with helpers, and writes streams.

    Requests whose memory ends are cut off. ``shared`` lists the tickets that
    two requests used at the same time.
    """

    def __init__(self, name: str, address: tuple[str, int], write: Write):
        """Create a replica that does not listen yet."""
        self.name = name
        self.address = address
        self.tickets: dict[str, Ticket] = {}
        self.shared: list[tuple[str, tuple[str, ...]]] = []
        self.peers: dict[str, 'Engine'] = {}
        self._write = write

    async def start(self) -> None:
        """Start listening."""
        await serve(*self.address, self._handle)

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.target == '/order':
            await self._handle_order(exchange)
            return
        request_id = exchange.headers.get('x-request-id', '')
        if exchange.headers.get('x-expect-replica') != self.name:
            await exchange.respond(421, headers={'X-Replica-Id': self.name})
            return
        held = []
        for entry in exchange.headers.get('x-helpers', '').split(','):
            address, _, ticket_id = entry.partition('/')
            if not ticket_id:
                continue
            owner = self.peers[address]
            ticket = owner.find_ticket(ticket_id)
            if ticket is None:
                await exchange.respond(503, headers={'X-Not-Run': '1'})
                return
            held.append((owner, ticket_id, ticket))
        self._write(
            f'{request_id} runs at {self.name}, memory'
            f' {exchange.headers.get("x-helpers", "")}'
        )
        for owner, ticket_id, ticket in held:
            owner.begin_use(ticket_id, ticket, request_id)
        try:
            await self._stream(exchange, request_id, held)
        finally:
            for _, _, ticket in held:
                ticket.users.discard(request_id)

    def find_ticket(self, ticket_id: str) -> Ticket | None:
        """Return a reservation that holds."""
        ticket = self.tickets.get(ticket_id)
        if ticket is not None and ticket.expires_s <= time.monotonic():
            self.tickets.pop(ticket_id)
            return None
        return ticket

    def begin_use(
        self, ticket_id: str, ticket: Ticket, request_id: str
    ) -> None:
        """Let a request use a reservation; whose it is isn't checked."""
        ticket.users.add(request_id)
        if len(ticket.users) > 1:
            users = tuple(sorted(ticket.users))
            self.shared.append((ticket_id, users))
            self._write(
                f'two requests use ticket {ticket_id} of {self.name}:'
                f' {" and ".join(users)}'
            )

    async def _stream(
        self,
        exchange: Exchange,
        request_id: str,
        held: list[tuple['Engine', str, Ticket]],
    ) -> None:
        await asyncio.sleep(FIRST_EVENT_S)
        headers = {
            'Content-Type': 'text/event-stream',
            'X-Request-Id': request_id,
            'X-Server-Seal': 'seal',
        }
        last = int(exchange.headers.get('last-event-id', 0))
        await exchange.start_chunks(200, headers)
        for number in range(last + 1, EVENTS + 1):
            for owner, ticket_id, ticket in held:
                if owner.find_ticket(ticket_id) is not ticket:
                    self._write(
                        f'{request_id} is cut off at event {number}: ticket'
                        f' {ticket_id} of {owner.name} was released'
                    )
                    exchange.reset()
                    return
            await exchange.send_chunk(
                f'id: {number}\ndata: {request_id}\n\n'.encode()
            )
            await asyncio.sleep(EVENT_INTERVAL_S)
        await exchange.send_chunk(b'')
        self._write(f'{request_id} ended well at {self.name}')

    async def _handle_order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.body)
        ticket_id = order['id']
        if order['op'] == 'release':
            self.tickets.pop(ticket_id, None)
            self._write(f'{self.name}: release {ticket_id}')
            await self._answer_order(exchange, 200)
            return
        hold_s = min(MAXIMUM_HOLD_MS, order['holdMs']) / 1000
        known = self.find_ticket(ticket_id)
        if known is not None:
            known.expires_s = time.monotonic() + hold_s
            await self._answer_order(exchange, 200)
            return
        if order['tokens'] > self._count_free():
            self._write(f'{self.name}: no memory for {ticket_id}')
            await self._answer_order(exchange, 409)
            return
        self.tickets[ticket_id] = Ticket(
            order['tokens'], time.monotonic() + hold_s
        )
        self._write(
            f'{self.name}: reserve {ticket_id}, {order["tokens"]} tokens'
        )
        await self._answer_order(exchange, 200)

    async def _answer_order(self, exchange: Exchange, status: int) -> None:
        content = json.dumps({'free': self._count_free()}).encode()
        await exchange.respond(
            status, content, {'Content-Type': 'application/json'}
        )

    def _count_free(self) -> int:
        now_s = time.monotonic()
        return MEMORY_TOKENS - sum(
            ticket.tokens
            for ticket in self.tickets.values()
            if ticket.expires_s > now_s
        )
