"""Moments of calls shortly before the exit of their instance."""

import asyncio

from attrs import define

from tests.gateway.stop_moments import (
    GROUP,
    GROUP_HEADERS,
    SCARCE_ROOM,
    Moment,
    is_active,
    is_waiting_to_send,
    limit,
    occupy,
)
from tests.gateway.stop_networks import (
    ANSWER_MARGIN_S,
    EXIT_S,
    LONG_GRACE_S,
    POLL_S,
    add_backlog,
    make_patient_document,
)
from tests.gateway.targets import SEAL_HEADER, make_event, reply, reset, stream
from trefoilhinge.platform.standins.formats import NOT_RUN_HEADER

# Targets answer at the latest time at which they are not given up.
ANSWERED_S = EXIT_S - ANSWER_MARGIN_S
REFUSED_S = 3.0  # a target refuses a call, so that no time is left for another
# A call that is short enough by its size, and is made so late that it ends
# before the exit unless it has to wait.
CALLED_S = 2.75
REST_S = 0.9  # from either, past the exit
SHORT_HEADERS = {'X_Token_Count': '100,10'}
SHORT_WAIT_S = 0.8  # ends long before the exit
COLD_BOUNDS = {'cold_ratio': 1.5, 'cold_slack': 0}
# Longer than the grace, so that no target counts as silent.
LONG_OBJECTIVE_MS = 9000


@define
class Clock:
    """Tells targets when the instance was ordered to stop."""

    stopping: object = None

    async def prepare(self, stopping, stack):
        """Use the clock of an instance."""
        self.stopping = stopping

    async def wait_until(self, since_order_s):
        """Wait until a time after the order."""
        while self.stopping is None:
            await asyncio.sleep(POLL_S)
        await self.stopping.ordered.wait()
        await self.stopping.wait_until(since_order_s)


def rest(exchange, rest_s=REST_S):
    """Refuse a request, and ask for rest; past the exit by default."""
    headers = [NOT_RUN_HEADER, ('Retry-After', f'{rest_s:g}')]
    return exchange.respond(503, b'', headers)


def take_turns(*handlers):
    """Return a handler whose requests go to one handler after the other."""
    turns = list(handlers)

    async def handle(exchange):
        await turns.pop(0)(exchange)

    return handle


def make_moment(make_handler, names=('d1', 'd2'), **fields):
    """Return a moment whose targets know when the stop was ordered.

    :param make_handler: returns a handler for a clock.
    """
    clock = Clock()
    handler = make_handler(clock)
    return Moment(
        {name: handler for name in names}, prepare=clock.prepare, **fields
    )


def delay(handler, since_order_s):
    """Let a handler answer at a time after the order."""

    def make_handler(clock):
        async def handle(exchange):
            await clock.wait_until(since_order_s)
            await handler(exchange)

        return handle

    return make_handler


def delay_each(handler, delay_s):
    """Return a handler that answers each request after a delay."""

    async def handle(exchange):
        await asyncio.sleep(delay_s)
        await handler(exchange)

    return handle


def send_half(clock):
    """Send a half of an answer, and the other one at the last moment."""

    async def handle(exchange):
        headers = [SEAL_HEADER, ('Content-Length', '8')]
        await exchange.send_headers(200, headers)
        await exchange.send_body(b'half')
        await clock.wait_until(ANSWERED_S)
        await exchange.send_body(b'half')
        await exchange.end_response()

    return handle


