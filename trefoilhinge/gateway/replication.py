"""Replication of the document and the targets between instances."""

import json
from typing import Any

from attrs import evolve
from expression import Error, Ok, Result

from trefoilhinge.dispatch.evacuation_codec import describe_evacuations
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.exceptions import MALFORMED_CONTENT_ERRORS
from trefoilhinge.gateway.evacuations import (
    apply_reported_evacuations,
    has_evacuations,
)
from trefoilhinge.gateway.http_server import HttpResponse
from trefoilhinge.gateway.state import GatewayState

DOCUMENT_PATH = '/document'
TARGETS_PATH = '/targets'
ALIVE_PATH = '/alive'  # answered by any instance that runs
OK_STATUS = 200
BUSY_STATUS = 503
# More would share the bandwidth of a slow link until none ends in time.
MAXIMUM_TRANSFERS = 2


def handle_peer_request(state: GatewayState, path: str) -> HttpResponse:
    """Return the response to a GET of another instance."""
    if path == DOCUMENT_PATH and state.document_bytes:
        content = state.document_bytes
    elif path == TARGETS_PATH:
        content = encode_targets(state)
    else:
        return HttpResponse(OK_STATUS if path == ALIVE_PATH else 404)
    if state.transfers >= MAXIMUM_TRANSFERS:
        return HttpResponse(BUSY_STATUS)
    state.transfers += 1
    state.metrics.add('peer_bytes', len(content), path=path)
    return HttpResponse(
        OK_STATUS, content, 'application/json', lambda: _end_transfer(state)
    )


def _end_transfer(state: GatewayState) -> None:
    state.transfers -= 1


def encode_targets(state: GatewayState) -> bytes:
    """Return the known targets as JSON."""
    directory = state.directory
    targets = [
        [
            record.name,
            record.service,
            record.address,
            record.failure_domain,
            record.slots,
            record.incarnation in directory.departed,
            record.started_ms,
            record.sequence,
            record.revision,
        ]
        for record in directory.records.values()
    ]
    fields = {'revision': directory.revision, 'targets': targets}
    if has_evacuations(state):
        fields['evacuations'] = describe_evacuations(directory.evacuations)
    return json.dumps(fields).encode()


def _apply_reported(state: GatewayState, record: TargetRecord) -> None:
    """Apply a record of a peer, which also says whether the target departed.

    Only the store and the target itself say for good that it leaves.
    """
    state.apply_target(evolve(record, is_leaving=False))
    if record.is_leaving:
        state.directory.mark_reported(record.incarnation, record.revision)


def _parse_targets(fields: Any) -> tuple[list[TargetRecord], int]:
    records = [TargetRecord(*entry) for entry in fields['targets']]
    return records, int(fields['revision'])


def apply_targets(state: GatewayState, content: bytes) -> Result[int, str]:
    """Apply the targets that another instance sent, all or nothing.

    Targets at a store revision that is not newer are ignored. Marks of
    evacuated failure domains are compared one by one, and are applied before
    the instance may begin to serve.

    :return: number of targets applied, or why they cannot be read.
    """
    try:
        fields = json.loads(content)
        records, revision = _parse_targets(fields)
        apply_reported_evacuations(state, fields.get('evacuations'))
    except KeyError as missing:
        return Error(f'the field {missing} is missing')
    except MALFORMED_CONTENT_ERRORS as problem:
        return Error(f'{type(problem).__name__}: {problem}')
    directory = state.directory
    if revision <= directory.revision:
        return Ok(0)
    now_s = state.get_now_s()
    named = {record.name for record in records}
    for name in set(directory.records) - named:
        directory.mark_removed(name, now_s, revision)
    for record in records:
        _apply_reported(state, record)
    state.record_targets_read(revision)
    state.log.write(
        'targets_taken', source='peer', revision=revision, count=len(records)
    )
    return Ok(len(records))
