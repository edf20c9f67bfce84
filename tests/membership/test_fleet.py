import pytest

from tests.retries.calls import at
from trefoilhinge.conf.generated.messages import (
    InstanceWord,
    LeavingWord,
    PeerExchange,
)
from trefoilhinge.core.events import InstancesListed
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.core.reports import ListedInstance, ListedTarget
from trefoilhinge.membership import peers, targets
from trefoilhinge.membership.fleet import make_gossip_fleet
from trefoilhinge.membership.peers import PeerState

OWN = InstanceIdentity(InstanceName('own'), 5)


def make_fleet(seeds=()):
    return make_gossip_fleet(OWN, '10.0.0.1:1', seeds, 1)


def say(sender='b', incarnation=1, sequence=1, **fields):
    return PeerExchange(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        address=fields.pop('address', f'{sender}:1'),
        revision=0,
        digest='',
        **fields,
    )


def list_instances(*names, listed_targets=()):
    return InstancesListed(
        tuple(ListedInstance(n, f'{n}:9', 'kandy') for n in names),
        listed_targets,
    )


def list_target(leaving=False, name='w1'):
    return ListedTarget(name, 'w1:1', 'kandy', 'writer', leaving)


def is_leaving(fleet):
    return fleet.list_targets('writer')[0].leaving


class TestMessages:
    def test_message_that_comes_late_or_twice_is_not_taken(self):
        fleet = make_fleet()
        assert fleet.note_exchange(say(sequence=5), at(0))
        assert not fleet.note_exchange(say(sequence=5), at(1))
        assert not fleet.note_exchange(say(sequence=4), at(1))
        assert fleet.note_exchange(say(sequence=6), at(1))

    def test_message_of_an_earlier_incarnation_is_not_taken(self):
        fleet = make_fleet()
        fleet.note_exchange(say(incarnation=2, address='new:1'), at(0))
        late = say(incarnation=1, sequence=99, stopping=True)
        assert not fleet.note_exchange(late, at(1))
        assert fleet.find_address('b', 2) == 'new:1'
        assert fleet.find_address('b', 1) is None

    def test_restarted_peer_begins_its_sequence_anew(self):
        fleet = make_fleet()
        fleet.note_exchange(say(sequence=900, stopping=True), at(0))
        assert fleet.note_exchange(say(incarnation=2, sequence=1), at(1))
        assert fleet.find_peer_state('b', at(1)) is PeerState.LIVE

    def test_own_message_that_came_back_is_not_taken(self):
        assert not make_fleet().note_exchange(say('own'), at(0))

    def test_leaving_target_counts_however_late_it_is_told(self):
        fleet = make_fleet()
        listed = list_instances(listed_targets=(list_target(),))
        fleet.note_listed(listed, at(0))
        fleet.note_exchange(say(sequence=9), at(0))
        word = LeavingWord(target='w1', incarnation=0)
        fleet.note_exchange(say(sequence=2, leaving=(word,)), at(1))
        assert is_leaving(fleet)


class TestStanding:
    def word(self, heartbeat, incarnation=1):
        return InstanceWord(
            name='c',
            incarnation=incarnation,
            address='c:1',
            heartbeat=heartbeat,
        )

    def test_word_of_others_proves_life_only_if_it_grows(self):
        fleet = make_fleet()
        fleet.note_exchange(say(instances=(self.word(7),)), at(0))
        assert fleet.find_peer_state('c', at(0)) is PeerState.SUSPECT
        again = say(sequence=2, instances=(self.word(7),))
        fleet.note_exchange(again, at(1))
        assert fleet.find_peer_state('c', at(1)) is PeerState.SUSPECT
        newer = say(sequence=3, instances=(self.word(8),))
        fleet.note_exchange(newer, at(2))
        assert fleet.find_peer_state('c', at(2)) is PeerState.LIVE

    def test_peer_that_others_hear_is_unreachable_from_here(self):
        fleet = make_fleet()
        fleet.note_exchange(say('c'), at(0))
        for _ in range(3):
            fleet.note_peer_silent('c', at(0))
        fleet.note_exchange(say(instances=(self.word(8),)), at(4))
        assert fleet.find_peer_state('c', at(5)) is PeerState.UNREACHABLE
        assert InstanceIdentity('c', 1) in fleet.list_live(at(5))

    def test_live_instances_change_with_each_message(self):
        fleet = make_fleet()
        for number, name in enumerate('bcd', 1):
            assert len(fleet.list_live(at(0))) == number
            fleet.note_exchange(say(name), at(0))
        fleet.note_exchange(say('b', incarnation=2), at(0))
        assert InstanceIdentity('b', 2) in fleet.list_live(at(0))
        assert InstanceIdentity('b', 1) not in fleet.list_live(at(0))
        assert len(fleet.list_live(at(9))) == 1
        fleet.note_exchange(say('c', sequence=2), at(9))
        assert len(fleet.list_live(at(9))) == 2

    def test_peer_that_nobody_hears_is_suspect_and_still_expected(self):
        fleet = make_fleet()
        fleet.note_exchange(say('c'), at(0))
        assert fleet.find_peer_state('c', at(9)) is PeerState.SUSPECT
        assert InstanceIdentity('c', 1) not in fleet.list_live(at(9))
        assert fleet.count_expected() == 2


