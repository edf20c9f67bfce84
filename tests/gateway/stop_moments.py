"""The moments that a call is at when its instance stops, and their plays."""

import asyncio
import contextlib
from unittest import mock

from attrs import define, field

from tests.gateway.partitions import INSTANCE
from tests.gateway.stop_networks import (
    GROUP_PROMPT,
    TIMEOUT_S,
    add_backlog,
    gather_named,
    run_stopping,
)
from tests.gateway.targets import (
    SEAL_HEADER,
    make_event,
    never_answer,
    reply,
    reset,
    stream,
)
from trefoilhinge.gateway import reservations, target_connections
from trefoilhinge.gateway.permits import Permits

SCARCE_ROOM = {'has_scarce_room': True, 'allows_admission': True}
REQUEST_ID = 'observed'
REACHED_LIMIT_S = 20  # many are played at a time
RECEIPT_S = 0.1  # for targets to read what was sent before the exit
# Limits of an instance that would end a call before the exit does.
LONG_LIMITS = (
    (reservations, 'ORDER_TIMEOUT_S'),
    (target_connections, 'CONNECT_TIMEOUT_S'),
)


async def prepare_nothing(stopping, stack):
    """Leave the instance as it is."""


@define
class Moment:
    """A moment that a call is at.

    :ivar prepare: brings the instance to where a call comes to the moment.
    :ivar is_reached: whether the observed call is there.
    :ivar called_s: seconds after the order at which the call is made; ``None``
        if it is there before.
    :ivar version: version of HTTP that the caller names.
    :ivar options: options of ``run_stopping``.
    """

    handlers: dict
    path: str = '/book/1'
    headers: dict = field(factory=dict)
    prepare: object = prepare_nothing
    is_reached: object = None
    called_s: float | None = None
    version: bytes = b'1.1'
    options: dict = field(factory=dict)

    async def play(self):
        """Order a stop while a call is at the moment; return what came of it.

        :return: the result of the call, and the instance.
        """
        async with run_stopping(
            handlers=self.handlers, **self.options
        ) as stopping:
            with contextlib.ExitStack() as stack:
                await self.prepare(stopping, stack)
                if self.called_s is None:
                    call = self._call(stopping)
                    await stopping.fleet.wait_for(
                        lambda: self._reaches(stopping), REACHED_LIMIT_S
                    )
                    stopping.order()
                else:
                    stopping.order()
                    await stopping.wait_until(self.called_s)
                    call = self._call(stopping)
                result = await call
                await stopping.ending
                await asyncio.sleep(RECEIPT_S)
                return result, stopping

    def _call(self, stopping):
        return stopping.call(self.path, X_Request_Id=REQUEST_ID, **self.headers)

    def _reaches(self, stopping):
        if self.is_reached is not None:
            return self.is_reached(stopping)
        return any(
            exchange.headers['x-request-id'] == REQUEST_ID
            for exchange in stopping.list_requests()
        )


async def limit(stopping, stack):
    """Let the target name a limit, and use it up."""
    state = stopping.fleet.state
    while not state.permits.get('d1', 1000):
        await stopping.call()
    await stopping.call()


async def occupy(stopping, stack):
    """Let another call take the only slot of the target."""
    fleet = stopping.fleet
    address = fleet.targets['d1'].address
    fleet.store.put_target('d1', address, 'desk', slots=1, seq=2)
    records = fleet.state.directory.records
    await fleet.wait_for(lambda: records['d1'].slots == 1)
    other = stopping.call(X_Request_Id='other')
    stack.callback(other.cancel)
    await fleet.wait_for(lambda: fleet.targets['d1'].requests)


async def close_startup_gate(stopping, stack):
    """Let calls wait for the document as if the instance had just started."""
    state = stopping.fleet.state
    state.started_s = state.get_now_s() + TIMEOUT_S


async def quarantine(stopping, stack):
    """Let an owner be asked for a probe that does not answer."""
    state = stopping.fleet.state
    now_s = state.get_now_s()
    state.quarantine.record('part/bad', 3, now_s, now_s, 0)
    state.quarantine.get('part/bad').next_probe_s = 0
    stopping.fleet.gateway._peers.quarantine.revision += 1
    _without_permits.add(stopping.fleet.settings.ip)


async def lose_orders(stopping, stack):
    """Let no target answer an order to reserve memory."""
    for target in stopping.fleet.targets.values():
        target.handle_order = never_answer


async def cut(stopping, stack):
    """Let no connection to a target be accepted."""
    _without_targets.add(stopping.fleet.settings.ip)


async def delay_prompts(stopping, stack):
    """Let the group prefill another prompt past the exit."""
    targets = stopping.fleet.targets
    add_backlog(stopping.fleet.state, targets, TIMEOUT_S - 4)


