import contextlib
import json
import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhinge.conf.document import parse_document, parse_document_bytes
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generator import find_stale_modules
from trefoilhinge.conf.violations import find_violations

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


class TestDocument:
    @pytest.mark.parametrize('name', ['caroni', 'kandy'])
    def test_examples_are_valid(self, name):
        text = (EXAMPLES / f'{name}.json').read_text()
        assert parse_document(text).is_ok()

    def test_unknown_field_is_rejected_with_its_path(self):
        document = json.loads((EXAMPLES / 'kandy.json').read_text())
        document['services'][0]['colour'] = 'green'
        problems = parse_document(json.dumps(document)).error
        assert problems[0].path == '$.services[0]'

    def test_duplicate_key_is_rejected(self):
        assert parse_document('{"revision": 1, "revision": 2}').is_error()


class TestGeneratedClasses:
    def test_committed_modules_are_up_to_date(self):
        assert find_stale_modules() == []


@pytest.fixture
def fields():
    return json.loads((EXAMPLES / 'kandy.json').read_text())


def find_problems(fields):
    return {one.path: one for one in parse_document(json.dumps(fields)).error}


def set_value(fields, path, value):
    *parents, last = path
    for step in parents:
        fields = fields[step]
    fields[last] = value


class TestProblems:
    @pytest.mark.parametrize(
        ('steps', 'value', 'path', 'wrong', 'instead'),
        [
            (('services', 0, 'kind'), 'modle', '', 'choices', '"model"'),
            (('services', 0, 'memory'), 1, '$.services[0]', 'memory', 'memory'),
            (('revision',), 1.0, '', 'whole number', 'without a decimal point'),
            (
                ('revision',),
                True,
                '',
                'whole number',
                'without a decimal point',
            ),
            (('revision',), 10**300, '', 'range', 'at most'),
            (('balance', 'long_weight'), -1, '', 'range', 'at least 0'),
            (('deployment',), 'Kandy\n', '', 'form', 'lower-case'),
            (('deployment',), 'kandy\n', '', 'form', 'lower-case'),
            (('organisations', 0, 'weight'), 0, '', 'range', 'above 0'),
            (('organisations', 0, 'services'), [], '', 'length', 'at least 1'),
            (
                ('organisations', 0, 'services', 0),
                'writr',
                '',
                'no service',
                '"writer"',
            ),
            (
                ('services', 0, 'targets', 0, 'failure_domain'),
                'kandi',
                '',
                'no failure domain',
                '"kandy"',
            ),
            (('services', 0, 'desired', 'model'), 'x', '', 'no model', 'one'),
            (('services', 0, 'desired', 'version'), 'x', '', 'version', 'one'),
            (
                ('services', 0, 'desired', 'adapters'),
                ['x'],
                '$.services[0].desired.adapters[0]',
                'adapter',
                'write',
            ),
            (('organisations', 1, 'name'), 'hotel-desk', '', 'already', 'one'),
            (('services', 1, 'name'), 'writer', '', 'already', 'another'),
            (
                ('services', 1, 'targets', 0, 'name'),
                'writer-0',
                '',
                'already',
                'another',
            ),
            (
                ('services', 1, 'targets', 0, 'address'),
                '10.0.1.1:8000',
                '',
                'already',
                'another',
            ),
            (
                ('services', 0, 'targets', 0, 'address'),
                '10.0.300.1:8000',
                '',
                'IP address',
                'such as',
            ),
            (
                ('services', 0, 'targets', 0, 'address'),
                '10.0.0.1:70000',
                '',
                'not a port',
                'such as',
            ),
            (('time_limits', 'default_s'), 80000, '', 'maximum_s', 'raise'),
            (('balance', 'short_tokens'), 200000, '', 'long_tokens', 'raise'),
            (('services', 0, 'minimum_ready'), 400, '', 'targets', 'at most'),
            (
                ('services', 0, 'maximum_prompt_tokens'),
                9000000,
                '',
                'failure domain',
                'at most',
            ),
            (
                ('organisations', 0, 'requests_per_s'),
                0.01,
                '',
                'admits no request',
                'at least 0.1',
            ),
            (('models', 0, 'versions'), ['v1', 'v1', 'v2'], '', '', ''),
        ],
    )
    def test_each_names_its_path_and_correction(
        self, fields, steps, value, path, wrong, instead
    ):
        set_value(fields, steps, value)
        if not path:
            path = '$' + ''.join(
                f'[{one}]' if isinstance(one, int) else f'.{one}'
                for one in steps
            )
        if steps[-1] == 'versions':
            path += '[1]'
        problem = find_problems(fields)[path]
        assert wrong in problem.wrong
        assert instead in problem.instead

    def test_key_identifier_of_two_organisations_is_rejected(self, fields):
        key = {'identifier': 'abcd', 'salt': '0' * 16, 'digest': '0' * 64}
        fields['organisations'][0]['keys'] = [key]
        fields['organisations'][1]['keys'] = [key]
        path = '$.organisations[1].keys[0].identifier'
        assert 'already' in find_problems(fields)[path].wrong

    def test_all_problems_of_a_step_are_reported_together(self, fields):
        fields['services'][0]['kind'] = 'x'
        fields['organisations'][0]['weight'] = -1
        del fields['balance']
        assert set(find_problems(fields)) == {
            '$.services[0].kind',
            '$.organisations[0].weight',
            '$.balance',
        }

    def test_defaults_are_not_checked_against_stated_fields(self, fields):
        service = fields['services'][0]
        service['targets'] = service['targets'][:1]
        service.pop('maximum_prompt_tokens', None)
        service.pop('minimum_ready', None)
        assert parse_document(json.dumps(fields)).is_ok()