class TestForgetting:
    def test_silent_peer_is_expected_for_an_hour_without_a_list(self):
        fleet = make_fleet()
        fleet.note_exchange(say('c'), at(0))
        fleet.note_listed(InstancesListed(None), at(3600))
        fleet.choose_peers(at(3600))
        assert fleet.count_expected() == 2
        fleet.choose_peers(at(peers.SILENT_PEER_EXPIRY_S + 1))
        assert fleet.count_expected() == 1

    def test_silent_peer_that_is_listed_is_never_forgotten(self):
        fleet = make_fleet()
        fleet.note_listed(list_instances('c'), at(0))
        fleet.choose_peers(at(100_000))
        assert fleet.count_expected() == 2

    def test_silent_peer_that_the_list_dropped_is_forgotten(self):
        fleet = make_fleet()
        fleet.note_exchange(say('c'), at(0))
        fleet.note_listed(list_instances('b'), at(100))
        assert fleet.count_expected() == 3
        fleet.note_listed(list_instances('b'), at(130))
        assert fleet.count_expected() == 2

    def test_stopped_peer_is_forgotten_soon(self):
        fleet = make_fleet()
        fleet.note_exchange(say('c', stopping=True), at(0))
        assert fleet.count_expected() == 2
        fleet.choose_peers(at(31))
        assert fleet.count_expected() == 1

    def test_two_peers_do_not_keep_a_dead_one_alive(self):
        fleets = [
            make_gossip_fleet(
                InstanceIdentity(InstanceName(name), 1), f'{name}:1', (), 1
            )
            for name in 'ab'
        ]
        fleets[0].note_exchange(say('dead', sequence=4), at(0))
        for second in range(1, 3 * round(peers.SILENT_PEER_EXPIRY_S), 60):
            for fleet, other in (fleets, fleets[::-1]):
                fleet.choose_peers(at(second))
                exchange = other.compose_exchange(at(second))
                fleet.note_exchange(exchange, at(second))
        assert [one.count_expected() for one in fleets] == [2, 2]

    def test_memory_of_peers_is_bounded(self):
        fleet = make_fleet()
        for number in range(peers.MAXIMUM_PEERS + 50):
            fleet.note_exchange(say(f'p{number}'), at(number))
        assert fleet.count_expected() == 1 + peers.MAXIMUM_PEERS


