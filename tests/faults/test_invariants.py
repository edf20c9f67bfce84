from types import SimpleNamespace

import pytest

from trefoilhinge.faults.invariants import is_caller_waiting


def make_call(name, ended_s):
    profile = SimpleNamespace(request_id=name)
    return SimpleNamespace(profile=profile, ended_s=ended_s)


class TestIsTold:
    @pytest.mark.parametrize(
        ('origin_ended_s', 'told'), [(4, False), (5, True), (6, True)]
    )
    def test_a_copy_counts_while_its_caller_waits(self, origin_ended_s, told):
        calls = {'b-1': make_call('b-1', origin_ended_s)}
        world = SimpleNamespace(world=SimpleNamespace(calls=calls))
        assert is_caller_waiting(world, make_call('b-1@entry-2', 5)) is told

    def test_a_copy_of_an_open_call_counts(self):
        calls = {'b-1': make_call('b-1', None)}
        world = SimpleNamespace(world=SimpleNamespace(calls=calls))
        assert is_caller_waiting(world, make_call('b-1@entry-2', 5))

    def test_what_a_caller_sent_itself_always_counts(self):
        world = SimpleNamespace(world=SimpleNamespace(calls={}))
        assert is_caller_waiting(world, make_call('b-1', 5))
