"""Tests of what the log says about targets that cannot be reached."""

import asyncio

from tests.gateway.fleets import run_fleet
from tests.gateway.partitions import CutKind, partition
from tests.gateway.targets import reply


class TestOfferUnreachable:
    def test_line_says_when_a_target_was_reached_last(self, capfd):
        async def run():
            async with run_fleet(d1=reply(200, b'done')) as fleet:
                with partition(fleet) as cut:
                    await fleet.call('/look/1')
                    cut.cut(CutKind.reset, fleet.settings.ip)
                    await fleet.call('/look/1')

        asyncio.run(run())
        lines = [
            line
            for line in capfd.readouterr().out.splitlines()
            if 'event=offer_unreachable' in line
        ]
        assert lines
        assert all(' reached_s=' in line for line in lines)
