"""Tests of callers for whom an instance holds too much."""

import asyncio
import contextlib
import socket

import pytest

from tests.gateway.documents import make_document
from tests.gateway.fleets import make_call, read_answer, run_fleet
from tests.gateway.targets import never_answer, reply, stream
from tests.gateway.test_slow_readers import (
    LONG_ANSWER,
    RECEIVE_BUFFER_BYTES,
    open_slow_connection,
)

MEMORY_BYTES = 20_000_000
BOUND_BYTES = MEMORY_BYTES // 5
LONG_BYTES = 3_000_000
CALLERS = 4
LIMITS = {**make_document()['limits'], 'maxBodyBytes': 4_000_000}
BODY = b'.' * LONG_BYTES


def run_bounded(has_scarce_room=False, memory_bytes=MEMORY_BYTES, **handlers):
    """Run an instance whose memory is known."""
    return run_fleet(
        make_document(limits=LIMITS),
        settings_fields={
            'memory_bytes': memory_bytes,
            'has_scarce_room': has_scarce_room,
        },
        **handlers,
    )


def count_held(fleet):
    return fleet.state.held_memory._held.total_bytes


def count_shed(fleet):
    return fleet.state.metrics.counts['callers_shed', ()]


class TestHeldMemory:
    """Guards against an instance that ends for lack of memory."""

    def test_calls_that_were_not_sent_are_refused_as_such(self):
        """Callers that send much at once, without the end of the body."""

        async def send_most(fleet):
            reader, writer = await asyncio.open_connection(
                *fleet.settings.entry
            )
            writer.write(make_call('/book/1', body=BODY)[:-1])
            return await read_answer(reader), writer

        async def run():
            async with run_bounded(d1=reply(200)) as fleet:
                calls = [
                    asyncio.ensure_future(send_most(fleet))
                    for _ in range(CALLERS)
                ]
                await fleet.wait_for(lambda: count_shed(fleet) >= CALLERS - 1)
                done, left = await asyncio.wait(calls, timeout=0.5)
                for one in done:
                    answer, _ = one.result()
                    assert answer.status == 503
                    assert b'"not_run"' in answer.content
                assert (len(done), len(left)) == (CALLERS - 1, 1)
                assert count_held(fleet) <= BOUND_BYTES
                assert not fleet.targets['d1'].requests
                for one in left:
                    one.cancel()

        asyncio.run(run())

    def test_call_that_may_have_run_is_refused_as_such(self):
        async def run():
            async with run_bounded(d1=never_answer) as fleet:
                calls = [
                    asyncio.ensure_future(
                        fleet.send_raw(make_call('/book/1', body=BODY))
                    )
                    for _ in range(2)
                ]
                done, left = await asyncio.wait(
                    calls, return_when=asyncio.FIRST_COMPLETED, timeout=2
                )
                (answer,) = [one.result() for one in done]
                was_sent = bool(fleet.targets['d1'].requests)
                assert answer.status in ({502, 503} if was_sent else {503})
                verdict = (
                    b'may_have_run' if answer.status == 502 else b'not_run'
                )
                assert verdict in answer.content
                for one in left:
                    one.cancel()

        asyncio.run(run())

    def test_unread_answers_are_cut_off_visibly(self):
        async def run():
            async with (
                run_bounded(
                    memory_bytes=2 * MEMORY_BYTES, d1=reply(200, LONG_ANSWER)
                ) as fleet,
                contextlib.AsyncExitStack() as stack,
            ):
                readers = []
                for _ in range(CALLERS):
                    reader, writer = await stack.enter_async_context(
                        open_slow_connection(fleet.settings.entry)
                    )
                    writer.write(make_call('/look/1', 'GET'))
                    readers.append(reader)
                    count = len(readers)
                    await fleet.wait_for(
                        lambda count=count: (
                            count_shed(fleet) == count - 1
                            and count_held(fleet) > len(LONG_ANSWER)
                        )
                    )
                assert count_held(fleet) <= 2 * BOUND_BYTES
                answers = [await read_answer(reader) for reader in readers]
                assert {one.status for one in answers} == {200}
                assert [one.is_complete for one in answers] == [
                    *[False] * (CALLERS - 1),
                    True,
                ]
                await fleet.wait_for(lambda: not count_held(fleet))

        asyncio.run(run())

    def test_other_organisations_callers_are_served(self):
        """Callers that read are served beside one that reads nothing."""

        async def run():
            async with run_bounded(
                has_scarce_room=True, d1=reply(200, BODY[:1_000_000])
            ) as fleet:
                async with open_slow_connection(fleet.settings.entry) as slow:
                    slow[1].write(make_call('/look/1', 'GET'))
                    for _ in range(CALLERS):
                        answer = await fleet.call('/look/1', 'GET')
                        assert answer.is_complete
                await fleet.wait_for(lambda: not count_held(fleet))

        asyncio.run(run())

    def test_nothing_is_counted_after_calls(self):
        """Guards against a count that grows until all callers are shed."""

        async def run():
            async with run_bounded(d1=reply(200), m1=stream()) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                for path in ('/book/1', '/stream/1', '/look/1'):
                    writer.write(make_call(path, body=BODY))
                    assert (await read_answer(reader)).status == 200
                await fleet.wait_for(lambda: not count_held(fleet), 1)
                writer.close()
                assert not count_shed(fleet)

        asyncio.run(run())

    @pytest.mark.parametrize('memory_bytes', [0, 200_000_000])
    def test_slow_target_is_sent_a_long_body_in_parts(self, memory_bytes):
        """Guards against a second copy of the body for each slow target."""
        buffered = []

        async def run():
            async with run_fleet(
                make_document(limits={**LIMITS, 'maxBodyBytes': 16_000_000}),
                settings_fields={'memory_bytes': memory_bytes},
                d1=reply(200),
            ) as fleet:
                target = fleet.targets['d1']
                await target.stop()
                listening = socket.create_server(
                    (target.address.partition(':')[0], target.port)
                )
                listening.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                call = asyncio.ensure_future(
                    fleet.send_raw(make_call('/book/1', body=4 * BODY))
                )
                await asyncio.sleep(0.5)
                loop = asyncio.get_running_loop()
                for transport in list(loop._transports.values()):
                    peer = transport.get_extra_info('peername')
                    if peer and peer[1] == target.port:
                        buffered.append(transport.get_write_buffer_size())
                call.cancel()
                listening.close()

        asyncio.run(run())
        assert (max(buffered) <= 131_072) == bool(memory_bytes)