class TestText:
    @pytest.mark.parametrize(
        ('text', 'path', 'wrong'),
        [
            ('', '$', 'not JSON'),
            ('\ufeff{}', '$', 'byte order mark'),
            ('{"a": NaN}', '$.a', 'finite'),
            ('{"a": [1e400, -Infinity]}', '$.a[0]', 'finite'),
            ('{"a": {"b": 1, "b": 2}}', '$.a', "'b' occurs more than once"),
            ('{"a b": NaN}', '$["a b"]', 'finite'),
            ('[' * 100_000, '$', 'nested'),
            ('[' * 400 + ']' * 400, '$' + '[0]' * 24, 'nested'),
            ('9' * 10_000, '$', 'not JSON'),
            (' ' * 1_000_001, '$', '1000001 bytes'),
            ('"\\ud800"', '$', 'not an object'),
            ('"\ud800"', '$', 'not an object'),
        ],
    )
    def test_malformed_text_is_rejected(self, text, path, wrong):
        problems = parse_document(text).error
        assert {one.path: wrong in one.wrong for one in problems}[path]
        assert all(str(one).isascii() for one in problems)

    def test_other_encoding_is_rejected(self):
        problem = parse_document_bytes(b'{"a": "\xe9"}').error[0]
        assert problem.wrong == 'byte 7 is not UTF-8'


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(['writer', 'kandy', 'model', 'v1', '10.0.1.1:8000']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


def list_paths(value, path=()):
    yield path
    if isinstance(value, dict | list):
        steps = value if isinstance(value, dict) else range(len(value))
        for step in steps:
            yield from list_paths(value[step], (*path, step))


EXAMPLE = json.loads((EXAMPLES / 'kandy.json').read_text())
PATHS = list(list_paths(EXAMPLE))[1:]


class TestParserUnderFuzz:
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(max_size=200))
    def test_any_text_is_rejected_without_an_exception(self, text):
        assert parse_document(text).is_error()

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_rejected_without_an_exception(self, raw):
        assert parse_document_bytes(raw).is_error()

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(st.tuples(st.sampled_from(PATHS), VALUES), max_size=3))
    def test_accepted_documents_are_valid_for_the_schema(self, changes):
        fields = json.loads(json.dumps(EXAMPLE))
        for steps, value in changes:
            with contextlib.suppress(LookupError, TypeError):
                set_value(fields, steps, value)
        parsed = parse_document(json.dumps(fields))
        violations = find_violations('document', fields)
        if parsed.is_ok():
            assert violations == ()
            assert isinstance(parsed.ok, Document)
        else:
            assert all(one.instead for one in parsed.error)
            assert not any(
                'cannot be read' in one.wrong for one in parsed.error
            )
