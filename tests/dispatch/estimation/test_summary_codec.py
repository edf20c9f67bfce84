"""Tests of summaries of learned costs between instances."""

import math

import msgpack
import pytest

from trefoilhinge.dispatch.estimation.group_table import (
    MAXIMUM_SUMMARY_GROUPS,
    GroupSummary,
    make_key,
)
from trefoilhinge.dispatch.estimation.log_statistics import Distribution
from trefoilhinge.dispatch.message_codec import (
    MAXIMUM_DATAGRAM_BYTES,
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.messages import CostsSummarised

LARGEST = 2**64 - 1


def make_summary(count):
    return CostsSummarised(
        tuple(
            GroupSummary(LARGEST - number, Distribution(-1.5, 0.25, 300.5))
            for number in range(count)
        )
    )


class TestSummaryCodec:
    def test_fullest_summary_fits_a_datagram(self):
        """Guards against a summary that no new instance gets."""
        data = encode_message(make_summary(2 * MAXIMUM_SUMMARY_GROUPS))
        assert len(data) <= MAXIMUM_DATAGRAM_BYTES
        assert decode_message(data, 0).ok == make_summary(
            MAXIMUM_SUMMARY_GROUPS
        )

    @pytest.mark.parametrize(
        'entry',
        [
            [1, math.nan, 0.5, 3],
            [1, 21.0, 0.5, 3],
            [1, 0, -0.5, 3],
            [1, 0, 0.5, math.inf],
            ['1', 0, 0.5, 3],
            [1, 0, 0.5],
        ],
    )
    def test_odd_entries_are_refused(self, entry):
        data = msgpack.packb(['k', [entry]])
        assert decode_message(data, 0).is_error()

    def test_too_many_entries_are_refused(self):
        entries = [[1, 0, 0, 0]] * (MAXIMUM_SUMMARY_GROUPS + 1)
        assert decode_message(msgpack.packb(['k', entries]), 0).is_error()

    def test_keys_are_the_same_at_all_instances(self):
        assert make_key('output', 'a', True) == make_key('output', 'a', True)
        assert make_key('output', 'a') != make_key('output', 'b')
