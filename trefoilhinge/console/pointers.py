"""Places in a document, and what its schema allows there."""

from collections.abc import Mapping
from typing import Any

from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.schemas import find_schema, resolve_schema
from trefoilhinge.console.exceptions import FormRefused

Segment = str | int
Pointer = tuple[Segment, ...]


def parse_pointer(text: str) -> Pointer:
    """Return the steps of a place written as ``services/0/name``."""
    return tuple(
        int(part) if part.isascii() and part.isdecimal() else part
        for part in text.split('/')
        if part
    )


def format_pointer(pointer: Pointer) -> str:
    """Return a place as text."""
    return '/'.join(str(segment) for segment in pointer)


def find_pointer_schema(pointer: Pointer) -> Mapping[str, Any]:
    """Return the schema of a place.

    :raises FormRefused: no document has such a place.
    """
    try:
        return find_schema(load_schema('document'), pointer)
    except (KeyError, TypeError):
        raise make_pointer_refusal(pointer) from None


def is_removable(pointer: Pointer, schema: Mapping[str, Any]) -> bool:
    """Return whether a place is an item of a list or may be absent."""
    item = bool(pointer) and isinstance(pointer[-1], int)
    return item or 'anyOf' in schema


def is_object_list(schema: Mapping[str, Any]) -> bool:
    """Return whether a place is a list of objects."""
    return schema['type'] == 'array' and not is_scalar_list(schema)


def is_scalar_list(schema: Mapping[str, Any]) -> bool:
    """Return whether a list is shown as lines of text, one an item."""
    items = resolve_schema(schema['items'], load_schema('document')['$defs'])
    return bool(items['type'] != 'object')


def matches_structure(value: Any, schema: Mapping[str, Any]) -> bool:
    """Return whether a value has objects and lists where its schema has."""
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
    """Return a value with every required field and nothing in it."""
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
    """Return the refusal of a form that names a place in vain."""
    return FormRefused(
        '400 Bad Request',
        f'The document has nothing to change at {format_pointer(pointer)!r}.',
    )
