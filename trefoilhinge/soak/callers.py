"""Callers that keep using their connections and write down what they get."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import h11
from attrs import define, field

from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.observations import CallSeen, Kind, Ledger

DEADLINE_S = 4.0
CONNECT_S = 0.5
PAUSE_S = 0.05  # between two calls of one caller
REFUSED_PAUSE_S = 0.5  # after a call that was not served
GAVE_UP_S = 2.0  # past the deadline, a caller listens no longer
SIZES = (
    '5000,1300',
    '60000,1300',
    '300000,1300',
)  # the last needs reservations
READ_BYTES = 65_536
SERVED = 200

_numbers = itertools.count(1)


@define
class SoakCaller:
    """One caller: call after call, each at a connection that it keeps.

    :ivar find_key_end: seconds at which the caller's key was taken away.
    """

    key: str
    instances: list[Instance]
    ledger: Ledger
    draws: random.Random
    find_key_end: Callable[[], float | None]
    stops: bool = False
    _links: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = (
        field(factory=dict)
    )

    async def run(self) -> None:
        """Call until told to stop."""
        while not self.stops:
            served = await self._call()
            await asyncio.sleep(PAUSE_S if served else REFUSED_PAUSE_S)
        for name in tuple(self._links):
            self._drop(name)

    async def _call(self) -> bool:
        """Make a call; return whether it was served."""
        running = [one for one in self.instances if one.runs]
        if not running:
            return False
        instance = self.draws.choice(running)
        link = await self._connect(instance)
        if link is None:
            return False
        kind = self.draws.choice(list(Kind))
        call = CallSeen(
            request_id=f'{self.key}-{next(_numbers)}',
            kind=kind,
            instance=instance.name,
            sent_s=time.monotonic(),
            deadline_s=DEADLINE_S,
            key_ended_s=self.find_key_end(),
        )
        self.ledger.calls.append(call)
        try:
            async with asyncio.timeout(DEADLINE_S + GAVE_UP_S):
                await self._exchange(link, call)
        except (OSError, TimeoutError, h11.ProtocolError):
            call.is_whole = False
        call.ended_s = time.monotonic()
        call.is_stopping = instance.stops
        if not call.is_whole:
            self._drop(instance.name)
        return call.is_whole and call.status == SERVED

    async def _connect(
        self, instance: Instance
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        known = self._links.get(instance.name)
        if known is not None and not known[0].at_eof():
            return known
        self._drop(instance.name)
        try:
            async with asyncio.timeout(CONNECT_S):
                link = await asyncio.open_connection(*instance.entry)
        except OSError:
            return None
        self._links[instance.name] = link
        return link

    async def _exchange(
        self,
        link: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        call: CallSeen,
    ) -> None:
        reader, writer = link
        parser = h11.Connection(h11.CLIENT)
        sizes = {}
        if call.kind is Kind.stream:
            sizes = {'X_Token_Count': self.draws.choice(SIZES), 'X_Model': 'm'}
        headers = formats.encode_caller_headers(
            call.request_id, self.key, call.deadline_s, **sizes
        )
        request = h11.Request(
            method='GET' if call.kind is Kind.repeatable else 'POST',
            target=f'/{call.kind.value}/1',
            headers=[*headers, ('Content-Length', '0')],
        )
        writer.write(parser.send(request) or b'')
        parser.send(h11.EndOfMessage())
        await self._read_answer(parser, reader, call)
        if parser.their_state is not h11.DONE:
            self._drop(call.instance)

    async def _read_answer(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        call: CallSeen,
    ) -> None:
        while not call.is_whole:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
                continue
            if isinstance(event, h11.ConnectionClosed):
                return
            _take_event(call, event)

    def _drop(self, name: str) -> None:
        known = self._links.pop(name, None)
        if known is not None:
            known[1].close()


def _take_event(call: CallSeen, event: object) -> None:
    if isinstance(event, h11.Response):
        call.status = event.status_code
    elif isinstance(event, h11.Data):
        call.content += bytes(event.data)
    elif isinstance(event, h11.EndOfMessage):
        call.is_whole = True
