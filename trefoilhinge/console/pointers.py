"""Places in a document, and what its schema allows there."""

from collections.abc import Mapping
from typing import Any

from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.schemas import find_schema, resolve_schema
from trefoilhinge.console.exceptions import FormRefused

Step = str | int
Steps = tuple[Step, ...]


def parse_steps(text: str) -> Steps:
    """Return the steps of a place written as ``services/0/name``."""
    return tuple(
        int(part) if part.isascii() and part.isdecimal() else part
        for part in text.split('/')
        if part
    )


def join_steps(steps: Steps) -> str:
    """Return a place as text."""
    return '/'.join(str(step) for step in steps)


def find_place(steps: Steps) -> Mapping[str, Any]:
    """Return the schema of a place.

    :raises FormRefused: no document has such a place.
    """
    try:
        return find_schema(load_schema('document'), steps)
    except (KeyError, TypeError):
        raise refuse_place(steps) from None


def is_removable(steps: Steps, schema: Mapping[str, Any]) -> bool:
    """Return whether a place is an item of a list or may be absent."""
    item = bool(steps) and isinstance(steps[-1], int)
    return item or 'anyOf' in schema


def is_item_list(schema: Mapping[str, Any]) -> bool:
    """Return whether a place is a list of objects."""
    return schema['type'] == 'array' and not is_lines(schema)


def is_lines(schema: Mapping[str, Any]) -> bool:
    """Return whether a list is shown as lines of text, one an item."""
    items = resolve_schema(schema['items'], load_schema('document')['$defs'])
    return bool(items['type'] != 'object')


def has_shape(value: Any, schema: Mapping[str, Any]) -> bool:
    """Return whether a value has objects and lists where its schema has."""
    if value is None and 'anyOf' in schema:
        return True
    schema = resolve_schema(schema, load_schema('document')['$defs'])
    kind = schema['type']
    if kind == 'object':
        return isinstance(value, dict) and all(
            name in schema['properties']
            and has_shape(inner, schema['properties'][name])
            for name, inner in value.items()
        )
    if kind == 'array':
        return isinstance(value, list) and all(
            has_shape(item, schema['items']) for item in value
        )
    return not isinstance(value, dict | list)


def make_blank(schema: Mapping[str, Any]) -> Any:
    """Return a value with every required field and nothing in it."""
    definitions = load_schema('document')['$defs']
    schema = resolve_schema(schema, definitions)
    kind = schema['type']
    if kind == 'object':
        return {
            name: make_blank(schema['properties'][name])
            for name in schema['required']
        }
    if kind == 'array':
        return []
    if kind == 'boolean':
        return False
    return schema['enum'][0] if 'enum' in schema else ''


def refuse_place(steps: Steps) -> FormRefused:
    """Return the refusal of a form that names a place in vain."""
    return FormRefused(
        '400 Bad Request',
        f'The document has nothing to change at {join_steps(steps)!r}.',
    )
