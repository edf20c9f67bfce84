"""Tests of who is heard."""

from trefoilhinge.dispatch.peers import (
    GOSSIPED_PEERS,
    MISSED_HEARTBEATS_LIMIT,
    HEARTBEAT_INTERVAL_S,
    PeerTable,
    Heartbeat,
)

SILENT_S = MISSED_HEARTBEATS_LIMIT * HEARTBEAT_INTERVAL_S


def make_heartbeat(ip, origin='one', known=()):
    """Return an instance's word."""
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
    def test_first_word_is_new(self):
        table = PeerTable('10.0.0.1')
        assert table.record_heartbeat(make_heartbeat('10.0.0.2'), 0).is_new
        assert not table.record_heartbeat(
            make_heartbeat('10.0.0.2'), 0.5
        ).is_new

    def test_new_life_ends_the_old_one(self):
        table = PeerTable('10.0.0.1')
        table.record_heartbeat(make_heartbeat('10.0.0.2', 'one'), 0)
        assert (
            table.record_heartbeat(
                make_heartbeat('10.0.0.2', 'two'), 1
            ).replaced_origin
            == 'one'
        )

    def test_named_instances_are_greeted(self):
        table = PeerTable('10.0.0.1')
        table.record_heartbeat(
            make_heartbeat('10.0.0.2', known=('10.0.0.3', '10.0.0.1')), 0
        )
        assert set(table.list_heartbeat_receivers((), 0)) == {
            '10.0.0.2',
            '10.0.0.3',
        }

    def test_seeds_are_greeted_for_ever(self):
        table = PeerTable('10.0.0.1')
        assert table.list_heartbeat_receivers(
            ('10.0.0.1', '10.0.0.4'), 1e6
        ) == ['10.0.0.4']

    def test_silent_life_is_told_once(self):
        table = PeerTable('10.0.0.1')
        table.record_heartbeat(make_heartbeat('10.0.0.2', 'one'), 0)
        assert table.expire_silent(SILENT_S + 1) == ['one']
        assert not table.expire_silent(SILENT_S + 2)
        assert not table.list_live(SILENT_S + 2)

    def test_all_instances_are_named_in_turn(self):
        table = PeerTable('10.0.0.1')
        for number in range(2, 62):
            table.record_heartbeat(make_heartbeat(f'10.0.0.{number}'), 0)
        named = set()
        for turn in range(60 // GOSSIPED_PEERS + 1):
            names = table.list_gossiped(turn, 0)
            assert len(names) <= GOSSIPED_PEERS
            named.update(names)
        assert len(named) == 60

    def test_words_grow_rarer_with_the_fleet(self):
        table = PeerTable('10.0.0.1')
        small_s = table.compute_heartbeat_interval_s()
        for number in range(2, 62):
            table.record_heartbeat(make_heartbeat(f'10.0.0.{number}'), 0)
        assert table.compute_heartbeat_interval_s() > 3 * small_s
