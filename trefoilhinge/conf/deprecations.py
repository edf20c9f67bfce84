"""Finds deprecated fields that a document uses.

A schema marks a property with ``"deprecated": true`` and names the replacement
in ``$comment``. The property stays supported for at least one release, with a
warning, before it is removed.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

from trefoilhinge.conf.problems import ROOT, join_path
from trefoilhinge.conf.schemas import resolve_schema

Schema = Mapping[str, Any]


@frozen
class Deprecation:
    """Deprecated field that is in use.

    :ivar path: JSON path of the field.
    :ivar replacement: what to use instead.
    """

    path: str
    replacement: str

    def __str__(self) -> str:
        """Return the deprecation as one line."""
        return f'{self.path}: this field is deprecated; {self.replacement}'


def find_deprecations(
    value: Any,
    schema: Schema,
    definitions: Schema,
    path: str = ROOT,
) -> Iterator[Deprecation]:
    """Yield the deprecated fields that a valid JSON value uses.

    :param value: parsed JSON that is valid for the schema.
    :param definitions: ``$defs`` of the whole schema.
    """
    schema = resolve_schema(schema, definitions)
    if isinstance(value, dict):
        for name, inner in value.items():
            one = schema['properties'][name]
            inner_path = join_path(path, name)
            if one.get('deprecated'):
                yield Deprecation(inner_path, one['$comment'])
            yield from find_deprecations(inner, one, definitions, inner_path)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            inner_path = join_path(path, index)
            inner_schema = schema['items']
            yield from find_deprecations(
                item, inner_schema, definitions, inner_path
            )
