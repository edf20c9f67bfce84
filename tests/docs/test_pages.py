import pathlib
import re
import textwrap

import pytest

from trefoilhinge.client.commands import Commands
from trefoilhinge.conf.document import parse_document

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / 'docs'
CODE = ROOT / 'trefoilhinge'
# Pages whose figures come from runs; links to them may come first.
PLANNED = {'CAPACITY.md', 'measurements.md'}


def read_code(*places):
    files = [file for one in places for file in (CODE / one).rglob('*.py')]
    return '\n'.join(file.read_text() for file in files)


class TestPages:
    @pytest.mark.parametrize(
        'page', sorted(DOCS.rglob('*.md')), ids=lambda page: page.name
    )
    def test_links_lead_somewhere(self, page):
        links = re.findall(r'\]\(([^)#:]+)(?:#[^)]*)?\)', page.read_text())
        gone = [
            link
            for link in links
            if pathlib.Path(link).name not in PLANNED
            and not (page.parent / link).exists()
        ]
        assert gone == []

    def test_first_document_is_valid(self):
        text = (DOCS / 'intro' / 'first-document.md').read_text()
        block = re.search(r'\n    \{\n(?:    .*\n|\n)+?    \}\n', text)
        assert parse_document(textwrap.dedent(block.group())).is_ok()

    def test_every_finding_is_explained(self):
        text = (CODE / 'node' / 'findings.py').read_text()
        codes = re.findall(r"_report\(\s*'\w+',\s*'(\w+)'", text)
        page = (DOCS / 'how-to' / 'read-the-status.md').read_text()
        assert len(codes) == 11
        assert [one for one in codes if f'`{one}`' not in page] == []

    def test_every_log_event_is_explained(self):
        text = read_code('conf', 'node', 'orders', 'entry', 'calls', 'groups')
        names = set(re.findall(r"LogEvent\(\s*'(\w+)'", text))
        names.update(re.findall(r"name = '(\w+_\w+)'", text))
        page = (DOCS / 'reference' / 'log-events.md').read_text()
        assert {'request_finished', 'document_kept'} <= names
        assert {one for one in names if f'`{one}`' not in page} == set()

    def test_every_command_is_listed(self):
        page = (DOCS / 'reference' / 'command-line.md').read_text()
        names = [one for one in vars(Commands) if not one.startswith('_')]
        assert len(names) > 5
        listed = [f'`{one.replace("_", "-")}' for one in names]
        assert [one for one in listed if one not in page] == []

    def test_every_event_of_the_gateway_is_explained(self):
        text = read_code('gateway')
        names = set(re.findall(r"write\(\s*'(\w+)'", text))
        page = (DOCS / 'reference' / 'gateway-events.md').read_text()
        assert {'call_offered', 'store_lost'} <= names
        assert {one for one in names if f'`{one}`' not in page} == set()

    def test_every_refusal_of_the_gateway_has_a_cause(self):
        codes = set(
            re.findall(r"Refusal\(\s*\d+[^,]*,\s*'(\w+)'", read_code('gateway'))
        )
        client_source = read_code('client')
        assert 'stopping' in codes
        assert {
            one for one in codes if f"'{one}':" not in client_source
        } == set()
