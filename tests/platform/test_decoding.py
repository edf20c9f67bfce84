"""Tests of the platform adapter's decoders, with fuzzing from fixed seeds."""

import base64
import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from tests.gateway.documents import make_document
from trefoilhinge.dispatch.documents import CallKind
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.platform import store
from trefoilhinge.platform.documents import decode_document
from trefoilhinge.platform.headers import (
    MAXIMUM_PART_BYTES,
    MAXIMUM_PROMPT_PARTS,
    decode_prompt_parts,
    decode_request_head,
)
from trefoilhinge.platform.responses import decode_response_head
from trefoilhinge.platform.settings import decode_settings

SETTINGS = {
    'nodeName': 'front-a-1',
    'zone': 'a',
    'ip': '10.1.0.40',
    'listen': {'front': '10.1.0.40:8227', 'ready': '10.1.0.40:8220'},
    'internalPorts': [7340, 7355],
    'seeds': ['10.2.0.29:8229'],
    'bounds': {
        'graceS': 8,
        'retryRatio': 0.2,
        'retryWindowS': 10,
        'retrySlack': 104,
        'freeMs': 4000,
        'holdMaxMs': 20000,
        'drainMs': 2000,
        'configApplyMs': 1500,
    },
    'platform': {'address': '10.200.1.7:8223'},
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [
                    'version',
                    'routes',
                    'services',
                    'limits',
                    'tenants',
                    'items',
                    'events',
                    'key',
                    'value',
                    'rev',
                    'currentRev',
                    'service',
                    'address',
                    'zone',
                    'slots',
                    'state',
                    'born',
                    'seq',
                    'name',
                ]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=25,
)


class TestSettings:
    def test_fields_are_converted_to_the_settings_units(self):
        decoded = decode_settings(json.dumps(SETTINGS))
        assert decoded.entry == ('10.1.0.40', 8227)
        assert decoded.control is None
        assert decoded.seeds == ('10.2.0.29',)
        assert decoded.bounds.free_s == 4
        assert decoded.bounds.apply_s == 1.5

    def test_registration_interval_is_optional(self):
        decoded = decode_settings(json.dumps({**SETTINGS, 'heartbeatMs': 1200}))
        assert decoded.registration_interval_s == 1.2
        decoded = decode_settings(json.dumps(SETTINGS))
        assert decoded.registration_interval_s == 0

    @pytest.mark.parametrize('name', sorted(set(SETTINGS) - {'seeds'}))
    def test_missing_field_is_named(self, name):
        fields = {key: SETTINGS[key] for key in SETTINGS if key != name}
        with pytest.raises(ImproperlyConfigured, match=name):
            decode_settings(json.dumps(fields))

    def test_invalid_json_is_rejected(self):
        with pytest.raises(ImproperlyConfigured):
            decode_settings('{')


