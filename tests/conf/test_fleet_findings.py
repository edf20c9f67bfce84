"""Tests of the findings in the platform's documents."""

import contextlib
import copy
import json

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conf.test_document import list_paths, set_value
from tests.gateway.documents import make_document, make_route, make_settings
from trefoilhinge.conf.checked_documents import (
    check_beside_settings,
    compare_checked_documents,
    parse_checked_document,
)
from trefoilhinge.conf.findings.fleet_context import FLEET_CHECKS
from trefoilhinge.platform.documents import decode_document

CLEAN = make_document(version=2)
STREAM, BOOK, LOOK = CLEAN['routes']
MODEL, DESK = CLEAN['services']
MILL = CLEAN['tenants'][0]
PATHS = list(list_paths(CLEAN))[1:]
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['1', 'nan', 'inf', 'stream', 'model', '/', 10**400])
    | st.sampled_from(CLEAN['routes'] + CLEAN['services']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(['name', 'service', 'weight', 'from', 'target']),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)


def parse(fields):
    return parse_checked_document(json.dumps(fields), decode_document)


def change(*changes):
    fields = copy.deepcopy(CLEAN)
    for steps, value in changes:
        set_value(fields, steps, copy.deepcopy(value))
    return fields


def find(*changes):
    findings = parse(change(*changes)).ok.findings
    return {(one.identifier.rpartition('.')[2], one.path) for one in findings}


def find_beside(changes, evolved=None, **bounds):
    settings = evolve(make_settings(80, **bounds), **(evolved or {}))
    document = parse(change(*changes)).ok
    findings = check_beside_settings(document, settings).ok.findings
    return {(one.identifier.rpartition('.')[2], one.path) for one in findings}


def add_route(**fields):
    return [
        STREAM,
        BOOK,
        LOOK,
        {**make_route('new', 'idempotent', 'desk', 100), **fields},
    ]


def publish_delay(target, delay_ms):
    delay = {'from': 'a', 'target': target, 'delay_ms': delay_ms}
    return [delay]


def split(*pairs):
    return [{'service': name, 'weight': weight} for name, weight in pairs]


