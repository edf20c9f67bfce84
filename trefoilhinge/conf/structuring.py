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
MAXIMUM_SAFE_INTEGER = 9007199254740991

Reader = Callable[[Any], Any]
Schema = Mapping[str, Any]

STRUCTURE_ERRORS = (
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    cattrs.errors.ForbiddenExtraKeysError,
)


def make_strict_reader(schema: Schema, classes: types.ModuleType) -> Reader:
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
        self._built: dict[str, Reader] = {}
        self._converter = cattrs.Converter(detailed_validation=False)

    def build_object(self, name: str, schema: Schema) -> Reader:
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

    def build(self, schema: Schema, field: str) -> Reader:
        if '$ref' in schema:
            return self._build_definition(schema['$ref'], field)
        if 'anyOf' in schema:
            return _make_optional_reader(self.build(schema['anyOf'][0], field))
        kind = schema['type']
        if kind == 'array':
            return _make_list_reader(
                schema, field, self.build(schema['items'], field)
            )
        return _SCALAR_READERS[kind](schema, field)

    def _build_definition(self, reference: str, field: str) -> Reader:
        name = reference.rpartition('/')[2]
        schema = self._definitions[name]
        if schema['type'] != 'object':
            return self.build(schema, field)
        if name not in self._built:
            self._built[name] = self.build_object(name, schema)
        return self._built[name]


def _ignore_type(read: Reader) -> Callable[[Any, Any], Any]:
    return lambda value, _: read(value)


def _make_optional_reader(read: Reader) -> Reader:
    return lambda value: None if value is None else read(value)


def _make_list_reader(schema: Schema, field: str, read: Reader) -> Reader:
    least = schema.get('minItems', 0)
    most = schema.get('maxItems', math.inf)

    def read_items(value: Any) -> Any:
        if not isinstance(value, list):
            raise ValueError(f'{field} is not a list')
        if not least <= len(value) <= most:
            raise ValueError(f'{field} has {len(value)} items')
        return tuple([read(one) for one in value])

    return read_items


def _make_string_reader(schema: Schema, field: str) -> Reader:
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


def _make_integer_reader(schema: Schema, field: str) -> Reader:
    least = schema.get('minimum', -MAXIMUM_SAFE_INTEGER)
    most = schema.get('maximum', MAXIMUM_SAFE_INTEGER)

    def read(value: Any) -> Any:
        if type(value) is not int:  # noqa: WPS516
            raise ValueError(f'{field} is not a whole number')
        if not least <= value <= most:
            raise ValueError(f'{field} is out of range')
        return value

    return read


def _make_number_reader(schema: Schema, field: str) -> Reader:
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


def _make_boolean_reader(schema: Schema, field: str) -> Reader:
    def read(value: Any) -> Any:
        if not isinstance(value, bool):
            raise ValueError(f'{field} is neither true nor false')
        return value

    return read


_SCALAR_READERS: Mapping[str, Callable[[Schema, str], Reader]] = {
    'boolean': _make_boolean_reader,
    'integer': _make_integer_reader,
    'number': _make_number_reader,
    'string': _make_string_reader,
}
