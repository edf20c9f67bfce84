"""Finds settings and fields that are on their way out.

A schema marks a property with ``"deprecated": true`` and says in ``$comment``
what to use in its place. It is read as before for at least one release, with
a warning, and removed only then.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

from trefoilhinge.conf.problems import ROOT, join_path
from trefoilhinge.conf.schemas import resolve_schema

Schema = Mapping[str, Any]


@frozen
class Deprecation:
    """A deprecated field that is in use.

    :ivar path: JSON path of the field.
    :ivar instead: what to use in its place.
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
    """Yield the deprecated fields that a valid value uses.

    :param value: JSON that its schema accepts.
    :param definitions: the ``$defs`` of the schema.
    """
    schema = resolve_schema(schema, definitions)
    if isinstance(value, dict):
        for name, inner in value.items():
            one = schema['properties'][name]
            place = join_path(path, name)
            if one.get('deprecated'):
                yield Deprecation(place, one['$comment'])
            yield from find_deprecations(inner, one, definitions, place)
    elif isinstance(value, list):
        for number, item in enumerate(value):
            place = join_path(path, number)
            inner_schema = schema['items']
            yield from find_deprecations(item, inner_schema, definitions, place)