class TestChoice:
    def test_small_fleet_talks_to_every_peer(self):
        fleet = make_fleet()
        for name in 'bcdefgh':
            fleet.note_exchange(say(name), at(0))
        chosen = fleet.choose_peers(at(1))
        assert sorted(name for name, _ in chosen) == list('bcdefgh')

    def test_large_fleet_talks_to_each_peer_in_turn(self):
        fleet = make_fleet()
        names = [f'p{number}' for number in range(50)]
        for name in names:
            fleet.note_exchange(say(name), at(0))
        rounds = [fleet.choose_peers(at(1)) for _ in range(2 * len(names))]
        assert [len(one) for one in rounds] == [1, 0] * len(names)
        chosen = [name for one in rounds for name, _ in one]
        assert sorted(chosen) == sorted(names)

    def test_silent_peer_is_asked_ever_less_but_not_dropped(self):
        fleet = make_fleet()
        fleet.note_listed(list_instances('b'), at(0))
        asked = 0
        for second in range(200):
            for name, _ in fleet.choose_peers(at(second)):
                asked += 1
                fleet.note_peer_silent(name, at(second))
        assert 6 <= asked <= 20

    def test_seeds_are_asked_until_a_peer_is_heard_there(self):
        fleet = make_fleet(('b:1', '10.0.0.1:1'))
        assert [one for _, one in fleet.choose_peers(at(0))] == ['b:1']
        fleet.note_exchange(say('b'), at(1))
        assert fleet.choose_peers(at(2)) == (('b', 'b:1'),)

    def test_message_of_a_large_fleet_is_bounded(self):
        fleet = make_fleet()
        for number in range(500):
            fleet.note_exchange(say(f'p{number}'), at(0))
            fleet.note_leaving(f't{number}', 3, at(0))
        said = set()
        for _ in range(60):
            message = fleet.compose_exchange(at(1))
            assert len(message.instances) <= peers.GOSSIPED_PEERS
            assert len(message.leaving) <= targets.GOSSIPED_LEAVING_TARGETS
            said.update(one.target for one in message.leaving)
        assert len(said) == 500


class TestTargets:
    def list(self, fleet, now, **options):
        listed = list_instances(listed_targets=(list_target(**options),))
        fleet.note_listed(listed, now)

    def test_leaving_stays_whatever_a_stale_list_says(self):
        fleet = make_fleet()
        self.list(fleet, at(0))
        fleet.note_incarnation('w1', 4, at(0))
        fleet.note_leaving('w1', 4, at(1))
        self.list(fleet, at(2))
        fleet.note_incarnation('w1', 3, at(3))
        assert is_leaving(fleet)

    def test_new_incarnation_comes_back_beside_a_stale_list(self):
        fleet = make_fleet()
        self.list(fleet, at(0))
        fleet.note_incarnation('w1', 4, at(0))
        self.list(fleet, at(1), leaving=True)
        assert is_leaving(fleet)
        fleet.note_incarnation('w1', 5, at(2))
        # The list lags: it still speaks of the incarnation before.
        self.list(fleet, at(3), leaving=True)
        assert not is_leaving(fleet)

    def test_list_that_cannot_be_read_changes_nothing(self):
        fleet = make_fleet()
        self.list(fleet, at(0), leaving=True)
        fleet.note_listed(InstancesListed(None), at(9))
        assert is_leaving(fleet)

    def test_target_without_incarnations_comes_back_after_a_while(self):
        fleet = make_fleet()
        self.list(fleet, at(0), leaving=True)
        self.list(fleet, at(10))
        assert is_leaving(fleet)
        for second in range(16):
            fleet.choose_peers(at(targets.LEAVING_EXPIRY_S + second))
        assert not is_leaving(fleet)

    def test_only_changed_services_are_named(self):
        fleet = make_fleet()
        self.list(fleet, at(0))
        assert fleet.take_changed_services() == {'writer'}
        self.list(fleet, at(1))
        assert fleet.take_changed_services() == frozenset()
        before = fleet.list_targets('writer')
        assert fleet.list_targets('writer') is before
        fleet.note_leaving('w1', 0, at(2))
        assert fleet.take_changed_services() == {'writer'}
        fleet.note_leaving('elsewhere', 0, at(2))
        assert fleet.take_changed_services() == frozenset()

    def test_memory_of_targets_that_left_is_bounded(self):
        fleet = make_fleet()
        for number in range(targets.MAXIMUM_LEAVING_TARGETS + 9):
            fleet.note_leaving(f't{number}', 1, at(number))
        assert (
            len(fleet._target_table._leaving) == targets.MAXIMUM_LEAVING_TARGETS
        )
        for _ in range(16):
            fleet.choose_peers(at(100_000))
        assert not fleet._target_table._leaving


class TestSuccessors:
    @pytest.mark.parametrize('count', [0, 3, 40])
    def test_successors_are_live_and_few(self, count):
        fleet = make_fleet()
        for number in range(count):
            fleet.note_exchange(say(f'p{number}'), at(0))
        fleet.note_exchange(say('stopping', stopping=True), at(0))
        successors = fleet.list_successors(at(1))
        assert len(successors) == min(8, count)
        assert 'stopping' not in dict(successors)
        assert successors == fleet.list_successors(at(1))
        assert not fleet.list_successors(at(1000))
