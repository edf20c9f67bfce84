"""Tests of content that decoders must refuse without failing."""

import json

import pytest

from trefoilhinge.gateway.replication import apply_targets
from trefoilhinge.platform import store
from trefoilhinge.platform.documents import decode_document
from trefoilhinge.platform.headers import decode_request_head

NESTED = b'[' * 200_000
ENTRY = (
    '{"service": "a", "address": "%s", "zone": "a", "slots": 8,'
    ' "state": "ready", "born": %s, "seq": 1}'
)


def decode_entry(address='10.0.0.1:80', born='1000'):
    content = (ENTRY % (address, born)).encode()
    return store.decode_target(store.StoreItem('servers/t', content, 1))


class TestEntries:
    """Guards against an entry of another writer that ends the watch."""

    def test_deeply_nested_entry_is_refused(self):
        item = store.StoreItem('servers/t', NESTED, 1)
        assert store.decode_target(item).is_error()

    @pytest.mark.parametrize('born', ['1e999', 'Infinity', 'NaN', '"x"'])
    def test_start_that_is_no_integer_is_refused(self, born):
        assert decode_entry(born=born).is_error()

    @pytest.mark.parametrize(
        'address',
        ['10.0.0.1:²', '10.0.0.1:0', '10.0.0.1:65536', 'name.example:80']
        + ['10.0.0.1', '10.0.0.300:80', f'{"x" * 70}:80'],
    )
    def test_address_that_cannot_be_connected_to_is_refused(self, address):
        assert decode_entry(address).is_error()

    def test_proper_entry_is_read(self):
        assert decode_entry().is_ok()


class TestResponses:
    @pytest.mark.parametrize('era', ['\u00b2', '1' * 5_000])
    def test_odd_eras_are_refused(self, era):
        """Guards against an error that is none of the store's client."""
        assert store.decode_era({'store-era': era}).is_error()

    @pytest.mark.parametrize(
        'content',
        [
            NESTED,
            b'{"items": [{"key": "a", "value": "", "rev": 1e999}],'
            b' "currentRev": 1}',
            b'{"items": [], "currentRev": Infinity}',
        ],
    )
    def test_responses_of_the_store_are_refused(self, content):
        assert store.decode_page(content, 0).is_error()
        assert store.decode_item(content, 0).is_error()

    def test_deeply_nested_document_is_refused(self):
        assert decode_document(NESTED).is_error()

    def test_deeply_nested_list_of_a_peer_is_refused(self):
        assert apply_targets(None, NESTED).is_error()

    @pytest.mark.parametrize(
        ('position', 'value'),
        [(0, 'a b'), (4, 2**64), (4, 0), (6, -1), (6, 0.5), (7, '1')],
    )
    def test_odd_target_in_the_list_of_a_peer_is_refused(self, position, value):
        """Guards against a record that cannot be announced to other peers."""
        entry = ['t', 'a', '10.0.0.1:80', 'a', 8, False, 1000, 1, 1]
        entry[position] = value
        content = json.dumps({'revision': 1, 'targets': [entry]}).encode()
        assert apply_targets(None, content).is_error()


class TestTokenCounts:
    @pytest.mark.parametrize(
        'value', [b'9' * 400, b'-1,1', b'1,-1', b'1.5,1', b'1,2,3']
    )
    def test_count_that_is_no_size_of_a_prompt_is_refused(self, value):
        """Guards against an estimate that overflows while a call is served."""
        headers = [(b'host', b'h'), (b'x-token-count', value)]
        with pytest.raises(ValueError, match='x-token-count'):
            decode_request_head(b'POST', b'/', headers)

    @pytest.mark.parametrize('value', [b'nan', b'inf', b'1e999', b'-1'])
    def test_time_limit_that_is_no_duration_is_refused(self, value):
        headers = [(b'host', b'h'), (b'x-deadline', value)]
        with pytest.raises(ValueError, match='x-deadline'):
            decode_request_head(b'POST', b'/', headers)
