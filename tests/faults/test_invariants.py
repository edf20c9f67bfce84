from types import SimpleNamespace

import pytest

from trefoilhinge.faults.invariants import is_caller_waiting


def make_call(name, ended_s):
    profile = SimpleNamespace(request_id=name)
    return SimpleNamespace(profile=profile, ended_s=ended_s)


class TestIsCallerWaiting:
    @pytest.mark.parametrize(
        ('origin_ended_s', 'expected'), [(4, False), (5, True), (6, True)]
    )
    def test_forwarded_call_until_its_origin_ends(
        self, origin_ended_s, expected
    ):
        calls = {'b-1': make_call('b-1', origin_ended_s)}
        world = SimpleNamespace(world=SimpleNamespace(calls=calls))
        assert is_caller_waiting(world, make_call('b-1@entry-2', 5)) is expected

    def test_forwarded_call_of_open_origin(self):
        calls = {'b-1': make_call('b-1', None)}
        world = SimpleNamespace(world=SimpleNamespace(calls=calls))
        assert is_caller_waiting(world, make_call('b-1@entry-2', 5))

    def test_call_that_is_not_forwarded(self):
        world = SimpleNamespace(world=SimpleNamespace(calls={}))
        assert is_caller_waiting(world, make_call('b-1', 5))
