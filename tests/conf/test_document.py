import json
import pathlib

import pytest

from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.generator import find_stale_modules

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


class TestDocument:
    @pytest.mark.parametrize('name', ['caroni', 'kandy'])
    def test_examples_are_valid(self, name):
        text = (EXAMPLES / f'{name}.json').read_text()
        assert parse_document(text).is_ok()

    def test_unknown_field_is_refused_with_its_path(self):
        document = json.loads((EXAMPLES / 'kandy.json').read_text())
        document['services'][0]['colour'] = 'green'
        problems = parse_document(json.dumps(document)).error
        assert problems[0].path == '$.services[0]'

    def test_key_that_stands_twice_is_refused(self):
        assert parse_document('{"revision": 1, "revision": 2}').is_error()


class TestGeneratedClasses:
    def test_committed_code_is_what_the_schemas_generate(self):
        assert find_stale_modules() == []
