import pathlib
import re
import textwrap

import pytest

from trefoilhinge.client.commands import Commands
from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.generator import load_schema

ROOT = pathlib.Path(__file__).parents[2]
DOCS_ROOT = ROOT / 'docs'
SOURCE_ROOT = ROOT / 'trefoilhinge'
# These pages are written after the runs that yield their figures, so links to
# them may precede them.
UNCHECKED_PAGES = {'CAPACITY.md', 'measurements.md'}


def read_sources(*paths):
    files = [
        file for path in paths for file in (SOURCE_ROOT / path).rglob('*.py')
    ]
    return '\n'.join(file.read_text() for file in files)


class TestPages:
    @pytest.mark.parametrize(
        'page', sorted(DOCS_ROOT.rglob('*.md')), ids=lambda page: page.name
    )
    def test_links_resolve(self, page):
        links = re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text())
        broken_links = [
            link
            for link in links
            if pathlib.Path(link).name not in UNCHECKED_PAGES
            and not (page.parent / link).exists()
        ]
        assert broken_links == []

    def test_first_document_is_valid(self):
        text = (DOCS_ROOT / 'intro' / 'first-document.md').read_text()
        block = re.search(r'\n    \{\n(?:    .*\n|\n)+?    \}\n', text)
        assert parse_document(textwrap.dedent(block.group())).is_ok()

    def test_every_finding_is_documented(self):
        text = (SOURCE_ROOT / 'node' / 'findings.py').read_text()
        codes = re.findall(r"_report\(\s*'\w+',\s*'(\w+)'", text)
        page = (DOCS_ROOT / 'how-to' / 'read-the-status.md').read_text()
        assert len(codes) == 11
        assert [code for code in codes if f'`{code}`' not in page] == []

    def test_every_field_was_considered_for_findings(self):
        """A new field of the document may contradict one that is there."""
        schema = load_schema('document')
        objects = (schema, *schema['$defs'].values())
        names = {name for one in objects for name in one.get('properties', ())}
        page = (DOCS_ROOT / 'design' / 'checking-documents.md').read_text()
        assert {'revision', 'burst_s'} <= names
        assert {name for name in names if f'`{name}`' not in page} == set()

    def test_every_log_event_is_documented(self):
        text = read_sources(
            'conf', 'node', 'orders', 'entry', 'calls', 'groups'
        )
        names = set(re.findall(r"LogEvent\(\s*'(\w+)'", text))
        names.update(re.findall(r"name = '(\w+_\w+)'", text))
        page = (DOCS_ROOT / 'reference' / 'log-events.md').read_text()
        assert {'request_finished', 'document_kept'} <= names
        assert {name for name in names if f'`{name}`' not in page} == set()

    def test_every_command_is_documented(self):
        page = (DOCS_ROOT / 'reference' / 'command-line.md').read_text()
        names = [name for name in vars(Commands) if not name.startswith('_')]
        assert len(names) > 5
        command_names = [f'`{name.replace("_", "-")}' for name in names]
        assert [name for name in command_names if name not in page] == []

    def test_every_gateway_event_is_documented(self):
        text = read_sources('gateway')
        names = set(re.findall(r"write\(\s*'(\w+)'", text))
        page = (DOCS_ROOT / 'reference' / 'gateway-events.md').read_text()
        assert {'call_offered', 'store_lost'} <= names
        assert {name for name in names if f'`{name}`' not in page} == set()

    def test_client_explains_every_gateway_refusal(self):
        codes = set(
            re.findall(
                r"Refusal\(\s*\d+[^,]*,\s*'(\w+)'", read_sources('gateway')
            )
        )
        client_source = read_sources('client')
        assert 'stopping' in codes
        assert {
            code for code in codes if f"'{code}':" not in client_source
        } == set()
