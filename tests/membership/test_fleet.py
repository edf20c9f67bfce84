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


def make_exchange(sender='b', incarnation=1, sequence=1, **fields):
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
    def test_outdated_or_duplicate_message_is_rejected(self):
        fleet = make_fleet()
        assert fleet.note_exchange(make_exchange(sequence=5), at(0))
        assert not fleet.note_exchange(make_exchange(sequence=5), at(1))
        assert not fleet.note_exchange(make_exchange(sequence=4), at(1))
        assert fleet.note_exchange(make_exchange(sequence=6), at(1))

    def test_message_of_an_earlier_incarnation_is_rejected(self):
        fleet = make_fleet()
        fleet.note_exchange(
            make_exchange(incarnation=2, address='new:1'), at(0)
        )
        outdated = make_exchange(incarnation=1, sequence=99, stopping=True)
        assert not fleet.note_exchange(outdated, at(1))
        assert fleet.find_address('b', 2) == 'new:1'
        assert fleet.find_address('b', 1) is None

    def test_sequence_numbers_restart_with_the_incarnation(self):
        fleet = make_fleet()
        fleet.note_exchange(make_exchange(sequence=900, stopping=True), at(0))
        assert fleet.note_exchange(
            make_exchange(incarnation=2, sequence=1), at(1)
        )
        assert fleet.find_peer_state('b', at(1)) is PeerState.LIVE

    def test_own_message_is_rejected(self):
        assert not make_fleet().note_exchange(make_exchange('own'), at(0))

    def test_leaving_target_is_recorded_from_an_outdated_message(self):
        fleet = make_fleet()
        listed = list_instances(listed_targets=(list_target(),))
        fleet.note_listed(listed, at(0))
        fleet.note_exchange(make_exchange(sequence=9), at(0))
        report = LeavingWord(target='w1', incarnation=0)
        fleet.note_exchange(make_exchange(sequence=2, leaving=(report,)), at(1))
        assert is_leaving(fleet)


class TestPeerState:
    def make_report(self, heartbeat, incarnation=1):
        return InstanceWord(
            name='c',
            incarnation=incarnation,
            address='c:1',
            heartbeat=heartbeat,
        )

    def test_gossiped_heartbeat_proves_liveness_only_if_it_increases(self):
        fleet = make_fleet()
        fleet.note_exchange(
            make_exchange(instances=(self.make_report(7),)), at(0)
        )
        assert fleet.find_peer_state('c', at(0)) is PeerState.SUSPECT
        repeated = make_exchange(sequence=2, instances=(self.make_report(7),))
        fleet.note_exchange(repeated, at(1))
        assert fleet.find_peer_state('c', at(1)) is PeerState.SUSPECT
        newer = make_exchange(sequence=3, instances=(self.make_report(8),))
        fleet.note_exchange(newer, at(2))
        assert fleet.find_peer_state('c', at(2)) is PeerState.LIVE

    def test_unanswering_peer_with_gossiped_heartbeats_is_unreachable(self):
        fleet = make_fleet()
        fleet.note_exchange(make_exchange('c'), at(0))
        for _ in range(3):
            fleet.note_peer_silent('c', at(0))
        fleet.note_exchange(
            make_exchange(instances=(self.make_report(8),)), at(4)
        )
        assert fleet.find_peer_state('c', at(5)) is PeerState.UNREACHABLE
        assert InstanceIdentity('c', 1) in fleet.list_live(at(5))

    def test_live_instances_change_with_each_message(self):
        fleet = make_fleet()
        for number, name in enumerate('bcd', 1):
            assert len(fleet.list_live(at(0))) == number
            fleet.note_exchange(make_exchange(name), at(0))
        fleet.note_exchange(make_exchange('b', incarnation=2), at(0))
        assert InstanceIdentity('b', 2) in fleet.list_live(at(0))
        assert InstanceIdentity('b', 1) not in fleet.list_live(at(0))
        assert len(fleet.list_live(at(9))) == 1
        fleet.note_exchange(make_exchange('c', sequence=2), at(9))
        assert len(fleet.list_live(at(9))) == 2

    def test_peer_without_heartbeats_is_suspect_and_still_expected(self):
        fleet = make_fleet()
        fleet.note_exchange(make_exchange('c'), at(0))
        assert fleet.find_peer_state('c', at(9)) is PeerState.SUSPECT
        assert InstanceIdentity('c', 1) not in fleet.list_live(at(9))
        assert fleet.count_expected() == 2


