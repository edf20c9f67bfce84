"""Tests of the datagrams between instances."""

import math

import msgpack
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tests.dispatch.samples import make_short
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.messages import (
    MAXIMUM_BYTES,
    RunEnded,
    RunSent,
    RunStarted,
    RunWrites,
    TargetAvoided,
    TargetLeaves,
    TargetPaced,
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.peers import NAMED_PEERS, Word

SAMPLES = (
    Word(
        '10.0.0.1', '10.0.0.1/ab12cd', 'pointe-a', 7, 99, False, ('10.0.0.2',)
    ),
    RunStarted(make_short(5, 't01'), 9.5),
    RunSent('me', 5),
    TargetPaced('t00', 5.0),
    RunWrites('me', 5),
    RunEnded('me', 5),
    TargetLeaves('t01', 1000, 33),
    TargetAvoided('t01', 3.0),
)


class TestMessages:
    def test_each_kind_is_read_as_written(self):
        for message in SAMPLES:
            decoded = decode_message(encode_message(message), 0)
            assert decoded.is_ok()
            assert type(decoded.ok) is type(message)
        assert decode_message(encode_message(SAMPLES[0]), 0).ok == SAMPLES[0]

    def test_largest_run_fits_one_packet(self):
        parts = tuple(
            RunPart(f'i-{number:010}', 0.123456, 123_456, number == 0)
            for number in range(16)
        )
        run = Run('10.0.0.1/ab12cd', 99_999, parts, 600_000, 4000, 1, 0)
        assert len(encode_message(RunStarted(run, 15))) <= MAXIMUM_BYTES

    def test_largest_word_fits_one_packet(self):
        known = tuple(f'10.100.100.{number}' for number in range(NAMED_PEERS))
        word = Word(
            '10.0.0.1', '10.0.0.1/ab12cd', 'pointe-a', 7, 99, False, known
        )
        assert len(encode_message(word)) <= MAXIMUM_BYTES

    @seed(1)
    @settings(max_examples=500, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_with_a_reason(self, data):
        decoded = decode_message(data, 0)
        assert decoded.is_ok() or decoded.error

    @seed(2)
    @settings(max_examples=500, deadline=None)
    @given(
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers(-(2**40), 2**40)
            | st.floats()
            | st.text(max_size=5)
            | st.sampled_from(['w', 'r', 'f', 'e', 'l']),
            lambda inner: st.lists(inner, max_size=9),
            max_leaves=20,
        )
    )
    def test_any_structure_is_refused_with_a_reason(self, fields):
        decoded = decode_message(msgpack.packb(fields), 0)
        assert decoded.is_ok() or decoded.error

    def test_durations_that_are_no_numbers_are_refused(self):
        for bad in (math.nan, math.inf, -math.inf):
            part = ['t01', bad, 0, True]
            fields = ['r', 'me', 1, [part], 0, 0, 0.25, 5.0]
            assert decode_message(msgpack.packb(fields), 0).is_error()
            fields = ['r', 'me', 1, [], 0, 0, 0.25, bad]
            assert decode_message(msgpack.packb(fields), 0).is_error()
