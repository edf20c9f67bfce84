"""Tests of answers that their callers read slowly, and of a stop meanwhile."""

import asyncio
import contextlib
import socket

from tests.gateway.fleets import make_call, read_answer, run_fleet
from tests.gateway.targets import reply
from trefoilhinge.gateway import answering_connections, planned_stop

LONG_ANSWER = b'.' * 6_000_000  # more than the kernel's buffers hold
RECEIVE_BUFFER_BYTES = 16_384
# Longer than a silent target of a plain call is awaited and probed.
SILENCE_S = 3.0


@contextlib.asynccontextmanager
async def open_slow_connection(address):
    """Connect as a caller that reads little ahead."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, address)
    reader, writer = await asyncio.open_connection(
        sock=raw, limit=RECEIVE_BUFFER_BYTES
    )
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def exit_when_stopped(fleet):
    """Do to the callers' sockets what the end of the process does."""
    callers = tuple(fleet.gateway._callers)
    await fleet.gateway._stopped.wait()
    for caller in callers:
        caller._writer.transport.abort()


class TestSlowReaders:
    def test_unread_answer_is_not_a_silent_target(self):
        """Guards against a second run of a call whose answer is complete.

        The time in which its caller read was taken for silence of the target,
        so that another one ran it and the answer was cut off.
        """

        async def run():
            async with run_fleet(d1=reply(200, LONG_ANSWER)) as fleet:
                async with open_slow_connection(fleet.settings.entry) as slow:
                    reader, writer = slow
                    writer.write(make_call('/look/1', 'GET'))
                    await asyncio.sleep(SILENCE_S)
                    answer = await read_answer(reader)
                    assert answer.is_complete
                    assert len(answer.content) == len(LONG_ANSWER)
                assert len(fleet.targets['d1'].requests) == 1

        asyncio.run(run())

    def test_stop_waits_until_callers_have_read(self, monkeypatch):
        """Guards against review case 4: the exit cut answers in reading."""
        monkeypatch.setattr(planned_stop, 'DRAIN_MINIMUM_S', 0.3)

        async def run():
            async with run_fleet(d1=reply(200, LONG_ANSWER)) as fleet:
                async with open_slow_connection(fleet.settings.entry) as slow:
                    reader, writer = slow
                    writer.write(make_call('/look/1', 'GET'))
                    await fleet.wait_for(lambda: fleet.targets['d1'].requests)
                    fleet.gateway._begin_stop()
                    exiting = asyncio.ensure_future(exit_when_stopped(fleet))
                    await asyncio.sleep(SILENCE_S)
                    assert (await read_answer(reader)).is_complete
                    await asyncio.wait_for(exiting, 2)

        asyncio.run(run())

    def test_answer_is_delivered_after_the_deadline(self):
        """Guards against cutting an answer that is ready but read late."""

        async def run():
            async with run_fleet(d1=reply(200, LONG_ANSWER)) as fleet:
                async with open_slow_connection(fleet.settings.entry) as slow:
                    reader, writer = slow
                    writer.write(make_call('/book/1', X_Deadline='300'))
                    await asyncio.sleep(0.6)
                    assert (await read_answer(reader)).is_complete

        asyncio.run(run())

    def test_caller_that_never_reads_is_given_up(self, monkeypatch):
        """Guards against an instance that waits for such a caller for ever."""
        monkeypatch.setattr(answering_connections, 'UNREAD_TIMEOUT_S', 0.3)

        async def run():
            async with run_fleet(d1=reply(200, LONG_ANSWER)) as fleet:
                async with open_slow_connection(fleet.settings.entry) as slow:
                    slow[1].write(make_call('/book/1'))
                    await fleet.wait_for(lambda: fleet.targets['d1'].requests)
                    service = fleet.gateway._service
                    await fleet.wait_for(lambda: not service.active, 2)

        asyncio.run(run())