class TestExpiry:
    def test_silent_peer_is_kept_for_an_hour_without_a_list(self):
        fleet = make_fleet()
        fleet.note_exchange(make_exchange('c'), at(0))
        fleet.note_listed(InstancesListed(None), at(3600))
        fleet.choose_peers(at(3600))
        assert fleet.count_expected() == 2
        fleet.choose_peers(at(peers.SILENT_PEER_EXPIRY_S + 1))
        assert fleet.count_expected() == 1

    def test_listed_silent_peer_never_expires(self):
        fleet = make_fleet()
        fleet.note_listed(list_instances('c'), at(0))
        fleet.choose_peers(at(100_000))
        assert fleet.count_expected() == 2

    def test_unlisted_silent_peer_expires(self):
        fleet = make_fleet()
        fleet.note_exchange(make_exchange('c'), at(0))
        fleet.note_listed(list_instances('b'), at(100))
        assert fleet.count_expected() == 3
        fleet.note_listed(list_instances('b'), at(130))
        assert fleet.count_expected() == 2

    def test_stopped_peer_expires_soon(self):
        fleet = make_fleet()
        fleet.note_exchange(make_exchange('c', stopping=True), at(0))
        assert fleet.count_expected() == 2
        fleet.choose_peers(at(31))
        assert fleet.count_expected() == 1

    def test_two_peers_do_not_keep_a_failed_one_live_by_gossip(self):
        fleets = [
            make_gossip_fleet(
                InstanceIdentity(InstanceName(name), 1), f'{name}:1', (), 1
            )
            for name in 'ab'
        ]
        fleets[0].note_exchange(make_exchange('dead', sequence=4), at(0))
        for second in range(1, 3 * round(peers.SILENT_PEER_EXPIRY_S), 60):
            for fleet, other in (fleets, fleets[::-1]):
                fleet.choose_peers(at(second))
                exchange = other.compose_exchange(at(second))
                fleet.note_exchange(exchange, at(second))
        assert [one.count_expected() for one in fleets] == [2, 2]

    def test_number_of_peers_is_bounded(self):
        fleet = make_fleet()
        for number in range(peers.MAXIMUM_PEERS + 50):
            fleet.note_exchange(make_exchange(f'p{number}'), at(number))
        assert fleet.count_expected() == 1 + peers.MAXIMUM_PEERS


