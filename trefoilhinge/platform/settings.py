"""Decoding of the settings file that the platform writes."""

import json
from typing import Any

from trefoilhinge.dispatch.settings import (
    ENVIRONMENT_SOURCES,
    Bounds,
    GatewaySettings,
    parse_address,
)
from trefoilhinge.exceptions import (
    MALFORMED_CONTENT_ERRORS,
    ImproperlyConfigured,
)

SETTINGS_PATH_VARIABLE = 'TREFOILHINGE_CONFIG'
METRICS_PORT = 9464  # must match deploy/system.toml
MS_PER_S = 1000
BYTES_PER_MB = 1_048_576
SCARCE_ROOM_CONTRACT = 'pressure'
# Setting -> the field or fields of the platform's file that it is read from.
SETTING_SOURCES = {
    'instance': 'nodeName',
    'ip': 'ip',
    'failure_domain': 'zone',
    'entry': 'listen.front',
    'readiness': 'listen.ready',
    'control': 'listen.control',
    'metrics': 'ip, and the port of deploy/system.toml',
    'first_port': 'internalPorts.0; the next port is used as well',
    'seeds': 'seeds',
    'store': 'platform.address',
    'registration_interval_s': 'heartbeatMs, zero if missing',
    'has_scarce_room': 'contracts, if pressure is among them',
    'memory_bytes': 'limits.memoryMb, or the memory of the machine',
    'descriptors': 'limits.maxFds, or the limit of the process',
    **ENVIRONMENT_SOURCES,
    'bounds.grace_s': 'bounds.graceS',
    'bounds.repeat_ratio': 'bounds.retryRatio',
    'bounds.repeat_slack': 'bounds.retrySlack',
    'bounds.repeat_window_s': 'bounds.retryWindowS',
    'bounds.free_s': 'bounds.freeMs',
    'bounds.hold_maximum_s': 'bounds.holdMaxMs',
    'bounds.apply_s': 'the smaller of bounds.drainMs and bounds.configApplyMs',
    'bounds.stable_s': 'bounds.stableMs, zero if missing',
    'bounds.cold_ratio': 'bounds.coldOver, zero if missing',
    'bounds.cold_slack': 'bounds.coldSlack, zero if missing',
    'bounds.evacuate_s': 'bounds.evacuateMs, zero if missing',
}


def decode_settings(text: str) -> GatewaySettings:
    """Decode the text of a settings file.

    :raises ImproperlyConfigured: the text is not JSON, or a field is missing
        or has the wrong type; the message names a missing field.
    """
    try:
        fields = json.loads(text)
    except (RecursionError, ValueError) as error:
        raise ImproperlyConfigured(f'invalid settings file: {error}') from error
    try:
        return _decode_fields(fields)
    except KeyError as missing:
        raise ImproperlyConfigured(
            f'invalid settings file: the field {missing} is missing',
        ) from missing
    except MALFORMED_CONTENT_ERRORS as error:
        raise ImproperlyConfigured(f'invalid settings file: {error}') from error


def _decode_fields(fields: dict[str, Any]) -> GatewaySettings:
    listen = fields['listen']
    control = listen.get('control')
    limits = fields.get('limits') or {}
    return GatewaySettings(
        instance=str(fields['nodeName']),
        ip=str(fields['ip']),
        failure_domain=str(fields['zone']),
        entry=parse_address(listen['front']),
        readiness=parse_address(listen['ready']),
        control=parse_address(control) if control else None,
        metrics=(str(fields['ip']), METRICS_PORT),
        first_port=int(fields['internalPorts'][0]),
        seeds=tuple(
            parse_address(seed)[0] for seed in fields.get('seeds') or ()
        ),
        store=parse_address(fields['platform']['address']),
        bounds=_decode_bounds(fields['bounds']),
        registration_interval_s=float(fields.get('heartbeatMs') or 0)
        / MS_PER_S,
        has_scarce_room=SCARCE_ROOM_CONTRACT in (fields.get('contracts') or ()),
        memory_bytes=int(limits.get('memoryMb') or 0) * BYTES_PER_MB,
        descriptors=int(limits.get('maxFds') or 0),
    )


def _decode_bounds(fields: dict[str, Any]) -> Bounds:
    return Bounds(
        grace_s=float(fields['graceS']),
        repeat_ratio=float(fields['retryRatio']),
        repeat_slack=float(fields['retrySlack']),
        repeat_window_s=float(fields['retryWindowS']),
        free_s=float(fields['freeMs']) / MS_PER_S,
        hold_maximum_s=float(fields['holdMaxMs']) / MS_PER_S,
        apply_s=min(fields['drainMs'], fields['configApplyMs']) / MS_PER_S,
        stable_s=float(fields.get('stableMs') or 0) / MS_PER_S,
        cold_ratio=float(fields.get('coldOver') or 0),
        cold_slack=float(fields.get('coldSlack') or 0),
        evacuate_s=float(fields.get('evacuateMs') or 0) / MS_PER_S,
    )
