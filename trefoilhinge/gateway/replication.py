"""Copies of document and targets that instances give to one another."""

import json

from expression import Error, Ok, Result

from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.state import Beliefs
from trefoilhinge.gateway.http_server import Page

DOCUMENT_PATH = '/document'
TARGETS_PATH = '/targets'


def answer_peer(beliefs: Beliefs, path: str) -> Page:
    """Answer another instance's question."""
    if path == DOCUMENT_PATH and beliefs.document_bytes:
        return Page(200, beliefs.document_bytes, 'application/json')
    if path == TARGETS_PATH:
        return Page(200, write_targets(beliefs), 'application/json')
    return Page(404)


def write_targets(beliefs: Beliefs) -> bytes:
    """Return the targets as one message."""
    directory = beliefs.directory
    targets = [
        [
            record.name,
            record.service,
            record.address,
            record.failure_domain,
            record.places,
            (record.name, record.born_ms) in directory.left,
            record.born_ms,
            record.sequence,
            record.revision,
        ]
        for record in directory.records.values()
    ]
    return json.dumps(
        {'revision': directory.revision, 'targets': targets}
    ).encode()


def take_targets(beliefs: Beliefs, content: bytes) -> Result[int, str]:
    """Take another instance's targets; return how many it named."""
    try:
        fields = json.loads(content)
        records = [TargetRecord(*entry) for entry in fields['targets']]
        revision = int(fields['revision'])
    except (KeyError, TypeError, ValueError) as problem:
        return Error(f'{type(problem).__name__}: {problem}')
    directory = beliefs.directory
    if revision <= directory.revision:
        return Ok(0)
    now_s = beliefs.get_now_s()
    named = {record.name for record in records}
    for name in set(directory.records) - named:
        directory.note_gone(name, now_s)
    for record in records:
        directory.note_record(record)
    directory.revision = revision
    beliefs.log.write(
        'targets_taken', source='peer', revision=revision, count=len(records)
    )
    return Ok(len(records))
