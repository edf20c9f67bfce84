"""Tests of the replication of the document between instances."""

import json
import os

from tests.gateway.documents import make_document, make_settings
from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.replication import handle_peer_request
from trefoilhinge.gateway.state import make_state


def accept(state, version):
    """Offer a document of a version to an instance."""
    content = json.dumps(make_document(version)).encode()
    return state.accept_document(content, 'a test')


class TestAcceptance:
    def test_document_that_is_not_newer_is_logged(self):
        """Guards against outdated reads that leave no trace.

        In an incident the log did not show that an instance had read
        documents older than its own.
        """
        reader, writer = os.pipe()
        state = make_state(make_settings(1))
        state.log = EventLog('entry-1', writer)
        assert accept(state, 5)
        assert not accept(state, 4)
        lines = os.read(reader, 10_000).decode().splitlines()
        assert (
            f'version=5 before=0 source="a test" size={len(state.document_bytes)}'
            in lines[0]
        )
        assert lines[1].endswith(
            'event=document_ignored version=4 known=5 source="a test"'
        )


class TestPeerRequests:
    def test_bytes_sent_to_peers_are_counted(self):
        state = make_state(make_settings(1))
        accept(state, 1)
        size = len(handle_peer_request(state, '/document').content)
        handle_peer_request(state, '/document')
        labels = (('path', '/document'),)
        assert state.metrics.counts['peer_bytes', labels] == 2 * size