ENGINE = ('services', 0, 'engine')
# Identifier, path, member, the value that is found, and a correct one.
ROWS = [
    ('E201', '$.routes[0]', ('routes', 0, 'prefix'), ['/stream/'], '/stream/'),
    ('E201', '$.routes[0]', ('routes', 0, 'service'), 5, 'model'),
    ('E201', '$.tenants[0]', ('tenants', 0, 'apiKeys'), 'key-1', ['key-1']),
    ('E202', '$.routes[0]', ('routes', 0, 'service'), 'modle', 'model'),
    (
        'E203',
        '$.services[1]',
        ('services',),
        [MODEL, DESK, DESK],
        [MODEL, DESK],
    ),
    (
        'E204',
        '$.tenants[0]',
        ('tenants',),
        [MILL, {**MILL, 'name': 'bakery'}],
        [MILL, {'name': 'bakery', 'apiKeys': ['key-2']}],
    ),
    ('E205', '$.tenants[0]', ('tenants', 0, 'priority'), '1', 1),
    ('E211', '$.routes', ('routes',), [], CLEAN['routes']),
    ('E212', '$.routes[0]', ('tenants',), [], CLEAN['tenants']),
    ('E213', '$.routes[1]', ('routes', 1, 'resumable'), True, False),
    ('E221', '$.routes[0]', ('routes', 0, 'timeoutMs'), 0, 1000),
    ('E221', '$.limits', ('limits', 'maxBodyBytes'), -1, 1),
    (
        'E222',
        '$.routes[0]',
        ('routes', 0, 'split'),
        split(('model', -1), ('desk', 2)),
        split(('model', 1), ('desk', 2)),
    ),
    (
        'E222',
        '$.routes[0]',
        ('routes', 0, 'split'),
        split(('model', 0)),
        split(('model', 1)),
    ),
    ('E223', '$.services[0]', (*ENGINE, 'read_per_s'), 0, 1),
    ('E223', '$.services[1]', ('services', 1, 'coldPerS'), -1, 0),
    (
        'W201',
        '$.routes[3]',
        ('routes',),
        add_route(name='look'),
        add_route(),
    ),
    (
        'W211',
        '$.routes[3]',
        ('routes',),
        add_route(host='Desk.Example', prefix='/look/'),
        add_route(host='desk.example', prefix='/look/up/'),
    ),
    (
        'W202',
        '$.routes[1].priorty',
        ('routes', 1),
        {**BOOK, 'priorty': 3},
        {**BOOK, 'priority': 3},
    ),
    (
        'W202',
        '$.services[0].engine.delays[0].to',
        (*ENGINE, 'delays'),
        [{'from': 'a', 'target': 'b', 'delay_ms': 4, 'to': 'b'}],
        publish_delay('b', 4),
    ),
    ('W212', '$.routes[0]', ('routes', 0, 'prefix'), 'stream/', '/stream/'),
    ('W212', '$.routes[0]', ('routes', 0, 'prefix'), '/a?b', ''),
    ('W212', '$.routes[0]', ('routes', 0, 'host'), 'a/b', 'a:80'),
    ('W213', '$.services[0]', ('routes', 0, 'service'), 'desk', 'model'),
    ('W214', '$.tenants[0]', ('tenants', 0, 'apiKeys'), [], ['key-1']),
    (
        'W215',
        '$.routes[0]',
        ('routes', 0, 'split'),
        split(('model', 1), ('desk', 0)),
        split(('model', 1), ('desk', 1)),
    ),
    (
        'W215',
        '$.routes[0]',
        ('routes', 0, 'split'),
        split(('model', 1), ('model', 2)),
        split(('model', 3)),
    ),
    ('W216', '$.routes[2]', ('routes', 2, 'resumable'), True, False),
    ('W217', '$.routes[1]', ('routes', 1, 'attempts'), 2, 1),
    ('W218', '$.routes[0]', ('routes', 0, 'attempts'), 1, 2),
    ('W221', '$.routes[0]', ('routes', 0, 'timeoutMs'), 299, 300),
    ('W222', '$.routes[0]', ('routes', 0, 'sloMs'), 1, 2),
    ('W222', '$.routes[0]', ('routes', 0, 'gapAimMs'), 44, 45),
    ('W223', '$.services[0]', ('services', 0, 'maxConns'), 7, 8),
    ('W224', '$.services[0]', (*ENGINE, 'kvCapacity'), 2047, 2048),
    ('W225', '$.services[1]', ('services', 1, 'coldS'), 3, 0),
    (
        'W226',
        '$.services[0]',
        (*ENGINE, 'delays'),
        publish_delay('a', 4),
        publish_delay('b', 4),
    ),
    ('W227', '$.routes[0]', ('routes', 0, 'priority'), 10, 9),
]


