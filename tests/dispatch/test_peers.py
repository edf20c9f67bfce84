"""Tests of who is heard."""

from trefoilhinge.dispatch.peers import (
    NAMED_PEERS,
    SILENT_PAUSES,
    WORD_PAUSE_S,
    PeerTable,
    Word,
)

SILENT_S = SILENT_PAUSES * WORD_PAUSE_S


def make_word(ip, origin='one', known=()):
    """Return an instance's word."""
    return Word(ip, origin, 'a', 3, 10, is_away=False, known=tuple(known))


class TestPeerTable:
    def test_first_word_is_new(self):
        table = PeerTable('10.0.0.1')
        assert table.hear(make_word('10.0.0.2'), 0).is_new
        assert not table.hear(make_word('10.0.0.2'), 0.5).is_new

    def test_new_life_ends_the_old_one(self):
        table = PeerTable('10.0.0.1')
        table.hear(make_word('10.0.0.2', 'one'), 0)
        assert table.hear(make_word('10.0.0.2', 'two'), 1).ended_origin == 'one'

    def test_named_instances_are_greeted(self):
        table = PeerTable('10.0.0.1')
        table.hear(make_word('10.0.0.2', known=('10.0.0.3', '10.0.0.1')), 0)
        assert set(table.list_greeted((), 0)) == {'10.0.0.2', '10.0.0.3'}

    def test_seeds_are_greeted_for_ever(self):
        table = PeerTable('10.0.0.1')
        assert table.list_greeted(('10.0.0.1', '10.0.0.4'), 1e6) == ['10.0.0.4']

    def test_silent_life_is_told_once(self):
        table = PeerTable('10.0.0.1')
        table.hear(make_word('10.0.0.2', 'one'), 0)
        assert table.drop_silent(SILENT_S + 1) == ['one']
        assert not table.drop_silent(SILENT_S + 2)
        assert not table.list_listeners(SILENT_S + 2)

    def test_all_instances_are_named_in_turn(self):
        table = PeerTable('10.0.0.1')
        for number in range(2, 62):
            table.hear(make_word(f'10.0.0.{number}'), 0)
        named = set()
        for turn in range(60 // NAMED_PEERS + 1):
            names = table.list_named(turn, 0)
            assert len(names) <= NAMED_PEERS
            named.update(names)
        assert len(named) == 60

    def test_words_grow_rarer_with_the_fleet(self):
        table = PeerTable('10.0.0.1')
        small_s = table.find_word_pause_s()
        for number in range(2, 62):
            table.hear(make_word(f'10.0.0.{number}'), 0)
        assert table.find_word_pause_s() > 3 * small_s
