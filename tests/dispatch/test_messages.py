"""Tests of the datagrams between instances."""

import math

import msgpack
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tests.dispatch.samples import make_short
from trefoilhinge.dispatch.crash_evidence import CrashReport
from trefoilhinge.dispatch.evacuations import (
    MAXIMUM_DOMAIN_LENGTH,
    DomainMark,
)
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.message_codec import (
    MAXIMUM_DATAGRAM_BYTES,
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.messages import (
    InstanceLeft,
    RunEnded,
    RunFirstEvent,
    RunSent,
    RunStarted,
    TargetCrashed,
    TargetEjected,
    TargetLeaving,
    TargetOrdered,
    TargetRateNamed,
    TargetSlowdown,
    TraitQuarantined,
    TraitsCleared,
)
from trefoilhinge.dispatch.peers import GOSSIPED_PEERS, Heartbeat
from trefoilhinge.dispatch.permits import (
    PermitDecision,
    PermitRequest,
    PermitVerdict,
)
from trefoilhinge.dispatch.quarantine_codec import (
    MAXIMUM_TRAIT_LENGTH,
    MAXIMUM_TRAITS,
)
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.dispatch.warmup.codec import TargetCold

SAMPLES = (
    Heartbeat(
        '10.0.0.1', '10.0.0.1/ab12cd', 'pointe-a', 7, 99, False, ('10.0.0.2',)
    ),
    RunStarted(make_short(5, 't01'), 9.5),
    RunSent('me', 5),
    TargetSlowdown('t00', 5.0),
    RunFirstEvent('me', 5),
    RunEnded('me', 5),
    TargetLeaving('t01', 1000, 33),
    TargetEjected('t01', 3.0),
    TargetRateNamed(NamedRate('t01', 1000, 1.2, 0, 0), 5),
    TargetRateNamed(NamedRate('t01', 1000, None, 0, 0), 5),
    TargetOrdered('t01'),
    InstanceLeft('10.0.0.1/ab12cd'),
    TargetCold('t01', 1000, 2.5),
    DomainMark('d' * MAXIMUM_DOMAIN_LENGTH, True, 2**63 - 1),
    DomainMark('pointe-a', False, 10**15),
    PermitRequest('10.0.0.1/ab12cd', 5, 't01', 1000, 1, 2.5),
    PermitDecision('me', 5, 't01', PermitVerdict.granted, 0),
    TargetCrashed(CrashReport('t01', 1000, 'mill', ('part/a',), 1, 2), 5),
    TraitQuarantined('part/a', 3, 0.5, 1),
    TraitsCleared(('part/a', 'part/b'), 0.5),
)


class TestMessages:
    def test_each_kind_survives_a_round_trip(self):
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
        assert (
            len(encode_message(RunStarted(run, 15))) <= MAXIMUM_DATAGRAM_BYTES
        )

    def test_largest_crash_report_fits_one_packet(self):
        traits = tuple(
            f'{number:0{MAXIMUM_TRAIT_LENGTH}}'
            for number in range(MAXIMUM_TRAITS)
        )
        report = CrashReport('i-0123456789', 10**12, 'o' * 32, traits, 1, 2)
        message = TargetCrashed(report, 5)
        assert len(encode_message(message)) <= MAXIMUM_DATAGRAM_BYTES
        decoded = decode_message(encode_message(message), 5).ok.report
        assert decoded.traits == traits
        assert (decoded.sent_s, decoded.crashed_s) == (1, 2)

    @pytest.mark.parametrize(
        'fields',
        (
            ['c', 't', 1, 'o', ['x'] * 25, 1, 1],
            ['c', 't', 1, 'o', ['x' * 49], 1, 1],
            ['c', 't', 1, 'o', [None], 1, 1],
            ['c', 't', 1, 'o', ['x'], math.nan, 1],
            ['c', 't', 1, 'o', ['x'], -1, 1],
            ['z', 'x', 1, math.inf, 0],
            ['z', 'x' * 49, 1, 1, 0],
            ['y', 'x', 1],
            ['y', [['x']], 1],
            ['c'],
            ['z'],
            ['y'],
        ),
    )
    def test_malformed_message_about_crashes_is_refused(self, fields):
        assert decode_message(msgpack.packb(fields), 5).is_error()

    def test_largest_heartbeat_fits_one_packet(self):
        known = tuple(
            f'10.100.100.{number}' for number in range(GOSSIPED_PEERS)
        )
        heartbeat = Heartbeat(
            '10.0.0.1', '10.0.0.1/ab12cd', 'pointe-a', 7, 99, False, known
        )
        assert len(encode_message(heartbeat)) <= MAXIMUM_DATAGRAM_BYTES

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
            | st.sampled_from(
                ['w', 'r', 'f', 'e', 'l', 't', 'o', 'q', 'd', 'granted']
            ),
            lambda inner: st.lists(inner, max_size=9),
            max_leaves=20,
        )
    )
    def test_any_structure_is_refused_with_a_reason(self, fields):
        decoded = decode_message(msgpack.packb(fields), 0)
        assert decoded.is_ok() or decoded.error

    def test_non_finite_durations_are_refused(self):
        for bad in (math.nan, math.inf, -math.inf):
            part = ['t01', bad, 0, True]
            fields = ['r', 'me', 1, [part], 0, 0, 0.25, 5.0]
            assert decode_message(msgpack.packb(fields), 0).is_error()
            fields = ['r', 'me', 1, [], 0, 0, 0.25, bad]
            assert decode_message(msgpack.packb(fields), 0).is_error()

    def test_limit_keeps_its_rate_and_its_age(self):
        """Guards against instances that compare different numbers.

        A rate that lost digits on its way would look like a change.
        """
        message = TargetRateNamed(NamedRate('t01', 1000, 1.2, 95, 96), 100)
        decoded = decode_message(encode_message(message), 500).ok
        assert decoded.named.requests_per_s == 1.2
        assert 494 < decoded.named.earliest_s < 495
        assert math.isclose(decoded.named.latest_s, 496, abs_tol=0.001)

    def test_limit_that_is_very_old_is_sent(self):
        message = TargetRateNamed(NamedRate('t01', 1000, 1.2, 0, 0), 1e6)
        assert decode_message(encode_message(message), 0).is_ok()

    def test_limit_that_blocks_a_target_is_refused(self):
        for rate in (0, -1):
            fields = ['t', 't01', 1000, rate, 0.0, 0.0]
            assert decode_message(msgpack.packb(fields), 0).is_error()
