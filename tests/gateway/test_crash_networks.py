"""Tests of the evidence that many instances pool over a lossy network."""

import pytest

from tests.gateway.crash_networks import (
    BAD,
    crash_at_random,
    crash_in_waves,
    make_network,
)
from tests.gateway.rate_windows import STABLE_S
from tests.gateway.virtual_time import run_virtually

SECONDS = 30
ALLOWED_REQUESTS = 3  # that reach targets after the fifth crash
CALLS_PER_TARGET_S = 1.2
MAXIMUM_REFUSED_SHARE = 0.01
# Instances, targets and the seed of each network.
NETWORKS = [(8, 14, 1), (8, 14, 2), (61, 110, 3)]


def run_network(instances, targets, seed, crash_targets=None, **fields):
    """Let all instances make calls; return the network."""
    network = make_network(instances, targets, seed, **fields)
    run_virtually(
        network.run(SECONDS, CALLS_PER_TARGET_S * targets, crash_targets)
    )
    return network


def compute_refused_share(network):
    """Return the share of the sound calls that a quarantine refused."""
    return sum(is_refused for _, is_refused in network.sound) / len(
        network.sound
    )


def count_late(network):
    """Return the bad calls that were sent after the fifth crash."""
    crashes_s = network.crashes_s
    if len(crashes_s) < 5:
        return 0
    return sum(at_s > crashes_s[4] + STABLE_S for at_s in network.bad_sent_s)


@pytest.mark.parametrize(('instances', 'targets', 'seed'), NETWORKS)
class TestNetworks:
    def test_bad_part_is_kept_from_targets(self, instances, targets, seed):
        network = run_network(instances, targets, seed)
        assert len(network.crashes_s) >= 3
        assert count_late(network) <= ALLOWED_REQUESTS
        assert compute_refused_share(network) <= MAXIMUM_REFUSED_SHARE

    def test_lost_datagrams_do_not_let_it_pass(self, instances, targets, seed):
        network = run_network(instances, targets, seed, loss=0.3)
        assert count_late(network) <= ALLOWED_REQUESTS
        assert all(
            state.quarantine.get(f'part/{BAD}')
            for state in network.states.values()
        )

    def test_crashes_of_their_own_do_not_hide_it(
        self, instances, targets, seed
    ):
        network = run_network(instances, targets, seed, crash_at_random(30))
        assert count_late(network) <= ALLOWED_REQUESTS

    def test_sound_calls_are_served_while_targets_crash(
        self, instances, targets, seed
    ):
        """Guards against sound parts that are blamed for other crashes."""
        network = run_network(
            instances, targets, seed, crash_at_random(8), bad_share=0
        )
        assert compute_refused_share(network) <= MAXIMUM_REFUSED_SHARE

    def test_sound_calls_are_served_while_targets_crash_in_waves(
        self, instances, targets, seed
    ):
        network = run_network(
            instances, targets, seed, crash_in_waves, bad_share=0
        )
        assert compute_refused_share(network) <= MAXIMUM_REFUSED_SHARE
        assert all(
            state.quarantine.is_empty for state in network.states.values()
        )