class TestPeerSelection:
    def test_small_fleet_sends_to_every_peer(self):
        fleet = make_fleet()
        for name in 'bcdefgh':
            fleet.note_exchange(make_exchange(name), at(0))
        chosen = fleet.choose_peers(at(1))
        assert sorted(name for name, _ in chosen) == list('bcdefgh')

    def test_large_fleet_sends_to_each_peer_in_rotation(self):
        fleet = make_fleet()
        names = [f'p{number}' for number in range(50)]
        for name in names:
            fleet.note_exchange(make_exchange(name), at(0))
        rounds = [fleet.choose_peers(at(1)) for _ in range(2 * len(names))]
        assert [len(one) for one in rounds] == [1, 0] * len(names)
        chosen = [name for one in rounds for name, _ in one]
        assert sorted(chosen) == sorted(names)

    def test_unanswering_peer_is_chosen_with_backoff_and_kept(self):
        fleet = make_fleet()
        fleet.note_listed(list_instances('b'), at(0))
        sent_count = 0
        for second in range(200):
            for name, _ in fleet.choose_peers(at(second)):
                sent_count += 1
                fleet.note_peer_silent(name, at(second))
        assert 6 <= sent_count <= 20

    def test_seeds_are_chosen_until_a_live_peer_has_their_address(self):
        fleet = make_fleet(('b:1', '10.0.0.1:1'))
        assert [one for _, one in fleet.choose_peers(at(0))] == ['b:1']
        fleet.note_exchange(make_exchange('b'), at(1))
        assert fleet.choose_peers(at(2)) == (('b', 'b:1'),)

    def test_message_of_a_large_fleet_is_bounded(self):
        fleet = make_fleet()
        for number in range(500):
            fleet.note_exchange(make_exchange(f'p{number}'), at(0))
            fleet.note_leaving(f't{number}', 3, at(0))
        gossiped = set()
        for _ in range(60):
            message = fleet.compose_exchange(at(1))
            assert len(message.instances) <= peers.GOSSIPED_PEERS
            assert len(message.leaving) <= targets.GOSSIPED_LEAVING_TARGETS
            gossiped.update(one.target for one in message.leaving)
        assert len(gossiped) == 500


class TestTargets:
    def note_list(self, fleet, now, **options):
        listed = list_instances(listed_targets=(list_target(**options),))
        fleet.note_listed(listed, now)

    def test_stale_list_does_not_clear_leaving(self):
        fleet = make_fleet()
        self.note_list(fleet, at(0))
        fleet.note_incarnation('w1', 4, at(0))
        fleet.note_leaving('w1', 4, at(1))
        self.note_list(fleet, at(2))
        fleet.note_incarnation('w1', 3, at(3))
        assert is_leaving(fleet)

    def test_new_incarnation_is_not_leaving_despite_a_stale_list(self):
        fleet = make_fleet()
        self.note_list(fleet, at(0))
        fleet.note_incarnation('w1', 4, at(0))
        self.note_list(fleet, at(1), leaving=True)
        assert is_leaving(fleet)
        fleet.note_incarnation('w1', 5, at(2))
        # The outdated list still refers to the previous incarnation.
        self.note_list(fleet, at(3), leaving=True)
        assert not is_leaving(fleet)

    def test_unreadable_list_changes_nothing(self):
        fleet = make_fleet()
        self.note_list(fleet, at(0), leaving=True)
        fleet.note_listed(InstancesListed(None), at(9))
        assert is_leaving(fleet)

    def test_leaving_expires_for_a_target_without_incarnation(self):
        fleet = make_fleet()
        self.note_list(fleet, at(0), leaving=True)
        self.note_list(fleet, at(10))
        assert is_leaving(fleet)
        for second in range(16):
            fleet.choose_peers(at(targets.LEAVING_EXPIRY_S + second))
        assert not is_leaving(fleet)

    def test_only_changed_services_are_returned(self):
        fleet = make_fleet()
        self.note_list(fleet, at(0))
        assert fleet.take_changed_services() == {'writer'}
        self.note_list(fleet, at(1))
        assert fleet.take_changed_services() == frozenset()
        before = fleet.list_targets('writer')
        assert fleet.list_targets('writer') is before
        fleet.note_leaving('w1', 0, at(2))
        assert fleet.take_changed_services() == {'writer'}
        fleet.note_leaving('elsewhere', 0, at(2))
        assert fleet.take_changed_services() == frozenset()

    def test_number_of_leaving_targets_is_bounded(self):
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
            fleet.note_exchange(make_exchange(f'p{number}'), at(0))
        fleet.note_exchange(make_exchange('stopping', stopping=True), at(0))
        successors = fleet.list_successors(at(1))
        assert len(successors) == min(8, count)
        assert 'stopping' not in dict(successors)
        assert successors == fleet.list_successors(at(1))
        assert not fleet.list_successors(at(1000))