def stream_until(since_order_s):
    """Stream events until a time after the order."""

    def make_handler(clock):
        async def handle(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(make_event(1))
            await clock.wait_until(since_order_s)
            await exchange.send_body(make_event(2))
            await exchange.end_response()

        return handle

    return make_handler


def lose_and_rest(clock):
    """Lose the answer of a request, and refuse the next one."""

    async def lose(exchange):
        await clock.wait_until(REFUSED_S)
        await reset(exchange)

    return take_turns(lose, rest)


async def use_up_cold_target(stopping, stack):
    """Let the target be cold, and a call use up what it takes in a second."""
    state = stopping.fleet.state
    record = state.directory.records['m1']
    state.cold.mark(record.incarnation, 2 * EXIT_S, state.get_now_s())

    async def call_before():
        await stopping.ordered.wait()
        await stopping.wait_until(CALLED_S - 0.05)
        await stopping.call('/stream/1', X_Request_Id='other', **SHORT_HEADERS)

    task = asyncio.ensure_future(call_before())
    stack.callback(task.cancel)


def make_cold_document():
    """Return a document whose engines are cold after their start."""
    document = make_patient_document()
    for service in document['services']:
        service.update(coldS=2 * EXIT_S, coldPerS=2)
    return document


async def delay_prompts(stopping, stack):
    """Let the group prefill another prompt for a short time."""
    add_backlog(stopping.fleet.state, GROUP, SHORT_WAIT_S)


PATIENT = {'document': make_patient_document(sloMs=LONG_OBJECTIVE_MS)}
DONE = reply(200, b'done')

# Answers that come before the exit, and the last of their content.
DELIVERED = {
    'unsafe': (make_moment(delay(DONE, ANSWERED_S)), b'done'),
    'idempotent': (
        make_moment(delay(DONE, ANSWERED_S), path='/look/1', options=PATIENT),
        b'done',
    ),
    'late_answer': (
        make_moment(delay(DONE, ANSWERED_S), path='/look/1'),
        b'done',
    ),
    'failure': (make_moment(delay(reply(500, b'bad'), ANSWERED_S)), b'bad'),
    'half_read': (make_moment(send_half), b'halfhalf'),
    'first_event': (
        make_moment(delay(stream(), ANSWERED_S), ['m1'], path='/stream/1'),
        make_event(5),
    ),
    'stream_begun': (
        make_moment(stream_until(ANSWERED_S), ['m1'], path='/stream/1'),
        make_event(2),
    ),
}
# Calls that wait when the stop is ordered, and can be sent soon.
LONG_GRACE = {'bounds': {'grace_s': 2 * LONG_GRACE_S}}
SERVED = {
    'send_time': Moment(
        GROUP,
        '/stream/1',
        GROUP_HEADERS,
        delay_prompts,
        is_waiting_to_send,
        options=LONG_GRACE,
    ),
    'permit': Moment(
        {'d1': reply(200, b'', [SEAL_HEADER, ('Server-Limit', '1')])},
        prepare=limit,
        is_reached=is_active,
        options=LONG_GRACE,
    ),
    'rest': Moment(
        {'d1': take_turns(lambda one: rest(one, SHORT_WAIT_S), DONE)},
        is_reached=lambda stopping: stopping.list_lines('rest_awaited'),
        options=LONG_GRACE,
    ),
    'admission': Moment(
        {'d1': delay_each(DONE, SHORT_WAIT_S)},
        prepare=occupy,
        is_reached=lambda stopping: is_active(stopping, 2),
        options={'settings_fields': SCARCE_ROOM, **LONG_GRACE},
    ),
}
# Calls that targets refused or have to wait for, past the exit.
REFUSED = {
    'refused': make_moment(delay(rest, REFUSED_S), ['d1']),
    'rest': Moment({'m1': rest}, '/stream/1', SHORT_HEADERS, called_s=CALLED_S),
    'cold': Moment(
        {'m1': stream()},
        '/stream/1',
        SHORT_HEADERS,
        use_up_cold_target,
        called_s=CALLED_S,
        options={'document': make_cold_document(), 'bounds': COLD_BOUNDS},
    ),
}
# A call that may have run, and cannot be sent again before the exit.
LOST = {
    'lost': make_moment(lose_and_rest, ['d1'], path='/look/1', options=PATIENT)
}
# Streams that go on at the exit.
ENDLESS = {
    f'endless_{version}': make_moment(
        stream_until(2 * EXIT_S),
        ['m1'],
        path='/stream/1',
        version=version.encode(),
    )
    for version in ('1.0', '1.1')
}
