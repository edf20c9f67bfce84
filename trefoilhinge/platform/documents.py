"""Decoding of the operator's configuration into a fleet document."""

import json
from typing import Any

from expression import Error, Ok, Result

from trefoilhinge.dispatch.documents import (
    CallerLimits,
    CallKind,
    EngineProfile,
    FleetDocument,
    Organisation,
    Route,
    Service,
    ServiceShare,
    sort_routes,
)
from trefoilhinge.exceptions import MALFORMED_CONTENT_ERRORS

MS_PER_S = 1000
CALL_KINDS = {
    'idempotent': CallKind.idempotent,
    'non_idempotent': CallKind.once,
    'stream': CallKind.stream,
}
DEFAULT_SLO_MS = 1000
DEFAULT_PRIORITY = 5  # documented by the platform for calls without one


def decode_document(content: bytes) -> Result[FleetDocument, str]:
    """Decode a configuration.

    :return: the document, or an error message that names the cause.
    """
    try:
        return Ok(_decode_fields(json.loads(content)))
    except KeyError as missing:
        return Error(f'the field {missing} is missing')
    except MALFORMED_CONTENT_ERRORS as error:
        return Error(str(error))


def _decode_fields(fields: dict[str, Any]) -> FleetDocument:
    services = {
        entry['name']: _decode_service(entry) for entry in fields['services']
    }
    return FleetDocument(
        version=int(fields['version']),
        routes=sort_routes(
            [_decode_route(route) for route in fields['routes']]
        ),
        services=services,
        limits=_decode_limits(fields['limits']),
        organisations=_decode_organisations(fields.get('tenants')),
    )


def _decode_route(fields: dict[str, Any]) -> Route:
    slo_ms = fields.get('sloMs') or DEFAULT_SLO_MS
    split = fields.get('split') or [{'service': fields['service'], 'weight': 1}]
    return Route(
        name=fields['name'],
        host=fields['host'],
        prefix=fields['prefix'],
        kind=CALL_KINDS[fields['kind']],
        timeout_s=fields['timeoutMs'] / MS_PER_S,
        slo_s=slo_ms / MS_PER_S,
        gap_slo_s=fields.get('gapAimMs', 0) / MS_PER_S,
        priority=int(fields.get('priority', DEFAULT_PRIORITY)),
        shares=tuple(
            ServiceShare(part['service'], float(part['weight']))
            for part in split
        ),
        attempts=int(fields.get('attempts', 1)),
        is_public=bool(fields.get('public', False)),
        is_resumable=bool(fields.get('resumable', False)),
    )


def _decode_service(fields: dict[str, Any]) -> Service:
    engine = fields.get('engine')
    return Service(
        name=fields['name'],
        maximum_connections=int(fields.get('maxConns', 0)),
        engine=_decode_engine(engine) if engine else None,
        cold_s=float(fields.get('coldS') or 0),
        cold_requests_per_s=float(fields.get('coldPerS') or 0),
    )


def _decode_engine(fields: dict[str, Any]) -> EngineProfile:
    return EngineProfile(
        slots=int(fields['slots']),
        memory_tokens=int(fields['kvCapacity']),
        steps_per_iteration=int(fields.get('stride', 1)),
        step_ms=float(fields['step_ms']),
        per_stream_ms=float(fields['per_seq_ms']),
        context_ms_per_k=float(fields['context_per_k']),
        prefill_tokens_per_ms=float(fields['read_per_s']) / MS_PER_S,
        pairs_ms_per_m=float(fields.get('pairs_per_m', 0)),
        chunk_tokens=int(fields['chunk']),
        usual_output_tokens=float((fields.get('usual') or {}).get('answer', 0)),
        domain_delays_s={
            frozenset((entry['from'], entry['target'])): entry['delay_ms']
            / MS_PER_S
            for entry in fields.get('delays') or ()
        },
    )


def _decode_limits(fields: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(fields['maxHeaderBytes']),
        body_bytes=int(fields['maxBodyBytes']),
        header_timeout_s=fields['headerTimeoutMs'] / MS_PER_S,
        idle_timeout_s=fields['idleTimeoutMs'] / MS_PER_S,
    )


def _decode_organisations(
    entries: list[dict[str, Any]] | None,
) -> dict[str, Organisation] | None:
    if entries is None:
        return None
    by_key = {}
    for entry in entries:
        organisation = Organisation(entry['name'], entry.get('priority'))
        for key in entry.get('apiKeys') or ():
            by_key[key] = organisation
    return by_key
