"""Tests of the proxy between instances and stand-ins."""

import asyncio

from trefoilhinge.soak.fleets import make_network
from trefoilhinge.soak.proxies import abort_connection

ANSWER_BYTES = 16_000_000  # more than the kernel holds


class TestEndOfConnections:
    def test_connection_that_ended_after_its_last_bytes(self):
        """Guards against a reset that fails after an answer was read slowly.

        A transport that was closed before its last bytes were written has no
        event loop once they are. The proxy aborted it all the same, which
        raised ``AttributeError`` in a task that nobody awaits.
        """
        address = (f'{make_network(1)}.1', 20_001)

        async def run():
            closed = asyncio.get_running_loop().create_future()

            async def answer(reader, writer):
                writer.write(bytes(ANSWER_BYTES))
                writer.close()
                closed.set_result(writer)

            server = await asyncio.start_server(answer, *address)
            reader, own_writer = await asyncio.open_connection(*address)
            writer = await closed
            assert writer.transport.get_write_buffer_size()
            content = await reader.read(-1)
            abort_connection(writer)
            own_writer.close()
            server.close()
            return len(content)

        assert asyncio.run(run()) == ANSWER_BYTES
