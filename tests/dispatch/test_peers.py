"""Tests of who is heard."""

from trefoilhinge.dispatch.peers import SILENT_S, PeerTable, Word


def make_word(ip, origin='one', known=()):
    """Return an instance's word."""
    return Word(ip, origin, 3, 10, is_away=False, known=tuple(known))


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