class TestFindings:
    def test_clean_document_has_none(self):
        assert find() == set()

    @pytest.mark.parametrize(
        ('identifier', 'path', 'steps', 'wrong', 'right'), ROWS
    )
    def test_each_is_found_until_it_is_corrected(
        self, identifier, path, steps, wrong, right
    ):
        assert (identifier, path) in find((steps, wrong))
        assert identifier not in {name for name, _ in find((steps, right))}

    def test_every_check_has_a_row(self):
        """A check without a failing document may never report anything."""
        checks = FLEET_CHECKS.list_checks()
        names = {one.identifier.rpartition('.')[2] for one in checks}
        assert names == {name for name, *_ in ROWS}
        assert all(one.meaning for one in checks)

    def test_services_that_publish_other_delays(self):
        other = {**MODEL, 'name': 'other'}
        other['engine'] = {**MODEL['engine'], 'delays': publish_delay('b', 5)}
        delays = ((*ENGINE, 'delays'), publish_delay('b', 4))
        services = ('services',), [MODEL, DESK, other]
        assert ('W226', '$.services[2]') in find(services, delays)

    def test_no_key_is_printed(self):
        fields = change((('tenants',), [MILL, {**MILL, 'name': 'bakery'}]))
        new = parse(fields).ok
        compared = compare_checked_documents(parse(CLEAN).ok, new).ok
        texts = [*map(str, compared.findings), *compared.differences]
        assert texts
        assert not any('key-1' in text for text in texts)

    def test_entry_that_cannot_be_decoded_is_named(self):
        fields = change((('routes', 1, 'kind'), 'twice'))
        assert [one.path for one in parse(fields).error] == ['$.routes[1]']
        fields = change((('limits',), None))
        assert [one.path for one in parse(fields).error] == ['$']

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.lists(st.tuples(st.sampled_from(PATHS), VALUES), max_size=3))
    def test_any_document_is_checked_without_an_exception(self, changes):
        fields = copy.deepcopy(CLEAN)
        for steps, value in changes:
            with contextlib.suppress(LookupError, TypeError):
                set_value(fields, steps, copy.deepcopy(value))
        parsed = parse(fields)
        if parsed.is_error():
            assert all(one.instead for one in parsed.error)
            return
        assert all(str(one).isascii() for one in parsed.ok.findings)
        compared = compare_checked_documents(parse(CLEAN).ok, parsed.ok)
        lines = compared.ok.differences
        assert all(line.isprintable() for line in lines)
        enabled = make_settings(80, repeat_ratio=0, repeat_slack=0)
        assert check_beside_settings(parsed.ok, enabled).is_ok()


class TestSettings:
    @pytest.mark.parametrize(
        ('identifier', 'path', 'changes', 'wrong', 'right'),
        [
            (
                'W231',
                '$.routes[0]',
                (),
                {'repeat_ratio': 0, 'repeat_slack': 0},
                {},
            ),
            (
                'W232',
                '$.services[1]',
                [(('services', 1, 'coldPerS'), 17)],
                {},
                {'cold_ratio': 1.5},
            ),
        ],
    )
    def test_bounds(self, identifier, path, changes, wrong, right):
        assert (identifier, path) in find_beside(changes, **wrong)
        assert find_beside(changes, **right) == set()

    @pytest.mark.parametrize(
        ('memory_bytes', 'count'), [(0, 0), (1_499_985, 1), (1_500_015, 0)]
    )
    def test_bodies_that_no_instance_holds(self, memory_bytes, count):
        settings = {'memory_bytes': memory_bytes, 'has_scarce_room': True}
        found = find_beside((), settings)
        assert len(found) == count
        assert found <= {('W233', '$.limits')}


class TestComparisons:
    def test_changes_are_described(self):
        new = change(
            (('version',), 3),
            (('routes', 0, 'split'), split(('model', 9), ('desk', 1))),
            ((*ENGINE, 'delays'), publish_delay('b', 4)),
            (('tenants', 0, 'apiKeys'), ['key-2']),
        )
        compared = compare_checked_documents(parse(CLEAN).ok, parse(new).ok).ok
        assert compared.findings == ()
        assert compared.differences == [
            'version is now 3, was 2',
            'route stream, share of model now has the weight 9, was 1',
            'route stream: share of desk is added',
            'model, engine: domain_delays_s of a and b is now 0.004, was none',
            'mill: keys now with sha256:7c36b0a9 and without sha256:be297454',
        ]

    def test_older_version_is_an_error(self):
        old = parse(change((('version',), 3))).ok
        compared = compare_checked_documents(old, parse(CLEAN).ok).ok
        identifiers = [one.identifier for one in compared.findings]
        assert identifiers == ['trefoilhinge.E301']
        assert compare_checked_documents(old, old).ok.findings == ()
