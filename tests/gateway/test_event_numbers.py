"""Tests of streams whose targets spoil the numbers of events."""

import asyncio
import re

from tests.gateway.fleets import run_fleet
from tests.gateway.numbered_streams import stream_pieces


def call(**handlers):
    """Call a fleet once; return the answer and the fleet."""

    async def run():
        async with run_fleet(**handlers) as fleet:
            answer = await fleet.call()
            fleet.state.log.flush()
            return answer, fleet

    return asyncio.run(run())


class TestLog:
    def test_line_tells_which_number_is_wrong(self, capfd):
        """Guards against spoiled streams that the log does not explain."""
        spoiling = stream_pieces({4: b'id: 5\n'})
        _, fleet = call(m1=spoiling, m2=stream_pieces())
        (line,) = [
            line
            for line in capfd.readouterr().out.splitlines()
            if 'event=offer_broken' in line
        ]
        assert re.search(r'event 5 after event \d; 2 events of the read', line)
        assert fleet.state.metrics.get_count('streams_misnumbered') == 1
