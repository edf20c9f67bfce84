"""Reads settings from flags and the environment.

Flags go before variables, and variables before defaults. The defaults stand
in one place, ``settings.schema.json``, from which the class ``Settings`` is
generated. There is no global settings object: several instances may run in
one process, each with settings of its own, so they are handed on.
"""

import difflib
import functools
import os
from collections.abc import Iterator, Mapping
from typing import Any

import cattrs
from attrs import frozen

from trefoilhinge.conf.settings_conversion import (
    RawValue,
    Unconvertible,
    convert_setting,
    mask_value,
)
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.exceptions import ImproperlyConfigured

ENVIRONMENT_PREFIX = 'TREFOILHINGE_'


@frozen
class EffectiveSetting:
    """One setting and where its value came from.

    :ivar source: ``flag``, ``environment`` or ``default``.
    :ivar shown: the value as it may be printed; secrets are masked.
    """

    name: str
    value: object
    source: str
    display_value: object


@frozen
class _RawSetting:
    """A value given for a setting, before it is converted."""

    raw_value: RawValue
    source: str
    label: str


def load_settings(
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str] | None = None,
) -> Settings:
    """Return the settings in force: flags, then environment, then defaults.

    :param flags: values from the command line, by setting.
    :param environment: the environment; none takes the process's own.
    :raises ImproperlyConfigured: a setting is unknown, missing or ill-typed.
    """
    return structure_settings(list_settings(flags, environment))


def structure_settings(found: tuple[EffectiveSetting, ...]) -> Settings:
    """Return listed settings as one object."""
    return cattrs.structure({one.name: one.value for one in found}, Settings)


def list_settings(
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str] | None = None,
) -> tuple[EffectiveSetting, ...]:
    """Return every setting with its source.

    :raises ImproperlyConfigured: settings are unknown, missing or ill-typed;
        the message names all of them.
    """
    present = os.environ if environment is None else environment
    wrong = list(_find_unknown(flags, present))
    found = []
    for name, schema in load_properties().items():
        try:
            found.append(_find_setting(name, schema, flags, present))
        except Unconvertible as error:
            wrong.append(str(error))
    if wrong:
        raise ImproperlyConfigured('\n'.join(wrong))
    return tuple(found)


@functools.cache
def load_properties() -> Mapping[str, Any]:
    """Return the schema of each setting, by its name."""
    properties: Mapping[str, Any] = load_schema('settings')['properties']
    return properties


def _find_unknown(
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str],
) -> Iterator[str]:
    known = load_properties()
    given = [(f'--{name}', name) for name in flags]
    given.extend(
        (variable, variable.removeprefix(ENVIRONMENT_PREFIX).lower())
        for variable in environment
        if variable.startswith(ENVIRONMENT_PREFIX)
    )
    for label, name in given:
        if name not in known:
            nearest = difflib.get_close_matches(name, known, 1)
            hint = 'see trefoilhinge check-settings --help'
            if nearest:
                hint = f'did you mean {nearest[0]}?'
            yield f'{label} is no setting; {hint}'


def _find_setting(
    name: str,
    schema: Mapping[str, Any],
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str],
) -> EffectiveSetting:
    given = _find_raw_setting(name, flags, environment)
    if given is None:
        value = _find_default(name, schema)
        return EffectiveSetting(
            name, value, 'default', mask_value(value, schema)
        )
    try:
        value = convert_setting(given.raw_value, schema)
    except Unconvertible as error:
        shown = mask_value(given.raw_value, schema)
        message = f'{given.label} is {shown!r}; {error}'
        raise Unconvertible(message) from None
    return EffectiveSetting(
        name, value, given.source, mask_value(value, schema)
    )


def _find_raw_setting(
    name: str,
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str],
) -> _RawSetting | None:
    variable = f'{ENVIRONMENT_PREFIX}{name.upper()}'
    if name in flags:
        return _RawSetting(flags[name], 'flag', f'--{name}')
    if variable in environment:
        return _RawSetting(environment[variable], 'environment', variable)
    return None


def _find_default(name: str, schema: Mapping[str, Any]) -> object:
    if 'default' not in schema:
        variable = f'{ENVIRONMENT_PREFIX}{name.upper()}'
        raise Unconvertible(
            f'{name} is missing; give --{name}=... or set {variable}',
        )
    default = schema['default']
    return tuple(default) if isinstance(default, list) else default
