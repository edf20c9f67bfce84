"""Tests of the findings in the product's documents."""

import contextlib
import copy
import json
import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conf.test_document import PATHS, VALUES, set_value
from trefoilhinge.conf.checked_documents import (
    compare_checked_documents,
    parse_checked_document,
)
from trefoilhinge.conf.findings.document_context import DOCUMENT_CHECKS
from trefoilhinge.platform.documents import decode_document

ROOT = pathlib.Path(__file__).parents[2]


def make_fields():
    fields = json.loads((ROOT / 'examples' / 'kandy.json').read_text())
    for index, organisation in enumerate(fields['organisations']):
        key = {
            'identifier': f'key{index}',
            'salt': '0' * 16,
            'digest': '0' * 64,
        }
        organisation['keys'] = [key]
    return fields


CLEAN = make_fields()
WRITER = ('services', 0)
DESK = ('services', 1)
ORGANISATION = ('organisations', 0)
KEYS = CLEAN['organisations'][0]['keys']
MODELS = CLEAN['models']
DOMAINS = CLEAN['failure_domains']
PLAIN = {'name': 'spare', 'kind': 'plain'}
ENGINES = {**PLAIN, 'kind': 'model'}


def parse(fields):
    return parse_checked_document(json.dumps(fields), decode_document)


def find(*changes):
    fields = copy.deepcopy(CLEAN)
    for steps, value in changes:
        set_value(fields, steps, copy.deepcopy(value))
    return {
        (one.identifier.rpartition('.')[2], one.path): one
        for one in parse(fields).ok.findings
    }


# Identifier, path, member, the value that is found, and a correct one.
ROWS = [
    ('W101', '$.organisations[0].keys', (*ORGANISATION, 'keys'), [], KEYS),
    (
        'W102',
        '$.services[2]',
        ('services',),
        [*CLEAN['services'], PLAIN],
        CLEAN['services'],
    ),
    (
        'W103',
        '$.failure_domains[3]',
        ('failure_domains',),
        [*DOMAINS, {'name': 'matale', 'region': 'hill'}],
        DOMAINS,
    ),
    (
        'W104',
        '$.models[1]',
        ('models',),
        [*MODELS, {'name': 'unused', 'versions': ['v1']}],
        MODELS,
    ),
    (
        'W105',
        '$.services[1].paths[1]',
        (*DESK, 'paths'),
        [
            {'path': '/look', 'idempotent': True},
            {'path': '/look/up', 'idempotent': True},
        ],
        [
            {'path': '/look', 'idempotent': True},
            {'path': '/look/up', 'idempotent': False},
        ],
    ),
    (
        'W106',
        '$.services[1].memory_tokens',
        DESK,
        {**CLEAN['services'][1], 'memory_tokens': 5000},
        CLEAN['services'][1],
    ),
    (
        'W107',
        '$.services[2].fences',
        ('services',),
        [*CLEAN['services'], {**ENGINES, 'fences': 'honoured'}],
        [*CLEAN['services'], ENGINES],
    ),
    (
        'W108',
        '$.organisations[0].priorities[2]',
        (*ORGANISATION, 'priorities'),
        [5, 7, 5],
        [5, 7],
    ),
    (
        'W109',
        '$.services[0].desired.prefill_share',
        (*WRITER, 'desired', 'prefill_share'),
        0.03,
        0.04,
    ),
    (
        'W123',
        '$.services[0].maximum_prompt_tokens',
        (*WRITER, 'prefill_tokens_per_s'),
        10,
        20000,
    ),
    (
        'W124',
        '$.time_limits.silence_s',
        ('time_limits', 'silence_s'),
        120,
        119,
    ),
    (
        'W125',
        '$.balance.short_tokens',
        ('balance', 'short_tokens'),
        90_000,
        80_000,
    ),
    (
        'W125',
        '$.balance.long_tokens',
        ('balance', 'long_tokens'),
        90_001,
        90_000,
    ),
    (
        'W126',
        '$.services[0].maximum_running',
        (*WRITER, 'memory_tokens'),
        10_000,
        100_000,
    ),
    (
        'W127',
        '$.services[0].minimum_ready',
        (*WRITER, 'minimum_ready'),
        25,
        24,
    ),
]
# Stated explicitly, so that they can contradict other fields.
LIMITS = (
    ((*WRITER, 'maximum_prompt_tokens'), 90_000),
    ((*WRITER, 'maximum_running'), 10_000),
)


class TestFindings:
    def test_clean_document_has_none(self):
        assert find() == {}

    @pytest.mark.parametrize(
        ('identifier', 'path', 'steps', 'wrong', 'right'), ROWS
    )
    def test_each_is_found_until_it_is_corrected(
        self, identifier, path, steps, wrong, right
    ):
        assert (identifier, path) in find(*LIMITS, (steps, wrong))
        found = find(*LIMITS, (steps, right))
        assert identifier not in {name for name, _ in found}

    @pytest.mark.parametrize(
        ('identifier', 'name', 'wrong', 'right'),
        [
            ('W121', 'requests_per_s', 300_000, 200_000),
            ('W122', 'tokens_per_s', 550_001, 550_000),
        ],
    )
    def test_rates_of_callers_of_models_alone(
        self, identifier, name, wrong, right
    ):
        models_only = ((*ORGANISATION, 'services'), ['writer'])
        steps = (*ORGANISATION, name)
        path = f'$.organisations[0].{name}'
        assert (identifier, path) in find(models_only, (steps, wrong))
        assert (identifier, path) not in find(models_only, (steps, right))
        assert (identifier, path) not in find((steps, wrong))

    def test_every_check_has_a_row(self):
        """A check without a failing document may never report anything."""
        rows = {name for name, *_ in ROWS} | {'W121', 'W122'}
        names = {
            one.identifier.rpartition('.')[2]
            for one in DOCUMENT_CHECKS.list_checks()
        }
        assert names == rows
        assert all(one.meaning for one in DOCUMENT_CHECKS.list_checks())

    def test_defaults_are_not_reported(self):
        found = find(((*WRITER, 'memory_tokens'), 1000))
        assert found == {}

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.tuples(st.sampled_from(PATHS), VALUES), max_size=3))
    def test_any_document_is_checked_without_an_exception(self, changes):
        fields = copy.deepcopy(CLEAN)
        for steps, value in changes:
            with contextlib.suppress(LookupError, TypeError):
                set_value(fields, steps, copy.deepcopy(value))
        parsed = parse(fields)
        if parsed.is_ok():
            assert all(str(one).isascii() for one in parsed.ok.findings)
            compared = compare_checked_documents(parse(CLEAN).ok, parsed.ok)
            is_old = parsed.ok.revision <= CLEAN['revision']
            if is_old and compared.ok.differences:
                assert compared.ok.findings[0].identifier.endswith('E301')