def is_waiting_to_send(stopping):
    return stopping.fleet.state.prefill_waiters.count() > 0


def is_active(stopping, calls=1):
    return stopping.fleet.gateway._service.active == calls


GROUP = {f'm{number}': stream() for number in range(1, 4)}
GROUP_HEADERS = {'X_Token_Count': GROUP_PROMPT}

# Calls that have not been sent, and cannot be before the exit.
KNOWN = {
    'send_time': Moment(
        GROUP,
        '/stream/1',
        GROUP_HEADERS,
        delay_prompts,
        is_waiting_to_send,
    ),
    'permit': Moment(
        {'d1': reply(200, b'', [SEAL_HEADER, ('Server-Limit', '0.1')])},
        prepare=limit,
        is_reached=is_active,
    ),
    'startup_gate': Moment(
        {'d1': never_answer},
        prepare=close_startup_gate,
        is_reached=is_active,
        options={'has_document': False},
    ),
}
# Calls that have not been sent, and of which it is not known when they are.
UNKNOWN = {
    'admission': Moment(
        {'d1': never_answer},
        prepare=occupy,
        is_reached=lambda stopping: is_active(stopping, 2),
        options={'settings_fields': SCARCE_ROOM},
    ),
    'quarantine_gate': Moment(
        {'m1': never_answer},
        '/stream/1',
        {'X_Prompt_Prefix': 'bad:900,ee:300'},
        quarantine,
        is_active,
    ),
    'reserving': Moment(
        GROUP,
        '/stream/1',
        GROUP_HEADERS,
        lose_orders,
        lambda stopping: any(
            one.orders for one in stopping.fleet.targets.values()
        ),
    ),
    'connecting': Moment(
        {'d1': never_answer}, prepare=cut, is_reached=is_active
    ),
}


async def send_head(exchange):
    """Send a head, and no content."""
    await exchange.send_headers(200, [SEAL_HEADER, ('Content-Length', '9')])
    await never_answer(exchange)


async def send_half(exchange):
    """Send a head and a part of the content."""
    await exchange.send_headers(200, [SEAL_HEADER, ('Content-Length', '9')])
    await exchange.send_body(b'half')
    await never_answer(exchange)


async def open_stream(exchange):
    """Send the head of a stream, and a part of its first event."""
    await exchange.send_headers(200, [SEAL_HEADER])
    await exchange.send_body(make_event(1)[:-1])
    await never_answer(exchange)


def count_sent(number):
    """Return whether the observed call was sent so often."""
    return lambda stopping: len(stopping.list_requests()) >= number


SILENT_GROUP = {f'm{number}': never_answer for number in range(1, 4)}
# Calls that were sent, and have no answer that could be passed on.
SENT = {
    'unsafe': Moment({'d1': never_answer, 'd2': never_answer}),
    'idempotent': Moment({'d1': never_answer}, '/look/1'),
    'stream': Moment({'m1': never_answer}, '/stream/1'),
    'group': Moment(SILENT_GROUP, '/stream/1', GROUP_HEADERS),
    'head_read': Moment({'d1': send_head, 'd2': send_head}),
    'half_read': Moment({'d1': send_half, 'd2': send_half}),
    'stream_head_read': Moment({'m1': open_stream}, '/stream/1'),
    'late_answer': Moment(
        {'d1': never_answer, 'd2': never_answer},
        '/look/1',
        is_reached=count_sent(2),
    ),
    'second_attempt': Moment(
        {'d1': reset, 'd2': never_answer, 'd3': never_answer},
        '/look/1',
        is_reached=lambda stopping: any(
            stopping.fleet.targets[name].requests for name in ('d2', 'd3')
        ),
    ),
}


async def play_all(moments):
    """Play all moments at a time; return their outcomes by name."""
    open_connection = target_connections.open_tcp_connection
    with contextlib.ExitStack() as stack:
        for patched in (
            *(mock.patch.object(*limit, TIMEOUT_S) for limit in LONG_LIMITS),
            mock.patch.object(
                target_connections,
                'open_tcp_connection',
                _hang(_without_targets, open_connection),
            ),
            mock.patch.object(
                Permits, 'acquire', _hang(_without_permits, Permits.acquire)
            ),
        ):
            stack.enter_context(patched)
        plays = {name: moment.play for name, moment in moments.items()}
        return await gather_named(plays)


def _hang(ips, function):
    """Let a function of instances take longer than their grace."""

    async def wait(*arguments, **options):
        if INSTANCE.get() in ips:
            await asyncio.sleep(TIMEOUT_S)
        return await function(*arguments, **options)

    return wait


# Instances that reach no target, and instances that get no permits.
_without_targets = set()
_without_permits = set()
