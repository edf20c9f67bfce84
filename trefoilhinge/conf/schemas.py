"""Looks up parts of a JSON Schema."""

from collections.abc import Iterable, Mapping
from typing import Any

Schema = Mapping[str, Any]


def resolve_schema(schema: Schema, definitions: Schema) -> Schema:
    """Resolve the ``$ref`` of a property's schema.

    Keywords of the property itself, such as its description, override those of
    the definition. Of ``anyOf``, the first alternative describes the value.

    :param definitions: ``$defs`` of the whole schema.
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
    """Return the schema of a value in a document.

    :param root: the whole schema.
    :param steps: member names and item indices that lead to the value from
        the root.
    :raises KeyError: the schema has no such value.
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
