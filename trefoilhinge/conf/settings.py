"""Reads settings from flags and the environment.

Flags take precedence over environment variables, and these over defaults.
The defaults are defined in ``settings.schema.json`` alone, from which the
class ``Settings`` is generated. There is no global settings object: several
instances may run in one process with different settings, so settings are
passed explicitly.
"""

import difflib
import functools
import os
from collections.abc import Iterator, Mapping
from typing import Any

import cattrs
from attrs import frozen

from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.settings_conversion import (
    RawValue,
    Unconvertible,
    convert_setting,
    mask_value,
)
from trefoilhinge.exceptions import ImproperlyConfigured

ENVIRONMENT_PREFIX = 'TREFOILHINGE_'


@frozen
class EffectiveSetting:
    """Effective value of one setting and its source.

    :ivar source: ``flag``, ``environment`` or ``default``.
    :ivar display_value: value to print; secrets are masked.
    """

    name: str
    value: object
    source: str
    display_value: object


@frozen
class _RawSetting:
    """Unconverted value of a setting.

    :ivar label: the flag or variable, for messages.
    """

    raw_value: RawValue
    source: str
    label: str


def load_settings(
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str] | None = None,
) -> Settings:
    """Return the effective settings.

    :param flags: values from the command line, by name of the setting.
    :param environment: environment variables; defaults to ``os.environ``.
    :raises ImproperlyConfigured: a setting is unknown, missing or invalid.
    """
    return structure_settings(list_settings(flags, environment))


def structure_settings(settings: tuple[EffectiveSetting, ...]) -> Settings:
    """Return a list of settings as one object."""
    return cattrs.structure({one.name: one.value for one in settings}, Settings)


def list_settings(
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str] | None = None,
) -> tuple[EffectiveSetting, ...]:
    """Return every setting with its effective value and source.

    :raises ImproperlyConfigured: settings are unknown, missing or invalid;
        the message names all of them.
    """
    variables = os.environ if environment is None else environment
    errors = list(_find_unknown(flags, variables))
    settings = []
    for name, schema in load_properties().items():
        try:
            settings.append(_find_setting(name, schema, flags, variables))
        except Unconvertible as error:
            errors.append(str(error))
    if errors:
        raise ImproperlyConfigured('\n'.join(errors))
    return tuple(settings)


@functools.cache
def load_properties() -> Mapping[str, Any]:
    """Return the schema of each setting, by name."""
    properties: Mapping[str, Any] = load_schema('settings')['properties']
    return properties


def _find_unknown(
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str],
) -> Iterator[str]:
    known = load_properties()
    labelled_names = [(f'--{name}', name) for name in flags]
    labelled_names.extend(
        (variable, variable.removeprefix(ENVIRONMENT_PREFIX).lower())
        for variable in environment
        if variable.startswith(ENVIRONMENT_PREFIX)
    )
    for label, name in labelled_names:
        if name not in known:
            closest = difflib.get_close_matches(name, known, 1)
            hint = 'see trefoilhinge check-settings --help'
            if closest:
                hint = f'did you mean {closest[0]}?'
            yield f'{label} is not a setting; {hint}'


def _find_setting(
    name: str,
    schema: Mapping[str, Any],
    flags: Mapping[str, RawValue],
    environment: Mapping[str, str],
) -> EffectiveSetting:
    raw_setting = _find_raw_setting(name, flags, environment)
    if raw_setting is None:
        value = _find_default(name, schema)
        return EffectiveSetting(
            name, value, 'default', mask_value(value, schema)
        )
    try:
        value = convert_setting(raw_setting.raw_value, schema)
    except Unconvertible as error:
        display_value = mask_value(raw_setting.raw_value, schema)
        message = f'{raw_setting.label} is {display_value!r}; {error}'
        raise Unconvertible(message) from None
    return EffectiveSetting(
        name, value, raw_setting.source, mask_value(value, schema)
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
            f'{name} is missing; pass --{name}=... or set {variable}',
        )
    default = schema['default']
    return tuple(default) if isinstance(default, list) else default
