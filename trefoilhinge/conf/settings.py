"""Reads settings from flags and the environment, loaded lazily."""

import functools
import os
from collections.abc import Mapping
from typing import Any

import attrs
import cattrs

from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.exceptions import ImproperlyConfigured

PREFIX = 'TREFOILHINGE_'
Raw = str | int | float | bool | list[Any] | tuple[Any, ...]


@attrs.frozen
class SettingInForce:
    """One setting and where its value came from.

    :ivar source: ``flag``, ``environment`` or ``default``.
    """

    name: str
    value: object
    source: str


def load_settings(
    flags: Mapping[str, Raw],
    environment: Mapping[str, str] | None = None,
) -> Settings:
    """Return the settings in force: flags, then environment, then defaults.

    :param flags: values from the command line, by setting.
    :param environment: the environment; none takes the process's own.
    :raises ImproperlyConfigured: a setting is unknown, missing or ill-typed.
    """
    found = list_settings(flags, environment)
    return cattrs.structure(
        {one.name: one.value for one in found},
        Settings,
    )


def list_settings(
    flags: Mapping[str, Raw],
    environment: Mapping[str, str] | None = None,
) -> tuple[SettingInForce, ...]:
    """Return every setting with its source.

    :raises ImproperlyConfigured: a setting is unknown, missing or ill-typed.
    """
    present = os.environ if environment is None else environment
    properties = _load_properties()
    _refuse_unknown(flags, present, properties)
    return tuple(_find_setting(name, flags, present) for name in properties)


def _refuse_unknown(
    flags: Mapping[str, Raw],
    environment: Mapping[str, str],
    properties: Mapping[str, Any],
) -> None:
    for name in flags:
        if name not in properties:
            raise ImproperlyConfigured(
                f'--{name} is no setting; see trefoilhinge check-settings',
            )
    for variable in environment:
        name = variable.removeprefix(PREFIX).lower()
        if variable.startswith(PREFIX) and name not in properties:
            raise ImproperlyConfigured(
                f'{variable} is no setting; see trefoilhinge check-settings',
            )


def _find_setting(
    name: str,
    flags: Mapping[str, Raw],
    environment: Mapping[str, str],
) -> SettingInForce:
    variable = f'{PREFIX}{name.upper()}'
    if name in flags:
        value = _convert(name, flags[name], f'--{name}')
        return SettingInForce(name, value, 'flag')
    if variable in environment:
        value = _convert(name, environment[variable], variable)
        return SettingInForce(name, value, 'environment')
    schema = _load_properties()[name]
    if 'default' not in schema:
        raise ImproperlyConfigured(
            f'{name} is missing; give --{name}=... or set {variable}',
        )
    default = schema['default']
    if isinstance(default, list):
        default = tuple(default)
    return SettingInForce(name, default, 'default')


def _convert(name: str, raw: Raw, source: str) -> object:
    schema = _load_properties()[name]
    try:
        value = _CONVERTERS[schema['type']](raw)
    except (ValueError, TypeError):
        kind = schema['type']
        raise ImproperlyConfigured(
            f'{source} is {raw!r}; write a value of type {kind}',
        ) from None
    choices = schema.get('enum')
    if choices and value not in choices:
        raise ImproperlyConfigured(
            f'{source} is {raw!r}; write one of {", ".join(choices)}',
        )
    minimum = schema.get('minimum')
    if minimum is not None and value < minimum:
        raise ImproperlyConfigured(
            f'{source} is {raw!r}; write {minimum} or more',
        )
    return value


def _split(raw: Raw) -> tuple[str, ...]:
    if isinstance(raw, str):
        return tuple(part.strip() for part in raw.split(',') if part.strip())
    if isinstance(raw, list | tuple):
        return tuple(str(part) for part in raw)
    raise ValueError('not a list')


def _read_integer(raw: Raw) -> int:
    if isinstance(raw, bool) or not isinstance(raw, str | int):
        raise ValueError('not an integer')
    return int(raw)


def _read_number(raw: Raw) -> float:
    if isinstance(raw, bool) or not isinstance(raw, str | int | float):
        raise ValueError('not a number')
    return float(raw)


_CONVERTERS: Mapping[str, Any] = {
    'string': str,
    'integer': _read_integer,
    'number': _read_number,
    'array': _split,
}


@functools.cache
def _load_properties() -> Mapping[str, Any]:
    properties: Mapping[str, Any] = load_schema('settings')['properties']
    return properties
