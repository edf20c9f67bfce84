"""Callers that use persistent connections and record the answers."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import h11
from attrs import define, evolve, field

from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.connections import Connection, connect, has_ended
from trefoilhinge.soak.crashes import CrashSource
from trefoilhinge.soak.demands import DEADLINE_S, QUEUED_DEMAND, Demand
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.observations import ObservationLog
from trefoilhinge.soak.records import CallKind, ObservedCall

CALL_INTERVAL_S = 0.05  # between calls of one caller
RETRIES = 3  # at once, of a caller that does not wait after a refusal
RETRY_BACKOFF_S = 0.2  # if these are refused as well
REFUSAL_BACKOFF_S = 0.5  # after a call that failed or was refused
RESPONSE_GRACE_S = 2.0  # after the deadline, before a caller gives up
# Prompt tokens and maximum output tokens; the last requires reservations.
TOKEN_COUNTS = (
    '5000,1300',
    '60000,1300',
    '300000,1300',
)
READ_BYTES = 65_536
# All identifiers of calls begin with it, as those of one batch do.
COMMON_PREFIX = 'claxton-tenders-000'
SHARED_TOKENS = 40  # of each part that a prompt names
SERVED_STATUS = 200

_numbers = itertools.count(1)


@define
class SoakCaller:
    """Caller that makes one call after another over persistent connections.

    :ivar key: API key of the caller.
    :ivar get_key_revoked_s: returns the time at which the key was revoked, in
        seconds of the monotonic clock, none if it is valid.
    :ivar get_crash_source: returns what crashes targets at present, if
        anything does.
    :ivar get_demand: returns what all callers ask for at present, if each does
        not draw.
    :ivar check_retrying: returns whether callers with a key retry at once.
    :ivar number: number of the caller; those past ``usual_callers`` call only
        while the demand asks for as many.
    :ivar stop_requested: whether to stop after the current call.
    """

    key: str
    instances: list[Instance]
    observations: ObservationLog
    random_source: random.Random
    get_key_revoked_s: Callable[[], float | None]
    get_crash_source: Callable[[], CrashSource | None]
    get_demand: Callable[[], Demand | None]
    check_retrying: Callable[[str], bool]
    number: int
    usual_callers: int
    stop_requested: bool = False
    _connections: dict[str, Connection] = field(factory=dict)

    async def run(self) -> None:
        """Make calls until a stop is requested."""
        try:
            await self._run()
        finally:
            self.close()

    def close(self) -> None:
        """Close all connections."""
        for name in tuple(self._connections):
            self._close_connection(name)

    async def _run(self) -> None:
        while not self.stop_requested:
            if self._is_idle():
                await asyncio.sleep(CALL_INTERVAL_S)
                continue
            served = await self._make_call()
            backoff_s = REFUSAL_BACKOFF_S
            if not served and self.check_retrying(self.key):
                served = await self._retry_at_once()
                backoff_s = RETRY_BACKOFF_S
            await asyncio.sleep(CALL_INTERVAL_S if served else backoff_s)

    async def _retry_at_once(self) -> bool:
        """Send three requests for one; return whether any was served."""
        retries = [evolve(self, connections={}) for _ in range(RETRIES)]
        served = await asyncio.gather(*(one._make_call() for one in retries))
        for one in retries:
            one.close()
        return any(served)

    def _is_idle(self) -> bool:
        demand = self.get_demand()
        callers = self.usual_callers if demand is None else demand.callers
        return self.number >= callers

    async def _make_call(self) -> bool:
        """Make a call; return whether it succeeded."""
        running = [one for one in self.instances if one.is_running]
        if not running:
            return False
        instance = self.random_source.choice(running)
        connection = await self._connect(instance)
        if connection is None:
            return False
        kind = self.random_source.choice(list(CallKind))
        demand = self.get_demand()
        if demand is not None:
            kind = CallKind.stream
        source = self.get_crash_source()
        if source is not None and not source.draw(self.key, self.random_source):
            source = None
        if source is not None:
            kind = source.call_kind
        call = ObservedCall(
            request_id=f'{COMMON_PREFIX}{next(_numbers)}-{self.key}',
            kind=kind,
            instance=instance.name,
            sent_s=time.monotonic(),
            deadline_s=demand.deadline_s if demand else DEADLINE_S,
            key_revoked_s=self.get_key_revoked_s(),
            key=self.key,
            demand=demand.name if demand is not None else '',
            may_outlast_stop=demand is QUEUED_DEMAND,
        )
        self.observations.calls.append(call)
        try:
            async with asyncio.timeout(call.deadline_s + RESPONSE_GRACE_S):
                await self._exchange(connection, call, source, demand)
        except (OSError, TimeoutError, h11.ProtocolError):
            call.is_complete = False
        call.ended_s = time.monotonic()
        call.is_stopping = instance.is_stopping
        call.stop_ordered_s = instance.stop_ordered_s
        if not call.is_complete:
            self._close_connection(instance.name)
        return call.is_complete and call.status == SERVED_STATUS

    async def _connect(self, instance: Instance) -> Connection | None:
        existing = self._connections.get(instance.name)
        if existing is not None and not has_ended(*existing):
            return existing
        self._close_connection(instance.name)
        connection = await connect(instance.entry)
        if connection is not None:
            self._connections[instance.name] = connection
        return connection

    async def _exchange(
        self,
        connection: Connection,
        call: ObservedCall,
        source: CrashSource | None,
        demand: Demand | None,
    ) -> None:
        reader, writer = connection
        parser = h11.Connection(h11.CLIENT)
        sizes = {}
        if call.kind is CallKind.stream:
            drawn = self.random_source.choice(TOKEN_COUNTS)
            sizes = {
                'X_Token_Count': demand.token_count if demand else drawn,
                'X_Model': 'm',
                'X_Prompt_Prefix': self._encode_prompt(call, source),
            }
        is_bad_request = source is not None and not sizes
        name = demand.name_in_path if demand else '1'
        if source and is_bad_request:
            name = source.trait.name
        headers = formats.encode_caller_headers(
            call.request_id, self.key, call.deadline_s, **sizes
        )
        request = h11.Request(
            method='GET' if call.kind is CallKind.idempotent else 'POST',
            target=f'/{call.kind.value}/{name}',
            headers=[*headers, ('Content-Length', '0')],
        )
        writer.write(parser.send(request) or b'')
        parser.send(h11.EndOfMessage())
        call.whole_s = time.monotonic()
        await read_answer(parser, reader, call)
        if parser.their_state is not h11.DONE:
            self._close_connection(call.instance)

    def _encode_prompt(
        self, call: ObservedCall, source: CrashSource | None
    ) -> str:
        """Encode a prompt that shares parts with others."""
        parts = {'shared': SHARED_TOKENS, self.key: SHARED_TOKENS}
        if source is not None:
            parts[source.trait.name] = SHARED_TOKENS
        return formats.encode_prompt_parts(
            {**parts, call.request_id: SHARED_TOKENS}
        )

    def _close_connection(self, name: str) -> None:
        existing = self._connections.pop(name, None)
        if existing is not None:
            existing[1].close()


async def read_answer(
    parser: h11.Connection, reader: asyncio.StreamReader, call: ObservedCall
) -> None:
    """Read the answer to a call up to its end or that of the connection."""
    while not call.is_complete:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(READ_BYTES))
            continue
        if isinstance(event, h11.ConnectionClosed):
            return
        apply_event(call, event)


def apply_event(call: ObservedCall, event: object) -> None:
    """Record an event of the answer to a call."""
    if isinstance(event, h11.Response):
        call.status = event.status_code
    elif isinstance(event, h11.Data):
        call.first_s = call.first_s or time.monotonic()
        call.content += bytes(event.data)
    elif isinstance(event, h11.EndOfMessage):
        call.is_complete = True
