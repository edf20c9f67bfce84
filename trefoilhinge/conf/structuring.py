"""Structures parsed JSON into generated classes, strictly and fast.

A decoder is built once per schema and composed of one function per field,
which checks the field's type and bounds. No value is coerced to another type,
except that an integer is accepted where the schema has a number.
"""

import math
import sys
import types
from collections.abc import Callable, Mapping
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, override

from trefoilhinge.conf.violations import compile_pattern

# Larger integers lose precision in JSON parsers that use doubles.
MAXIMUM_SAFE_INTEGER = 9007199254740991

Decoder = Callable[[Any], Any]
Schema = Mapping[str, Any]

STRUCTURE_ERRORS = (
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    cattrs.errors.ForbiddenExtraKeysError,
)


def make_strict_decoder(schema: Schema, classes: types.ModuleType) -> Decoder:
    """Return a function that validates and structures a value.

    The function raises one of ``STRUCTURE_ERRORS`` if the value violates the
    schema.

    :param schema: schema whose title names the class of the value.
    :param classes: module generated from the schema.
    """
    builder = _DecoderBuilder(schema.get('$defs', {}), classes)
    return builder.build_object(schema['title'], schema)


class _DecoderBuilder:
    def __init__(self, definitions: Schema, classes: types.ModuleType) -> None:
        self._definitions = definitions
        self._classes = classes
        self._built: dict[str, Decoder] = {}
        self._converter = cattrs.Converter(detailed_validation=False)

    def build_object(self, name: str, schema: Schema) -> Decoder:
        value_class = getattr(self._classes, name)
        overrides: dict[str, Any] = {
            field: override(struct_hook=_ignore_type(self.build(one, field)))
            for field, one in schema['properties'].items()
        }
        structure: Any = make_dict_structure_fn(
            value_class,
            self._converter,
            _cattrs_forbid_extra_keys=not schema['additionalProperties'],
            _cattrs_detailed_validation=False,
            **overrides,
        )

        def decode(value: Any) -> Any:
            if not isinstance(value, dict):
                raise ValueError(f'{name} is not an object')
            return structure(value, value_class)

        return decode

    def build(self, schema: Schema, field: str) -> Decoder:
        if '$ref' in schema:
            return self._build_definition(schema['$ref'], field)
        if 'anyOf' in schema:
            return _make_optional_decoder(self.build(schema['anyOf'][0], field))
        kind = schema['type']
        if kind == 'array':
            return _make_list_decoder(
                schema, field, self.build(schema['items'], field)
            )
        return _SCALAR_DECODERS[kind](schema, field)

    def _build_definition(self, reference: str, field: str) -> Decoder:
        name = reference.rpartition('/')[2]
        schema = self._definitions[name]
        if schema['type'] != 'object':
            return self.build(schema, field)
        if name not in self._built:
            self._built[name] = self.build_object(name, schema)
        return self._built[name]


def _ignore_type(decode: Decoder) -> Callable[[Any, Any], Any]:
    return lambda value, _: decode(value)


def _make_optional_decoder(decode: Decoder) -> Decoder:
    return lambda value: None if value is None else decode(value)


def _make_list_decoder(schema: Schema, field: str, decode: Decoder) -> Decoder:
    minimum = schema.get('minItems', 0)
    maximum = schema.get('maxItems', math.inf)

    def decode_items(value: Any) -> Any:
        if not isinstance(value, list):
            raise ValueError(f'{field} is not a list')
        if not minimum <= len(value) <= maximum:
            raise ValueError(
                f'{field} has {len(value)} items, not {minimum} to {maximum}',
            )
        return tuple([decode(one) for one in value])

    return decode_items


def _make_string_decoder(schema: Schema, field: str) -> Decoder:
    maximum = schema.get('maxLength', math.inf)
    choices = schema.get('enum')
    pattern = schema.get('pattern')
    search = compile_pattern(pattern).search if pattern else None

    def decode(value: Any) -> Any:
        if not isinstance(value, str) or len(value) > maximum:
            raise ValueError(f'{field} is not a string or is too long')
        if choices and value not in choices:
            raise ValueError(f'{field} is not one of its choices')
        if search and not search(value):
            raise ValueError(f'{field} does not match its pattern')
        return value

    return decode


def _make_integer_decoder(schema: Schema, field: str) -> Decoder:
    minimum = schema.get('minimum', -MAXIMUM_SAFE_INTEGER)
    maximum = schema.get('maximum', MAXIMUM_SAFE_INTEGER)

    def decode(value: Any) -> Any:
        if type(value) is not int:  # noqa: WPS516
            raise ValueError(f'{field} is not a whole number')
        if not minimum <= value <= maximum:
            raise ValueError(
                f'{field} is out of range {minimum} to {maximum}',
            )
        return value

    return decode


def _make_number_decoder(schema: Schema, field: str) -> Decoder:
    # Finite default bounds reject infinities; comparisons with NaN fail.
    minimum = schema.get('minimum', -sys.float_info.max)
    maximum = schema.get('maximum', sys.float_info.max)
    exclusive_minimum = schema.get('exclusiveMinimum', -math.inf)

    def decode(value: Any) -> Any:
        if type(value) not in {int, float}:  # noqa: WPS516
            raise ValueError(f'{field} is not a number')
        number = float(value)
        if not minimum <= number <= maximum or number <= exclusive_minimum:
            raise ValueError(
                f'{field} is out of range {minimum} to {maximum}',
            )
        return number

    return decode


def _make_boolean_decoder(schema: Schema, field: str) -> Decoder:
    def decode(value: Any) -> Any:
        if not isinstance(value, bool):
            raise ValueError(f'{field} is not true or false')
        return value

    return decode


_SCALAR_DECODERS: Mapping[str, Callable[[Schema, str], Decoder]] = {
    'boolean': _make_boolean_decoder,
    'integer': _make_integer_decoder,
    'number': _make_number_decoder,
    'string': _make_string_decoder,
}
