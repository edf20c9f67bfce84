"""Converts the value of a flag or variable to the type of its setting."""

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
    """A value is invalid for its setting; the message says what to write."""


def convert_setting(raw: RawValue, schema: Schema) -> object:
    """Convert a value to the type in the schema of its setting.

    :param raw: text of a flag or variable, or a value set in code.
    :raises Unconvertible: the value has the wrong type or format or is out of
        range.
    """
    value = _PARSERS[schema['type']](raw)
    choices = schema.get('enum')
    if choices and value not in choices:
        raise Unconvertible(_suggest_choice(str(value), choices))
    if schema['type'] == 'array':
        value_format = schema['items'].get('format', '')
        for one in value:
            _check_format(one, value_format)
        return value
    _check_range(value, schema)
    # An empty string unsets a setting whose default is empty.
    if value or schema.get('default'):
        _check_format(value, schema.get('format', ''))
    return value


def mask_value(value: object, schema: Schema) -> object:
    """Return a value for display; secrets are masked."""
    return MASK if schema.get('secret') and value else value


def _suggest_choice(value: str, choices: Iterable[str]) -> str:
    known = list(choices)
    closest = difflib.get_close_matches(value.upper(), known, 1)
    closest = closest or difflib.get_close_matches(value, known, 1)
    if closest:
        return f'write {closest[0]}'
    return f'write one of {", ".join(known)}'


def _check_range(value: Any, schema: Schema) -> None:
    minimum = schema.get('minimum')
    maximum = schema.get('maximum')
    if minimum is not None and value < minimum:
        raise Unconvertible(f'write {minimum} or more')
    if maximum is not None and value > maximum:
        raise Unconvertible(f'write {maximum} or less')


def _check_format(value: Any, value_format: str) -> None:
    if value_format == 'address':
        address_error = find_address_error(value)
        if address_error:
            raise Unconvertible(
                f'{address_error}; write an IP address and a port, '
                'such as 10.0.1.7:8470',
            )
    if value_format == 'uri' and not _is_http_url(value):
        raise Unconvertible('write a URL such as http://10.0.0.2:8080/document')


def _is_http_url(value: str) -> bool:
    try:
        parts = urlsplit(value)
        # Reading the port raises ValueError if it is not a number.
        return parts.scheme in {'http', 'https'} and parts.port != 0
    except ValueError:
        return False


def _parse_string(raw: RawValue) -> str:
    if not isinstance(raw, str):
        raise Unconvertible('write a string')
    return raw


def _parse_integer(raw: RawValue) -> int:
    number = _parse_number(raw, 'write a whole number')
    if not number.is_integer():
        raise Unconvertible('write a whole number')
    return int(number)


def _parse_number(raw: RawValue, instruction: str = 'write a number') -> float:
    if isinstance(raw, bool) or not isinstance(raw, str | int | float):
        raise Unconvertible(instruction)
    try:
        number = float(raw)
    except (ValueError, OverflowError):
        raise Unconvertible(instruction) from None
    if not math.isfinite(number):
        raise Unconvertible(instruction)
    return number


def _parse_boolean(raw: RawValue) -> bool:
    if isinstance(raw, bool):
        return raw
    booleans = {'true': True, 'false': False}
    if not isinstance(raw, str) or raw.lower() not in booleans:
        raise Unconvertible('write true or false')
    return booleans[raw.lower()]


def _parse_list(raw: RawValue) -> tuple[str, ...]:
    if isinstance(raw, str):
        unbracketed = raw.strip().removeprefix('[').removesuffix(']')
        # Brackets also enclose the host of an IPv6 address.
        parts = raw.split(',') if ']' in unbracketed else unbracketed.split(',')
        return tuple(one.strip() for one in parts if one.strip())
    if isinstance(raw, list | tuple):
        return tuple(_parse_string(one) for one in raw)
    raise Unconvertible('write a comma-separated list')


_PARSERS: Mapping[str, Callable[[Any], Any]] = {
    'string': _parse_string,
    'integer': _parse_integer,
    'number': _parse_number,
    'boolean': _parse_boolean,
    'array': _parse_list,
}
