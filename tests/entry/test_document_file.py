import pathlib

import pytest

from trefoilhinge.conf.settings import load_settings
from trefoilhinge.demo.deployment import find_free_port
from trefoilhinge.entry.daemon import make_entry
from trefoilhinge.exceptions import DocumentInvalid
from trefoilhinge.node.status import describe_node

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def make_entry_from_file(file):
    return make_entry(
        load_settings(
            {
                'instance': 'entry-1',
                'failure_domain': 'kandy',
                'listen': f'127.0.0.1:{find_free_port()}',
                'peer_listen': f'127.0.0.1:{find_free_port()}',
                'document_file': str(file),
            },
            {},
        )
    )


class TestDocumentFile:
    def test_start_loads_the_document_before_any_service_answers(self):
        entry = make_entry_from_file(EXAMPLES / 'kandy.json')
        entry.start()
        status = entry._actor.ask(describe_node, timeout=5)
        entry.close()
        assert status.revision == 1
        assert status.instance == 'entry-1'

    def test_start_fails_on_an_invalid_file(self, tmp_path):
        file = tmp_path / 'document.json'
        file.write_text('{}')
        entry = make_entry_from_file(file)
        with pytest.raises(DocumentInvalid, match='revision'):
            entry.start()
        entry.close()
