"""Tests of callers' connections on which requests arrive during a stop."""

import asyncio

import h11
import pytest

from tests.gateway.fleets import Answer, make_call, read_answer
from tests.gateway.stop_checks import (
    check_failed,
    check_refused,
)
from tests.gateway.stop_late_moments import delay_each
from tests.gateway.stop_networks import (
    EXIT_S,
    GRACE_S,
    TIMEOUT_S,
    gather_named,
    make_patient_document,
    run_stopping,
)
from tests.gateway.targets import never_answer, reply
from tests.gateway.test_slow_readers import LONG_ANSWER, open_slow_connection

BODY = b'.' * 5000
CALL = make_call(body=BODY, X_Deadline=str(TIMEOUT_S * 1000))
HEAD_BYTES = len(CALL) - len(BODY)
DONE = reply(200, b'done')
FLOW_BYTES = 10  # of a body, each time
FLOW_INTERVAL_S = 0.02
# Parts of a request that has not arrived whole at the exit.
PARTS = {
    'body': CALL[:-100],
    'no_body': CALL[:HEAD_BYTES],
    'head': CALL[: HEAD_BYTES - 40],
    'request_line': CALL[: CALL.index(b'\r\n') + 2],
}
# Longer than connections that have just been opened are kept.
IDLE_S = 0.5


async def send_part(part):
    """Send a part of a request, and stop."""
    async with run_stopping(handlers={'m1': never_answer}) as stopping:
        call = stopping.send(part)
        await asyncio.sleep(IDLE_S)
        stopping.order()
        result = await call
        await stopping.ending
        return result, stopping


async def send_slowly():
    """Send a body whose end comes long after the exit."""
    async with run_stopping(handlers={'m1': never_answer}) as stopping:
        entry = stopping.fleet.settings.entry
        reader, writer = await asyncio.open_connection(*entry)
        writer.write(CALL[:HEAD_BYTES])
        reading = asyncio.ensure_future(read_answer(reader))
        stopping.order()
        while not reading.done():
            writer.write(b'.' * FLOW_BYTES)
            await asyncio.sleep(FLOW_INTERVAL_S)
        writer.close()
        return await reading


async def send_rest_in_time():
    """Send the rest of a body a second after the order to stop."""
    async with run_stopping(handlers={'d1': DONE}) as stopping:
        content = make_call('/book/1', body=BODY)
        entry = stopping.fleet.settings.entry
        reader, writer = await asyncio.open_connection(*entry)
        writer.write(content[:-10])
        stopping.order()
        await stopping.wait_until(1)
        writer.write(content[-10:])
        answer = await read_answer(reader)
        writer.close()
        return answer


def parse_answers(content, count):
    """Return the complete answers of a connection, up to a number."""
    answers = []
    while content and len(answers) < count:
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'h')])
        )
        parser.send(h11.EndOfMessage())
        parser.receive_data(content)
        head = parser.next_event()
        body = b''
        event = parser.next_event()
        while isinstance(event, h11.Data):
            body += bytes(event.data)
            event = parser.next_event()
        if not isinstance(event, h11.EndOfMessage):
            break
        answers.append(Answer(head.status_code, {}, body, is_complete=True))
        content = parser.trailing_data[0]
    return answers


async def send_pipelined(handler):
    """Send three calls at a time on one connection; return their answers."""
    async with run_stopping(handlers={'d1': handler}) as stopping:
        entry = stopping.fleet.settings.entry
        reader, writer = await asyncio.open_connection(*entry)
        headers = {'X_Deadline': str(TIMEOUT_S * 1000)}
        writer.writelines(
            make_call('/book/1', X_Request_Id=f'r-{number}', **headers)
            for number in range(3)
        )
        await stopping.fleet.wait_for(stopping.list_requests)
        stopping.order()
        answers = parse_answers(await reader.read(), 3)
        writer.close()
        ran = {one.headers['x-request-id'] for one in stopping.list_requests()}
        return answers, ran


async def read_from(begin_s):
    """Read a long answer from a time after the order on, if any."""
    async with run_stopping(handlers={'d1': reply(200, LONG_ANSWER)}) as one:
        async with open_slow_connection(one.fleet.settings.entry) as slow:
            reader, writer = slow
            writer.write(make_call('/look/1', 'GET'))
            await one.fleet.wait_for(one.list_requests)
            one.order()
            if begin_s is not None:
                await one.wait_until(begin_s)
                return await read_answer(reader), one
            await one.fleet.gateway._stopped.wait()
            turns_s = one.count_turns_s()
            await one.ending
            return turns_s, one


