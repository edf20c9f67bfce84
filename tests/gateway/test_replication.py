"""Tests of the replication of the document between instances."""

import asyncio
import json
import os

import pytest

from tests.gateway.documents import make_document, make_settings
from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.replication import (
    apply_targets,
    handle_peer_request,
)
from trefoilhinge.gateway.state import make_state


def accept(state, version):
    """Offer a document of a version to an instance."""
    content = json.dumps(make_document(version)).encode()
    return state.accept_document(content, 'a test')


def apply(state, fields):
    """Apply the targets that another instance sent."""

    async def run():
        return apply_targets(state, json.dumps(fields).encode())

    return asyncio.run(run())


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


class TestReportedTargets:
    TARGET = ['m1', 'model', '127.0.0.1:9', 'a', 6, False, 1000, 1, 5]
    EVACUATIONS = {'revision': 6, 'marks': [['v', 'b', True, 6]]}

    @pytest.mark.parametrize(
        'fields',
        [
            {'targets': [TARGET, ['m2', 'model']]},
            {'targets': [TARGET, [*TARGET[:4], 'six', *TARGET[5:]]]},
            {'targets': [TARGET], 'revision': None},
            {'targets': [TARGET], 'evacuations': {'revision': 6}},
            {
                'targets': [TARGET],
                'evacuations': {**EVACUATIONS, 'marks': [['v', 'b', 1, 6]]},
            },
        ],
    )
    def test_nothing_of_a_malformed_list_is_applied(self, fields):
        """Guards against a list that is used up to the part that is wrong.

        Its marks of failure domains were applied before its targets were read.
        """
        state = make_state(make_settings(1))
        whole = {'revision': 6, 'evacuations': self.EVACUATIONS, **fields}
        assert apply(state, whole).is_error()
        assert not state.directory.records
        assert not state.directory.evacuations.list_known()

    def test_whole_list_is_applied(self):
        state = make_state(make_settings(1))
        whole = {
            'revision': 6,
            'targets': [self.TARGET],
            'evacuations': self.EVACUATIONS,
        }
        assert apply(state, whole).ok == 1
        assert set(state.directory.records) == {'m1'}
        (mark,) = state.directory.evacuations.list_known()
        assert mark.domain == 'b'


class TestPeerRequests:
    def test_bytes_sent_to_peers_are_counted(self):
        state = make_state(make_settings(1))
        accept(state, 1)
        size = len(handle_peer_request(state, '/document').content)
        handle_peer_request(state, '/document')
        labels = (('path', '/document'),)
        assert state.metrics.counts['peer_bytes', labels] == 2 * size
