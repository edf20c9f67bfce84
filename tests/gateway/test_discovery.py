"""Tests of what instances that start together know of each other."""

import pytest

from tests.gateway.discovery_networks import DiscoveryNetwork
from tests.gateway.virtual_time import run_virtually


class TestSettling:
    @pytest.mark.parametrize('count', (8, 24))
    def test_settled_instances_know_nearly_all_others(self, count):
        """Guards against placements that ignore most of the fleet's runs."""

        async def run():
            network = DiscoveryNetwork(count)
            async for _ in network.run(duration_s=4):
                if len(network.settled) == count:
                    break
            return network.settled

        settled = run_virtually(run())
        assert len(settled) == count
        assert min(share for share, _ in settled.values()) >= 0.9
