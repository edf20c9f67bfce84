"""Formats written and read by the platform's other services, for stand-ins.

These are items of the store, settings files, the operator's configuration,
callers' requests, and the requests and responses of targets.
"""

import base64
import json
from collections.abc import Iterable, Mapping
from typing import Any

from attrs import frozen

SEAL_HEADER = ('X-Server-Seal', 'seal-1')
NOT_RUN_HEADER = ('X-Not-Run', '1')
EVENT_STREAM_HEADER = ('Content-Type', 'text/event-stream')
RESERVE_OPERATION = 'reserve'
MS_PER_S = 1000


@frozen
class ReceivedRequest:
    """Request headers that a target evaluates.

    :ivar last_event: number of the last event that the caller received, zero
        if none.
    :ivar prompt_parts: identifiers of all parts of the prompt.
    :ivar reservations: identifiers of the reservations that it uses.
    :ivar helpers: addresses of the other targets that prefill its prompt.
    """

    request_id: str
    last_event: int
    prompt_parts: tuple[str, ...] = ()
    reservations: tuple[str, ...] = ()
    helpers: tuple[str, ...] = ()
    prompt_tokens: int = 0


@frozen
class ReceivedOrder:
    """Order to reserve or release memory, as decoded by a target.

    :ivar is_reservation: false for a release.
    :ivar hold_s: duration of the reservation, in seconds.
    """

    reservation_id: str
    is_reservation: bool
    hold_s: float


def encode_item(key: str, content: bytes, revision: int) -> dict[str, Any]:
    """Encode an item of the store."""
    return {
        'key': key,
        'value': base64.b64encode(content).decode(),
        'rev': revision,
        'created': 1,
        'lease': 0,
    }


def encode_rate_header(requests_per_s: float) -> tuple[str, str]:
    """Encode the limit on its requests that a target names."""
    return 'Server-Limit', f'{requests_per_s:g}'


def encode_cold_header(cold_s: float) -> tuple[str, str]:
    """Encode the time for which a target stays cold."""
    return 'X-Cold-Ms', str(int(cold_s * MS_PER_S))


def encode_era_header(era: int) -> tuple[str, str]:
    """Encode the era of the store as a header of its responses."""
    return 'Store-Era', str(era)


def encode_tombstone(key: str, revision: int) -> dict[str, Any]:
    """Encode the tombstone of a deleted item."""
    return {'key': key, 'rev': revision, 'tombstone': True}


def encode_target(
    service: str,
    address: str,
    *,
    is_leaving: bool = False,
    cold_s: float = 0,
    **fields: Any,
) -> dict[str, Any]:
    """Return a target's entry.

    :param cold_s: seconds for which the target stays cold.
    :param fields: additional fields, which override the defaults.
    """
    defaults = {
        'service': service,
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'draining' if is_leaving else 'ready',
        'coldLeftMs': int(cold_s * MS_PER_S),
        'seq': 1,
        'born': 1000,
    }
    return {**defaults, **fields}