class TestDocuments:
    def test_route_fields_are_converted_to_the_documents_units(self):
        document = decode_document(json.dumps(make_document()).encode()).ok
        route = document.find_route('desk.example', '/stream/1')
        assert route.kind is CallKind.stream
        assert route.slo_s == 0.3
        assert route.gap_slo_s == 0.25
        assert route.is_resumable

    def test_longest_prefix_matches(self):
        fields = make_document()
        longer = dict(fields['routes'][1], name='deep', prefix='/book/deep/')
        fields['routes'].append(longer)
        document = decode_document(json.dumps(fields).encode()).ok
        assert (
            document.find_route('desk.example', '/book/deep/1').name == 'deep'
        )
        assert document.find_route('desk.example', '/book/1').name == 'book'
        assert document.find_route('other.example', '/book/1') is None

    def test_split_is_proportional_to_the_weights(self):
        fields = make_document()
        fields['routes'][1]['split'] = [
            {'service': 'one', 'weight': 90},
            {'service': 'two', 'weight': 10},
        ]
        route = decode_document(json.dumps(fields).encode()).ok.find_route(
            'desk.example', '/book/1'
        )
        drawn = [
            route.choose_service((2 * step + 1) * 2**31 // 100)
            for step in range(100)
        ]
        assert drawn.count('two') == 10

    @seed(3)
    @settings(max_examples=300, deadline=None)
    @given(JSON)
    def test_any_json_is_decoded_or_rejected_with_a_message(self, fields):
        decoded = decode_document(json.dumps(fields).encode())
        assert decoded.is_ok() or isinstance(decoded.error, str)


class TestStore:
    @seed(4)
    @settings(max_examples=300, deadline=None)
    @given(JSON)
    def test_any_page_is_decoded_or_rejected_with_a_message(self, fields):
        content = json.dumps(fields).encode()
        for decode in (store.decode_item, store.decode_page):
            decoded = decode(content, 1)
            assert decoded.is_ok() or isinstance(decoded.error, str)

    @seed(5)
    @settings(max_examples=300, deadline=None)
    @given(
        st.binary(max_size=60)
        | JSON.map(lambda fields: json.dumps(fields).encode())
    )
    def test_any_entry_is_decoded_or_rejected_with_a_message(self, content):
        item = store.StoreItem('servers/x', content, 1)
        decoded = store.decode_target(item)
        assert decoded.is_ok() or isinstance(decoded.error, str)

    def test_events_and_tombstones_are_decoded(self):
        value = base64.b64encode(b'{}').decode()
        page = store.decode_page(
            json.dumps(
                {
                    'events': [
                        {'key': 'a', 'value': value, 'rev': 5},
                        {'key': 'b', 'rev': 6, 'tombstone': True},
                    ],
                    'currentRev': 6,
                }
            ).encode(),
            era=0,
        ).ok
        assert [item.content for item in page.items] == [b'{}', None]
        assert [item.revision for item in page.items] == [5, 6]

    def test_revisions_of_a_later_era_are_larger(self):
        earlier = store.decode_page(b'{"items": [], "currentRev": 900}', 1).ok
        later = store.decode_page(b'{"items": [], "currentRev": 3}', 2).ok
        assert later.revision > earlier.revision
        assert 'after=3&' in store.make_watch_path('', later.revision, 1)

    def test_era_that_is_no_number_is_an_error(self):
        assert store.decode_era({}).ok == 0
        assert store.decode_era({'store-era': '7'}).ok == 7
        assert store.decode_era({'store-era': '-1'}).is_error()
        assert store.decode_era({'store-era': 'two'}).is_error()


class TestHeaders:
    def test_header_listed_in_connection_is_dropped_unless_a_target_requires_it(
        self,
    ):
        head = decode_request_head(
            b'GET',
            b'/x',
            [
                (b'Host', b'h'),
                (b'Connection', b'x-hop, X-Model'),
                (b'X-Hop', b'1'),
                (b'X-Model', b'm'),
            ],
        )
        names = {name for name, _ in head.forwarded_headers}
        assert names == {b'Host', b'X-Model'}

    def test_repeated_api_key_is_rejected(self):
        headers = [(b'Host', b'h'), (b'Api-Key', b'a'), (b'Api-Key', b'b')]
        with pytest.raises(ValueError, match='repeated'):
            decode_request_head(b'GET', b'/x', headers)

    def test_deadline_that_is_not_a_number_is_rejected(self):
        headers = [(b'Host', b'h'), (b'X-Deadline', b'soon')]
        with pytest.raises(ValueError, match='soon'):
            decode_request_head(b'GET', b'/x', headers)


def decode_limit(*values):
    headers = [(b'Server-Limit', value) for value in values]
    head = decode_response_head(200, headers)
    return head.requests_per_s, bool(head.rate_problem)


class TestPromptParts:
    @pytest.mark.parametrize(
        ('value', 'parts'),
        (
            (b'5C1E:800,91bd:410,e440:250', ('5c1e', '91bd')),
            (b'5c1e:800', ()),
            (b'', ()),
            (b' 5c1e : 800 ,, e440:250 ,', ('5c1e',)),
            (b'5c1e:800,5c1e:800,5c1e:1', ('5c1e',)),
            (b':1,:2,x', ()),
            (b'no hex,e440', ('no hex',)),
        ),
    )
    def test_last_part_and_empty_entries_are_left_out(self, value, parts):
        assert decode_prompt_parts(value) == parts

    def test_repeated_headers_are_one_list(self):
        headers = [(b'X-Prompt-Prefix', b'a:1'), (b'x-prompt-prefix', b'b:1')]
        head = decode_request_head(b'POST', b'/', headers)
        assert head.prompt_parts == ('a',)

    def test_list_and_identifiers_are_bounded(self):
        value = b','.join(b'%0100d:1' % number for number in range(1000))
        parts = decode_prompt_parts(value)
        assert len(parts) == MAXIMUM_PROMPT_PARTS
        assert max(map(len, parts)) <= MAXIMUM_PART_BYTES


class TestNamedRates:
    @pytest.mark.parametrize(
        ('value', 'expected'),
        [
            (b'1.2', 1.2),
            (b'3', 3),
            (b' .5 ', 0.5),
            (b'1.', 1),
            (b'0', 0.1),
            (b'0.000001', 0.1),
        ],
    )
    def test_decimal_number_is_read(self, value, expected):
        assert decode_limit(value) == (expected, False)

    @pytest.mark.parametrize(
        'value',
        [b'', b'-1', b'+1', b'1e3', b'nan', b'inf', b'1,2', b'1 2', b'0x1']
        + [b'100001', b'9' * 400, '٣'.encode()],
    )
    def test_other_values_name_no_rate(self, value):
        assert decode_limit(value) == (None, True)

    def test_repeated_header_names_no_rate(self):
        assert decode_limit(b'1', b'2') == (None, True)

    def test_answer_without_the_header_names_no_rate(self):
        assert decode_limit() == (None, False)

    def test_header_is_passed_on_to_the_caller(self):
        head = decode_response_head(200, [(b'Server-Limit', b'1.20')])
        assert head.forwarded_headers == ((b'Server-Limit', b'1.20'),)
