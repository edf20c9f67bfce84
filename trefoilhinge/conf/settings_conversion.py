"""Converts the text of a flag or variable to the type of its setting."""

import difflib
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import urlsplit

from trefoilhinge.conf.addresses import find_address_error

RawValue = str | int | float | bool | list[Any] | tuple[Any, ...]
Schema = Mapping[str, Any]
MASK = '********'


class Unconvertible(ValueError):
    """A value does not fit its setting; the text says what to write."""


def convert_setting(raw: RawValue, schema: Schema) -> object:
    """Return a value of the type that a setting's schema asks for.

    :param raw: text of a flag or variable, or a value given in code.
    :raises Unconvertible: it has the wrong type or lies out of range.
    """
    value = _PARSERS[schema['type']](raw)
    choices = schema.get('enum')
    if choices and value not in choices:
        raise Unconvertible(_suggest_choice(str(value), choices))
    if schema['type'] == 'array':
        form = schema['items'].get('format', '')
        for one in value:
            _check_format(one, form)
        return value
    _check_range(value, schema)
    # An empty text unsets a setting that may be unset.
    if value or schema.get('default'):
        _check_format(value, schema.get('format', ''))
    return value


def mask_value(value: object, schema: Schema) -> object:
    """Return a value as it may be shown; a secret one is masked."""
    return MASK if schema.get('secret') and value else value


def _suggest_choice(value: str, choices: Iterable[str]) -> str:
    known = list(choices)
    nearest = difflib.get_close_matches(value.upper(), known, 1)
    nearest = nearest or difflib.get_close_matches(value, known, 1)
    if nearest:
        return f'write {nearest[0]}'
    return f'write one of {", ".join(known)}'


def _check_range(value: Any, schema: Schema) -> None:
    least = schema.get('minimum')
    most = schema.get('maximum')
    if least is not None and value < least:
        raise Unconvertible(f'write {least} or more')
    if most is not None and value > most:
        raise Unconvertible(f'write {most} or less')


def _check_format(value: Any, form: str) -> None:
    if form == 'address':
        wrong = find_address_error(value)
        if wrong:
            raise Unconvertible(
                f'{wrong}; write an IP number and a port, '
                'such as 10.0.1.7:8470',
            )
    if form == 'uri' and not _is_http_url(value):
        raise Unconvertible('write a URL such as http://10.0.0.2:8080/document')


def _is_http_url(value: str) -> bool:
    try:
        parts = urlsplit(value)
        # Reading the port raises an error where it is no number.
        return parts.scheme in {'http', 'https'} and parts.port != 0
    except ValueError:
        return False


def _parse_string(raw: RawValue) -> str:
    if not isinstance(raw, str):
        raise Unconvertible('write a text')
    return raw


def _parse_integer(raw: RawValue) -> int:
    number = _parse_number(raw, 'write a whole number')
    if not number.is_integer():
        raise Unconvertible('write a whole number')
    return int(number)


def _parse_number(raw: RawValue, instead: str = 'write a number') -> float:
    if isinstance(raw, bool) or not isinstance(raw, str | int | float):
        raise Unconvertible(instead)
    try:
        number = float(raw)
    except (ValueError, OverflowError):
        raise Unconvertible(instead) from None
    if not math.isfinite(number):
        raise Unconvertible(instead)
    return number


def _parse_boolean(raw: RawValue) -> bool:
    if isinstance(raw, bool):
        return raw
    words = {'true': True, 'false': False}
    if not isinstance(raw, str) or raw.lower() not in words:
        raise Unconvertible('write true or false')
    return words[raw.lower()]


def _parse_list(raw: RawValue) -> tuple[str, ...]:
    if isinstance(raw, str):
        bare = raw.strip().removeprefix('[').removesuffix(']')
        # Brackets also begin an address of version 6.
        parts = raw.split(',') if ']' in bare else bare.split(',')
        return tuple(one.strip() for one in parts if one.strip())
    if isinstance(raw, list | tuple):
        return tuple(_parse_string(one) for one in raw)
    raise Unconvertible('write a list, separated by commas')


_PARSERS: Mapping[str, Callable[[Any], Any]] = {
    'string': _parse_string,
    'integer': _parse_integer,
    'number': _parse_number,
    'boolean': _parse_boolean,
    'array': _parse_list,
}
