import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhinge.conf.generated.messages import (
    ChargeWord,
    DemandWord,
    InstanceWord,
    LeavingWord,
    PeerExchange,
)
from trefoilhinge.conf.messages import (
    MAXIMUM_EXCHANGE_CHARACTERS,
    decode_exchange,
    encode_exchange,
)
from trefoilhinge.conf.violations import find_violations

EXCHANGE = PeerExchange(
    sender='entry-1',
    incarnation=1764800000000,
    sequence=5,
    revision=3,
    digest='a' * 64,
    instances=(InstanceWord(name='b', incarnation=1, address='10.0.0.1:1'),),
    leaving=(LeavingWord(target='t', incarnation=1),),
    demands=(
        DemandWord(organisation='o', requests_per_s=1.5, tokens_per_s=2.0),
    ),
    charges=(ChargeWord(target='t', tokens=100, calls=3),),
)
FIELDS = json.loads(encode_exchange(EXCHANGE))
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=80),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


class TestExchange:
    def test_decoding_inverts_encoding(self):
        assert decode_exchange(encode_exchange(EXCHANGE)).ok == EXCHANGE

    @pytest.mark.parametrize(
        'change',
        [
            {'sender': 'x' * 64},
            {'sender': 7},
            {'incarnation': -1},
            {'incarnation': True},
            {'incarnation': 1.0},
            {'sequence': 10**400},
            {'stopping': 1},
            {'leaving': [{'target': 't', 'incarnation': 1}] * 257},
            {'leaving': ['t']},
            {'leaving': [{'target': 't'}]},
            {'demands': {}},
            {
                'demands': [
                    {
                        'organisation': 'o',
                        'requests_per_s': 10**400,
                        'tokens_per_s': 1,
                    }
                ]
            },
        ],
    )
    def test_schema_violation_is_rejected(self, change):
        assert decode_exchange(json.dumps({**FIELDS, **change})).is_error()

    def test_unknown_field_of_a_newer_release_is_ignored(self):
        leaving = {**FIELDS['leaving'][0], 'newer': [1]}
        fields = {**FIELDS, 'newer': {'a': 1}, 'leaving': [leaving]}
        assert decode_exchange(json.dumps(fields)).ok == EXCHANGE

    @pytest.mark.parametrize(
        'text',
        ['', 'null', '[' * 100_000, '9' * 10_000, '"\\ud800"', '{}'],
    )
    def test_malformed_text_is_rejected(self, text):
        assert decode_exchange(text).is_error()

    def test_number_that_is_not_finite_is_rejected(self):
        text = encode_exchange(EXCHANGE)
        for number in ('NaN', 'Infinity', '1e400'):
            assert decode_exchange(text.replace('1.5', number)).is_error()

    def test_oversized_message_is_rejected(self):
        text = ' ' * (MAXIMUM_EXCHANGE_CHARACTERS + 1)
        assert 'characters' in decode_exchange(text).error

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.dictionaries(st.sampled_from(sorted(FIELDS)), VALUES, max_size=2))
    def test_decoder_only_accepts_what_the_schema_accepts(self, change):
        fields = {**FIELDS, **change}
        read = decode_exchange(json.dumps(fields))
        if read.is_ok():
            assert find_violations('messages', fields) == ()

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(max_size=200))
    def test_any_text_is_rejected_without_an_exception(self, text):
        assert decode_exchange(text).is_error()