async def call_until_closed(timeout_s, delay_s):
    """Call a slow target until the exit; return answers and requests."""
    document = make_patient_document(timeoutMs=round(timeout_s * 1000))
    handlers = {'d1': delay_each(DONE, delay_s)}
    async with run_stopping(document, handlers=handlers) as stopping:
        stopping.order()
        calls = []
        while not stopping.fleet.gateway._stopped.is_set():
            calls.append(stopping.call(X_Request_Id=f'r-{len(calls)}'))
            await asyncio.sleep(0.05)
        await stopping.ending
        results = await asyncio.gather(*calls, return_exceptions=True)
        ran = [one.headers['x-request-id'] for one in stopping.list_requests()]
        return results, ran


SCENARIOS = {
    **{name: lambda part=part: send_part(part) for name, part in PARTS.items()},
    'idle': lambda: send_part(b''),
    'slowly': send_slowly,
    'in_time': send_rest_in_time,
    'pipelined': lambda: send_pipelined(never_answer),
    'pipelined_slow': lambda: send_pipelined(delay_each(DONE, 0.4)),
    'unread': lambda: read_from(EXIT_S - 1.2),
    'never_read': lambda: read_from(None),
    # Deadlines before the answer, and after it.
    'short_deadline': lambda: call_until_closed(0.9, 1.2),
    'long_deadline': lambda: call_until_closed(5, 1.8),
}


@pytest.fixture(scope='module')
def outcomes():
    """Play all scenarios at a time, as each lasts until the exit."""
    return asyncio.run(gather_named(SCENARIOS))


class TestRequestsThatArrive:
    """Guards against LOST: requests that are closed while they arrive."""

    @pytest.mark.parametrize('name', PARTS)
    def test_request_that_is_not_whole_is_refused(self, outcomes, name):
        result, stopping = outcomes[name]
        check_refused(result.answer)
        assert not stopping.list_requests()

    def test_refusal_arrives_while_the_body_is_sent(self, outcomes):
        check_refused(outcomes['slowly'])

    def test_request_that_is_whole_soon_is_served(self, outcomes):
        assert outcomes['in_time'].content == b'done'

    def test_idle_connection_gets_no_answer(self, outcomes):
        result, _ = outcomes['idle']
        assert result.answer == Answer(0, {}, b'', is_complete=False)


class TestPipelinedCalls:
    """Guards against LOST: calls that wait behind another one."""

    def test_all_are_answered_though_the_first_is_not_served(self, outcomes):
        answers, ran = outcomes['pipelined']
        assert len(answers) == 3
        check_failed(answers[0])
        for number, answer in enumerate(answers):
            assert (answer.status == 503) == (f'r-{number}' not in ran)

    def test_all_are_answered_if_there_is_time(self, outcomes):
        answers, _ = outcomes['pipelined_slow']
        assert len(answers) == 3
        assert {one.status for one in answers} <= {200, 503}


class TestUnreadAnswers:
    def test_answer_that_is_read_before_the_exit_is_whole(self, outcomes):
        answer, _ = outcomes['unread']
        assert answer.is_complete
        assert len(answer.content) == len(LONG_ANSWER)

    def test_caller_that_reads_nothing_does_not_delay_the_exit(self, outcomes):
        turns_s, stopping = outcomes['never_read']
        assert turns_s < GRACE_S
        (line,) = stopping.list_lines('call_ended')
        assert line['outcome'] != 'caller_gone'


@pytest.mark.parametrize('name', ['short_deadline', 'long_deadline'])
class TestSlowTargets:
    """Guards against LOST: late calls that are taken and cut.

    Calls that may not be repeated were passed on late in the grace to a slow
    but sound target, and had no answer at its end.
    """

    def test_each_call_gets_a_whole_answer(self, outcomes, name):
        results, ran = outcomes[name]
        refused = set()
        for number, result in enumerate(results):
            if isinstance(result, ConnectionRefusedError):
                continue
            assert result.answer.is_complete, (number, result)
            if result.answer.status == 503:
                refused.add(f'r-{number}')
                check_refused(result.answer)
            else:
                assert result.answer.status in {200, 502, 504}
        assert len(ran) == len(set(ran))
        assert not refused & set(ran)
