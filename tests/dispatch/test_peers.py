"""Tests of the membership of instances."""

from trefoilhinge.dispatch.peers import (
    GOSSIPED_PEERS,
    HEARTBEAT_INTERVAL_S,
    MISSED_HEARTBEATS_LIMIT,
    Heartbeat,
    PeerTable,
)

PEER_TIMEOUT_S = MISSED_HEARTBEATS_LIMIT * HEARTBEAT_INTERVAL_S


def make_heartbeat(ip, origin='one', known=()):
    """Return a heartbeat of an instance."""
    return Heartbeat(
        ip,
        origin,
        'a',
        3,
        10,
        store_unreachable=False,
        known_peers=tuple(known),
    )


class TestPeerTable:
    def test_first_heartbeat_is_new(self):
        table = PeerTable('10.0.0.1')
        assert table.record_heartbeat(make_heartbeat('10.0.0.2'), 0).is_new
        assert not table.record_heartbeat(
            make_heartbeat('10.0.0.2'), 0.5
        ).is_new

    def test_new_incarnation_replaces_the_old_one(self):
        table = PeerTable('10.0.0.1')
        table.record_heartbeat(make_heartbeat('10.0.0.2', 'one'), 0)
        assert (
            table.record_heartbeat(
                make_heartbeat('10.0.0.2', 'two'), 1
            ).replaced_origin
            == 'one'
        )

    def test_gossiped_instances_receive_heartbeats(self):
        table = PeerTable('10.0.0.1')
        table.record_heartbeat(
            make_heartbeat('10.0.0.2', known=('10.0.0.3', '10.0.0.1')), 0
        )
        assert set(table.list_heartbeat_receivers((), 0)) == {
            '10.0.0.2',
            '10.0.0.3',
        }

    def test_seeds_always_receive_heartbeats(self):
        table = PeerTable('10.0.0.1')
        assert table.list_heartbeat_receivers(
            ('10.0.0.1', '10.0.0.4'), 1e6
        ) == ['10.0.0.4']

    def test_silent_incarnation_expires_once(self):
        table = PeerTable('10.0.0.1')
        table.record_heartbeat(make_heartbeat('10.0.0.2', 'one'), 0)
        assert table.expire_silent(PEER_TIMEOUT_S + 1) == ['one']
        assert not table.expire_silent(PEER_TIMEOUT_S + 2)
        assert not table.list_live(PEER_TIMEOUT_S + 2)

    def test_all_instances_are_named_in_rotation(self):
        table = PeerTable('10.0.0.1')
        for number in range(2, 62):
            table.record_heartbeat(make_heartbeat(f'10.0.0.{number}'), 0)
        named = set()
        for sequence in range(60 // GOSSIPED_PEERS + 1):
            names = table.list_gossiped(sequence, 0)
            assert len(names) <= GOSSIPED_PEERS
            named.update(names)
        assert len(named) == 60

    def test_heartbeat_interval_grows_with_the_fleet(self):
        table = PeerTable('10.0.0.1')
        small_s = table.compute_heartbeat_interval_s()
        for number in range(2, 62):
            table.record_heartbeat(make_heartbeat(f'10.0.0.{number}'), 0)
        assert table.compute_heartbeat_interval_s() > 3 * small_s

    def test_timeout_is_computed_once_for_all_instances(self, monkeypatch):
        """Guards against processor time that grows with the fleet's square.

        Each heartbeat lists the live instances, and each of these had the
        timeout computed anew.
        """
        computed = []
        table = PeerTable('10.0.0.1')
        for number in range(2, 62):
            table.record_heartbeat(make_heartbeat(f'10.0.0.{number}'), 0)
        monkeypatch.setattr(
            PeerTable,
            'compute_peer_timeout_s',
            lambda _: computed.append(None) or PEER_TIMEOUT_S,
        )
        assert len(table.list_live(0)) == 60
        assert not table.expire_silent(0)
        assert len(computed) == 2
