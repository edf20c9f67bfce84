"""Structures JSON into generated classes, strictly and fast.

A converter is built once from a schema: each field is read by a function
that knows the field's type and bounds. Nothing is converted on the way but a
whole number where the schema has any number.
"""

import math
import sys
import types
from collections.abc import Callable, Mapping
from typing import Any

import cattrs
from cattrs.gen import make_dict_structure_fn, override

from trefoilhinge.conf.violations import compile_pattern

# Whole numbers beyond this lose digits in other readers of JSON.
MAXIMUM_INTEGER = 9007199254740991

Read = Callable[[Any], Any]
Schema = Mapping[str, Any]

REFUSALS = (
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    cattrs.errors.ForbiddenExtraKeysError,
)


def make_strict_reader(schema: Schema, classes: types.ModuleType) -> Read:
    """Return a function that structures one value of a schema.

    It raises one of ``REFUSALS`` where the value breaks the schema.

    :param schema: schema whose title names the class of the whole value.
    :param classes: module generated from that schema.
    """
    builder = _ReaderBuilder(schema.get('$defs', {}), classes)
    return builder.build_object(schema['title'], schema)


class _ReaderBuilder:
    def __init__(self, definitions: Schema, classes: types.ModuleType) -> None:
        self._definitions = definitions
        self._classes = classes
        self._built: dict[str, Read] = {}
        self._converter = cattrs.Converter(detailed_validation=False)

    def build_object(self, name: str, schema: Schema) -> Read:
        kind = getattr(self._classes, name)
        overrides: dict[str, Any] = {
            field: override(struct_hook=_ignore_type(self.build(one, field)))
            for field, one in schema['properties'].items()
        }
        structure: Any = make_dict_structure_fn(
            kind,
            self._converter,
            _cattrs_forbid_extra_keys=not schema['additionalProperties'],
            _cattrs_detailed_validation=False,
            **overrides,
        )

        def read(value: Any) -> Any:
            if not isinstance(value, dict):
                raise ValueError(f'{name} is not an object')
            return structure(value, kind)

        return read

    def build(self, schema: Schema, field: str) -> Read:
        if '$ref' in schema:
            return self._build_definition(schema['$ref'], field)
        if 'anyOf' in schema:
            return _read_optional(self.build(schema['anyOf'][0], field))
        kind = schema['type']
        if kind == 'array':
            return _read_list(schema, field, self.build(schema['items'], field))
        return _SCALARS[kind](schema, field)

    def _build_definition(self, reference: str, field: str) -> Read:
        name = reference.rpartition('/')[2]
        schema = self._definitions[name]
        if schema['type'] != 'object':
            return self.build(schema, field)
        if name not in self._built:
            self._built[name] = self.build_object(name, schema)
        return self._built[name]


def _ignore_type(read: Read) -> Callable[[Any, Any], Any]:
    return lambda value, _: read(value)


def _read_optional(read: Read) -> Read:
    return lambda value: None if value is None else read(value)


def _read_list(schema: Schema, field: str, read: Read) -> Read:
    least = schema.get('minItems', 0)
    most = schema.get('maxItems', math.inf)

    def read_items(value: Any) -> Any:
        if not isinstance(value, list):
            raise ValueError(f'{field} is not a list')
        if not least <= len(value) <= most:
            raise ValueError(f'{field} has {len(value)} items')
        return tuple([read(one) for one in value])

    return read_items


def _read_text(schema: Schema, field: str) -> Read:
    most = schema.get('maxLength', math.inf)
    choices = schema.get('enum')
    pattern = schema.get('pattern')
    search = compile_pattern(pattern).search if pattern else None

    def read(value: Any) -> Any:
        if not isinstance(value, str) or len(value) > most:
            raise ValueError(f'{field} is not a text of its length')
        if choices and value not in choices:
            raise ValueError(f'{field} is none of its choices')
        if search and not search(value):
            raise ValueError(f'{field} has not its form')
        return value

    return read


def _read_integer(schema: Schema, field: str) -> Read:
    least = schema.get('minimum', -MAXIMUM_INTEGER)
    most = schema.get('maximum', MAXIMUM_INTEGER)

    def read(value: Any) -> Any:
        if type(value) is not int:  # noqa: WPS516
            raise ValueError(f'{field} is not a whole number')
        if not least <= value <= most:
            raise ValueError(f'{field} is out of range')
        return value

    return read


def _read_number(schema: Schema, field: str) -> Read:
    # A number that is not finite lies outside of every range.
    least = schema.get('minimum', -sys.float_info.max)
    most = schema.get('maximum', sys.float_info.max)
    above = schema.get('exclusiveMinimum', -math.inf)

    def read(value: Any) -> Any:
        if type(value) not in {int, float}:  # noqa: WPS516
            raise ValueError(f'{field} is not a number')
        number = float(value)
        if not least <= number <= most or number <= above:
            raise ValueError(f'{field} is out of range')
        return number

    return read


def _read_boolean(schema: Schema, field: str) -> Read:
    def read(value: Any) -> Any:
        if not isinstance(value, bool):
            raise ValueError(f'{field} is neither true nor false')
        return value

    return read


_SCALARS: Mapping[str, Callable[[Schema, str], Read]] = {
    'boolean': _read_boolean,
    'integer': _read_integer,
    'number': _read_number,
    'string': _read_text,
}
