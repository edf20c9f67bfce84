"""Finds one's way in a JSON Schema."""

from collections.abc import Iterable, Mapping
from typing import Any

Schema = Mapping[str, Any]


def resolve_schema(schema: Schema, definitions: Schema) -> Schema:
    """Return a property's schema, following its reference.

    What the property itself says, such as its description, goes before what
    the definition says. The first choice of ``anyOf`` is the value.

    :param definitions: the ``$defs`` of the whole schema.
    """
    if 'anyOf' in schema:
        schema = {**schema['anyOf'][0], **schema}
    if '$ref' in schema:
        definition = definitions[schema['$ref'].rpartition('/')[2]]
        return {**definition, **schema}
    return schema


def find_schema(
    root: Schema,
    steps: Iterable[str | int],
) -> Schema:
    """Return the schema of a place in a document.

    :param root: the whole schema.
    :param steps: names of members and numbers of items, from the top.
    :raises KeyError: there is no such place.
    """
    definitions = root['$defs']
    schema = root
    for step in steps:
        inner = 'items' if isinstance(step, int) else 'properties'
        schema = schema[inner]
        if isinstance(step, str):
            schema = schema[step]
        schema = resolve_schema(schema, definitions)
    return schema
