"""Decodes the settings file that the platform writes."""

import json
from typing import Any

from trefoilhinge.dispatch.settings import (
    Bounds,
    GatewaySettings,
    parse_address,
)
from trefoilhinge.exceptions import ImproperlyConfigured

SETTINGS_PATH_VARIABLE = 'TREFOILHINGE_CONFIG'
METRICS_PORT = 9464  # as deploy/system.toml says
MS_PER_S = 1000
# Where each setting comes from: fields of the platform's file.
SETTING_SOURCES = {
    'instance': 'nodeName',
    'ip': 'ip',
    'failure_domain': 'zone',
    'entry': 'listen.front',
    'readiness': 'listen.ready',
    'control': 'listen.control',
    'metrics': 'ip, and the port of deploy/system.toml',
    'first_port': 'internalPorts.0',
    'seeds': 'seeds',
    'store': 'platform.address',
    'bounds.grace_s': 'bounds.graceS',
    'bounds.repeat_ratio': 'bounds.retryRatio',
    'bounds.repeat_slack': 'bounds.retrySlack',
    'bounds.repeat_window_s': 'bounds.retryWindowS',
    'bounds.free_s': 'bounds.freeMs',
    'bounds.hold_maximum_s': 'bounds.holdMaxMs',
    'bounds.apply_s': 'the smaller of bounds.drainMs and bounds.configApplyMs',
}
# What a field of another type raises on its way.
_DECODE_ERRORS = (AttributeError, IndexError, TypeError, ValueError)


def decode_settings(text: str) -> GatewaySettings:
    """Decode the text of a settings file.

    :raises ImproperlyConfigured: a field is missing or of the wrong type; the
        message names it.
    """
    try:
        fields = json.loads(text)
    except ValueError as problem:
        raise ImproperlyConfigured(f'settings file: {problem}') from problem
    try:
        return _decode(fields)
    except KeyError as missing:
        raise ImproperlyConfigured(
            f'settings file: the field {missing} is missing',
        ) from missing
    except _DECODE_ERRORS as problem:
        raise ImproperlyConfigured(f'settings file: {problem}') from problem


def _decode(fields: dict[str, Any]) -> GatewaySettings:
    listen = fields['listen']
    control = listen.get('control')
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
    )
