"""What the platform's other parties write, for stand-ins of them.

The store's items, a process's settings, the operator's configuration, and what
a target reads of a call and says in its answer.
"""

import base64
import json
from collections.abc import Mapping
from typing import Any

from attrs import frozen

SEAL_HEADER = ('X-Server-Seal', 'seal-1')
NOT_RUN_HEADER = ('X-Not-Run', '1')
EVENT_STREAM_HEADER = ('Content-Type', 'text/event-stream')
RESERVE_OPERATION = 'reserve'
MS_PER_S = 1000


@frozen
class ReceivedRequest:
    """What a target reads of a call.

    :ivar last_event: number of the last event that the caller holds, zero if
        none.
    """

    request_id: str
    last_event: int


@frozen
class ReceivedOrder:
    """What a target reads of an order about memory."""

    reservation_id: str
    is_reservation: bool
    hold_s: float


def encode_item(key: str, content: bytes, revision: int) -> dict[str, Any]:
    """Return an item of the store."""
    return {
        'key': key,
        'value': base64.b64encode(content).decode(),
        'rev': revision,
        'created': 1,
        'lease': 0,
    }


def encode_tombstone(key: str, revision: int) -> dict[str, Any]:
    """Return the news that an item is gone."""
    return {'key': key, 'rev': revision, 'tombstone': True}


def encode_target(
    service: str, address: str, *, is_leaving: bool = False, **fields: Any
) -> dict[str, Any]:
    """Return a target's entry; fields replace its own."""
    usual = {
        'service': service,
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'draining' if is_leaving else 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': 1000,
    }
    return {**usual, **fields}


def encode_document(version: int, keys: Mapping[str, str]) -> dict[str, Any]:
    """Return a configuration with a stream, a once and a repeatable route.

    :param keys: name of the organisation that holds each API key.
    """
    engine = {
        'slots': 8,
        'kvCapacity': 232000,
        'stride': 43,
        'step_ms': 1.02,
        'per_seq_ms': 0.00452,
        'context_per_k': 0.00431,
        'read_per_s': 206000.0,
        'pairs_per_m': 0.138,
        'chunk': 2048,
    }
    return {
        'version': version,
        'routes': [
            encode_route('stream', 'stream', 'model', 300, resumable=True),
            encode_route('book', 'non_idempotent', 'desk', 100, attempts=1),
            encode_route('look', 'idempotent', 'desk', 100),
        ],
        'services': [
            {'name': 'model', 'maxConns': 100, 'engine': engine},
            {'name': 'desk', 'maxConns': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 2000,
        },
        'tenants': [
            {'name': name, 'apiKeys': [key], 'priority': 1}
            for key, name in keys.items()
        ],
    }


def encode_route(
    name: str, kind: str, service: str, aim_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return a route; fields replace its own."""
    usual = {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3000,
        'sloMs': aim_ms,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'gapAimMs': 250,
    }
    return {**usual, **fields}


def encode_settings(
    name: str, ip: str, store: str, seeds: list[str], first_port: int
) -> str:
    """Return the settings file of one instance.

    :param first_port: the callers' port; the next ones are the others.
    """
    listen = ('front', 'ready', 'control')
    fields = {
        'nodeName': name,
        'ip': ip,
        'zone': 'a',
        'listen': {
            what: f'{ip}:{first_port + number}'
            for number, what in enumerate(listen)
        },
        'internalPorts': [first_port + len(listen), first_port + 20],
        'seeds': seeds,
        'platform': {'address': store},
        'bounds': {
            'graceS': 8,
            'retryRatio': 0.2,
            'retrySlack': 104,
            'retryWindowS': 10,
            'freeMs': 4000,
            'holdMaxMs': 20000,
            'drainMs': 2000,
            'configApplyMs': 2000,
        },
    }
    return json.dumps(fields)


def encode_caller_headers(
    request_id: str, api_key: str, deadline_s: float, **fields: str
) -> list[tuple[str, str]]:
    """Return a caller's headers; fields with underscores add to them."""
    usual = {
        'Host': 'desk.example',
        'X-Request-Id': request_id,
        'X-Deadline': str(int(deadline_s * MS_PER_S)),
        'Api-Key': api_key,
    }
    added = {name.replace('_', '-'): text for name, text in fields.items()}
    return list({**usual, **added}.items())


def decode_request_headers(headers: Mapping[str, str]) -> ReceivedRequest:
    """Return what a target reads of a call's headers."""
    return ReceivedRequest(
        headers.get('x-request-id', ''), int(headers.get('last-event-id', 0))
    )


def decode_order(content: bytes) -> ReceivedOrder:
    """Return what a target reads of an order."""
    fields = json.loads(content)
    hold_s = fields.get('holdMs', 0) / MS_PER_S
    return ReceivedOrder(
        fields['id'], fields['op'] == RESERVE_OPERATION, hold_s
    )
