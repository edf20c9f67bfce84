"""Properties of what instances know of targets, over orders of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.dispatch.evidence_networks import EXPIRY_S, make_network

SETTLING_S = 4 * EXPIRY_S
USED_AGAIN_S = 3.0  # a registration, the reading of it and the time of grace
NUMBERS = st.integers(0, 2)
EVENTS = st.one_of(
    st.tuples(
        st.sampled_from(
            ['drain', 'leave', 'restart', 'cut_target', 'cut_instance']
        ),
        NUMBERS,
    ),
    st.tuples(st.just('store'), NUMBERS),
)
PAUSES_S = st.sampled_from([0, 0.5, 1, 2, 4, 5])


def play(network, name, number):
    """Play one event; a cut and an outage of the store end with the next."""
    if name == 'store':
        network.is_store_down = not network.is_store_down
    elif name == 'cut_target':
        target = network.targets[number]
        target.is_cut = not target.is_cut
    elif name == 'cut_instance':
        instance = network.instances[number]
        instance.is_cut = not instance.is_cut
    elif name == 'restart':
        network.restart(number)
    elif network.targets[number].state == 'ready':
        getattr(network, name)(number)


def end_disruptions(network):
    network.is_store_down = False
    for one in (*network.targets, *network.instances):
        one.is_cut = False


class TestEvidence:
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(EVENTS, PAUSES_S), max_size=14))
    def test_views_meet_once_disruptions_end(self, events):
        """Guards against RECOVER and DRAIN.

        A target that lives and registers is used by each instance, and one
        that left is used by none, whatever came before.
        """
        network = make_network()
        for (name, number), pause_s in events:
            play(network, name, number)
            network.step(pause_s)
        end_disruptions(network)
        network.step(SETTLING_S)
        living = [one.name for one in network.targets if one.state == 'ready']
        for instance in network.instances:
            assert instance.list_used() == living

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(EVENTS, PAUSES_S), max_size=10), NUMBERS)
    def test_target_that_leaves_while_all_is_sound_is_left_at_once(
        self, events, number
    ):
        network = make_network()
        for (name, event_number), pause_s in events:
            play(network, name, event_number)
            network.step(pause_s)
        end_disruptions(network)
        network.step(SETTLING_S)
        target = network.targets[number]
        if target.state == 'ready':
            network.leave(number)
        network.step(0.5)
        for instance in network.instances:
            assert target.name not in instance.list_used()

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.floats(0, 20), NUMBERS, NUMBERS)
    def test_target_is_used_soon_after_its_return(
        self, cut_s, number, restarted
    ):
        network = make_network()
        network.targets[number].is_cut = True
        network.step(cut_s)
        network.restart(restarted)
        network.targets[number].is_cut = False
        network.step(USED_AGAIN_S)
        for instance in network.instances:
            assert network.targets[number].name in instance.list_used()

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.floats(0, 20), NUMBERS, st.floats(0, 3))
    def test_outage_and_a_restart_take_no_target(
        self, away_s, restarted, after_s
    ):
        """Guards against one start that takes the targets from all."""
        network = make_network()
        network.is_store_down = True
        network.step(away_s)
        network.is_store_down = False
        network.restart(restarted)
        for _ in range(round(after_s / 0.5) + 1):
            network.step(0.5)
            for instance in network.instances:
                assert len(instance.list_used()) == len(network.targets)
