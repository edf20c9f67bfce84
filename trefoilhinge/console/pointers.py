"""Pointers to values of a document, and the schemas of these values.

The text form is that of a JSON Pointer without its leading slash and escapes.
"""

from collections.abc import Mapping
from typing import Any

from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.schemas import find_schema, resolve_schema
from trefoilhinge.console.exceptions import FormRefused

Segment = str | int
Pointer = tuple[Segment, ...]


def parse_pointer(text: str) -> Pointer:
    """Parse a pointer in its text form, such as ``services/0/name``."""
    return tuple(
        int(part) if part.isascii() and part.isdecimal() else part
        for part in text.split('/')
        if part
    )


def format_pointer(pointer: Pointer) -> str:
    """Return the text form of a pointer."""
    return '/'.join(str(segment) for segment in pointer)


def find_pointer_schema(pointer: Pointer) -> Mapping[str, Any]:
    """Return the schema of the value that a pointer refers to.

    :raises FormRefused: the schema has no such value.
    """
    try:
        return find_schema(load_schema('document'), pointer)
    except (KeyError, TypeError):
        raise make_pointer_refusal(pointer) from None


def is_removable(pointer: Pointer, schema: Mapping[str, Any]) -> bool:
    """Return whether a value is an item of a list or an optional object."""
    is_item = bool(pointer) and isinstance(pointer[-1], int)
    return is_item or 'anyOf' in schema


def is_object_list(schema: Mapping[str, Any]) -> bool:
    """Return whether a value is a list of objects."""
    return schema['type'] == 'array' and not is_scalar_list(schema)


def is_scalar_list(schema: Mapping[str, Any]) -> bool:
    """Return whether a list has scalar items, shown one per line of text."""
    item_schema = resolve_schema(
        schema['items'], load_schema('document')['$defs']
    )
    return bool(item_schema['type'] != 'object')


def matches_structure(value: Any, schema: Mapping[str, Any]) -> bool:
    """Return whether a value has objects and lists where its schema does."""
    if value is None and 'anyOf' in schema:
        return True
    schema = resolve_schema(schema, load_schema('document')['$defs'])
    json_type = schema['type']
    if json_type == 'object':
        return isinstance(value, dict) and all(
            name in schema['properties']
            and matches_structure(inner, schema['properties'][name])
            for name, inner in value.items()
        )
    if json_type == 'array':
        return isinstance(value, list) and all(
            matches_structure(item, schema['items']) for item in value
        )
    return not isinstance(value, dict | list)


def make_empty_value(schema: Mapping[str, Any]) -> Any:
    """Return an empty value of a schema; objects get their required fields."""
    definitions = load_schema('document')['$defs']
    schema = resolve_schema(schema, definitions)
    json_type = schema['type']
    if json_type == 'object':
        return {
            name: make_empty_value(schema['properties'][name])
            for name in schema['required']
        }
    if json_type == 'array':
        return []
    if json_type == 'boolean':
        return False
    return schema['enum'][0] if 'enum' in schema else ''


def make_pointer_refusal(pointer: Pointer) -> FormRefused:
    """Return the refusal for a pointer to no value that can be changed."""
    return FormRefused(
        '400 Bad Request',
        f'The document has no value to change at {format_pointer(pointer)!r}.',
    )