def encode_document(
    version: int,
    keys: Mapping[str, str],
    cold_requests_per_s: float = 0,
    slots: int = 8,
    routes: Iterable[dict[str, Any]] = (),
) -> dict[str, Any]:
    """Return a configuration with a stream route and two plain routes.

    One of the plain routes is idempotent, the other is not.

    :param keys: API key -> name of the organisation that owns it.
    :param cold_requests_per_s: rate that a cold target takes, zero if targets
        have no cold phase.
    :param slots: slots of each engine.
    :param routes: further routes.
    """
    engine = {
        'slots': slots,
        'kvCapacity': 232000,
        'stride': 43,
        'step_ms': 1.02,
        'per_seq_ms': 0.00452,
        'context_per_k': 0.00431,
        'read_per_s': 206000.0,
        'pairs_per_m': 0.138,
        'chunk': 2048,
    }
    shared = {'maxConns': 100, 'coldPerS': cold_requests_per_s}
    return {
        'version': version,
        'routes': [
            encode_route('stream', 'stream', 'model', 300, resumable=True),
            encode_route('book', 'non_idempotent', 'desk', 100, attempts=1),
            encode_route('look', 'idempotent', 'desk', 100),
            *routes,
        ],
        'services': [
            {'name': 'model', 'engine': engine, **shared},
            {'name': 'desk', **shared},
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


def encode_queued_routes(name: str, timeout_s: float) -> list[dict[str, Any]]:
    """Return routes of calls that wait or work for long.

    One is of streams, the other of plain calls that are not idempotent.

    :param name: second segment of their paths.
    """
    shared = {'timeoutMs': int(timeout_s * MS_PER_S)}
    stream_fields = {'prefix': f'/stream/{name}/', 'resumable': True, **shared}
    plain_fields = {'prefix': f'/book/{name}/', 'attempts': 1, **shared}
    return [
        encode_route(
            f'stream-{name}', 'stream', 'model', 4000, **stream_fields
        ),
        encode_route(
            f'book-{name}', 'non_idempotent', 'desk', 100, **plain_fields
        ),
    ]


def encode_route(
    name: str, kind: str, service: str, slo_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return a route.

    :param fields: additional fields, which override the defaults.
    """
    defaults = {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3000,
        'sloMs': slo_ms,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'gapAimMs': 250,
    }
    return {**defaults, **fields}


def encode_settings(
    name: str,
    ip: str,
    store: str,
    seeds: list[str],
    first_port: int,
    *,
    has_scarce_room: bool = False,
    limits: Mapping[str, int] | None = None,
    **bounds: float,
) -> str:
    """Encode the settings file of an instance.

    :param first_port: port for callers; the readiness, control and internal
        ports follow it.
    :param has_scarce_room: whether callers compete for capacity.
    :param limits: memory and descriptors of the process, if they are known.
    :param bounds: additional bounds.
    """
    listen = ('front', 'ready', 'control')
    fields = {
        'nodeName': name,
        'ip': ip,
        'zone': 'a',
        'listen': {
            listener: f'{ip}:{first_port + index}'
            for index, listener in enumerate(listen)
        },
        'internalPorts': [first_port + len(listen), first_port + 20],
        'seeds': seeds,
        'heartbeatMs': 1200,
        'contracts': ['pressure'] if has_scarce_room else [],
        'platform': {'address': store},
        'limits': dict(limits or {}),
        'bounds': {
            'graceS': 8,
            'retryRatio': 0.2,
            'retrySlack': 104,
            'retryWindowS': 10,
            'freeMs': 4000,
            'holdMaxMs': 20000,
            'stableMs': 3000,
            'drainMs': 2000,
            'configApplyMs': 2000,
            **bounds,
        },
    }
    return json.dumps(fields)


def encode_caller_headers(
    request_id: str, api_key: str, deadline_s: float, **fields: str
) -> list[tuple[str, str]]:
    """Return the headers of a caller's request.

    :param fields: additional headers, with underscores for hyphens.
    """
    defaults = {
        'Host': 'desk.example',
        'X-Request-Id': request_id,
        'X-Deadline': str(int(deadline_s * MS_PER_S)),
        'Api-Key': api_key,
    }
    added = {name.replace('_', '-'): text for name, text in fields.items()}
    return list({**defaults, **added}.items())


def encode_prompt_parts(parts: Mapping[str, int]) -> str:
    """Encode the parts of a prompt, identifiers and token counts."""
    return ','.join(f'{name}:{tokens}' for name, tokens in parts.items())


def decode_request_headers(headers: Mapping[str, str]) -> ReceivedRequest:
    """Decode the request headers that a target evaluates."""
    entries = headers.get('x-prompt-prefix', '').split(',')
    helpers = headers.get('x-helpers', '').split(',')
    reservations = [helper.partition('/')[2] for helper in helpers]
    addresses = [helper.partition('/')[0] for helper in helpers]
    prompt_tokens, _, _ = headers.get('x-token-count', '0').partition(',')
    return ReceivedRequest(
        headers.get('x-request-id', ''),
        int(headers.get('last-event-id', 0)),
        tuple(entry.partition(':')[0] for entry in entries),
        tuple(filter(None, reservations)),
        tuple(filter(None, addresses)),
        int(prompt_tokens),
    )


def decode_order(content: bytes) -> ReceivedOrder:
    """Decode an order to reserve or release memory."""
    fields = json.loads(content)
    hold_s = fields.get('holdMs', 0) / MS_PER_S
    return ReceivedOrder(
        fields['id'], fields['op'] == RESERVE_OPERATION, hold_s
    )
