"""The document that travels in a form, and the changes that forms make.

A draft may be invalid at any moment, but it always has the shape of the
schema: objects, lists and known names stand where the schema has them. Only
scalars may be wrong, so that a form can show them beside their problem.
"""

import json
import re
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define
from expression import Result

from trefoilhinge.conf.document import (
    MAXIMUM_DOCUMENT_BYTES,
    structure_document,
)
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.json_text import parse_json
from trefoilhinge.conf.problems import Problems
from trefoilhinge.conf.schemas import find_schema, resolve_schema
from trefoilhinge.console.exceptions import FormRefused
from trefoilhinge.console.pointers import (
    Steps,
    find_place,
    has_shape,
    is_item_list,
    is_lines,
    is_removable,
    join_steps,
    make_blank,
    refuse_place,
)

# Reads the text that a form sent for a field; none if it sent none.
FindText = Callable[[str], str | None]

_BAD_REQUEST = '400 Bad Request'
_WHOLE_NUMBER = re.compile(r'-?[0-9]{1,16}\Z')
_NUMBER = re.compile(r'-?[0-9]{1,20}(\.[0-9]{1,20})?(e[+-]?[0-9]{1,2})?\Z')


@define
class Draft:
    """A document that is being edited.

    :ivar fields: the document as JSON.
    :ivar loaded: text of the document that editing began with, empty if none.
    """

    fields: dict[str, Any]
    loaded: str = ''

    @property
    def text(self) -> str:
        """Return the draft as compact JSON, as it travels in a form."""
        return json.dumps(self.fields, separators=(',', ':'))

    @property
    def next_revision(self) -> int:
        """Return the revision of the document that is handed out."""
        revision = self.fields.get('revision')
        return revision + 1 if type(revision) is int else 1  # noqa: WPS516

    @property
    def next_fields(self) -> dict[str, Any]:
        """Return the document that is handed out, as JSON."""
        return {**self.fields, 'revision': self.next_revision}

    def check(self) -> Result[Document, Problems]:
        """Return the document that is handed out, or every problem of it."""
        return structure_document(self.next_fields)

    def find(self, steps: Steps) -> Any:
        """Return the value at a place.

        :raises FormRefused: there is no such place.
        """
        value: Any = self.fields
        try:
            for step in steps:
                value = value[step]
        except (LookupError, TypeError):
            raise refuse_place(steps) from None
        return value

    def apply(self, steps: Steps, find_text: FindText) -> None:
        """Take what a form sent for the section that it showed."""
        schema = find_place(steps)
        changed = _apply(self.find(steps), schema, steps, find_text)
        if steps:
            self.find(steps[:-1])[steps[-1]] = changed
        else:
            self.fields = changed

    def add(self, steps: Steps) -> Steps:
        """Add an item to a list, or an object that is absent.

        :return: the place of what was added.
        :raises FormRefused: nothing can be added there.
        """
        schema = find_place(steps)
        owner = self.find(steps[:-1])
        if not is_item_list(schema) and 'anyOf' not in schema:
            raise refuse_place(steps)
        if schema['type'] == 'array':
            items = owner.setdefault(steps[-1], [])
            items.append(make_blank(schema['items']))
            return (*steps, len(items) - 1)
        owner[steps[-1]] = make_blank(schema)
        return steps

    def remove(self, steps: Steps) -> None:
        """Remove an item of a list, or an object that may be absent.

        :raises FormRefused: nothing can be removed there.
        """
        schema = find_place(steps)
        self.find(steps)
        if not is_removable(steps, schema):
            raise refuse_place(steps)
        owner = self.find(steps[:-1])
        del owner[steps[-1]]


def read_draft(text: str, loaded: str = '') -> Draft:
    """Return the draft that a form carries.

    :raises FormRefused: it has not the shape of a document.
    """
    read = parse_json(text, MAXIMUM_DOCUMENT_BYTES)
    if read.is_error():
        raise FormRefused(_BAD_REQUEST, str(read.error[0]))
    if not has_shape(read.ok, load_schema('document')):
        raise FormRefused(
            _BAD_REQUEST,
            'The text has not the shape of a document, so that no form can '
            'show it. Run trefoilhinge check to see each problem.',
        )
    fields = read.ok
    for name, one in load_schema('document')['properties'].items():
        # A section that is missing is shown blank, with its problems.
        if one.get('type') != 'integer':
            fields.setdefault(name, make_blank(one))
    return Draft(fields, loaded)


def make_new_draft() -> Draft:
    """Return a draft with one blank item wherever one is needed."""
    fields = make_blank(load_schema('document'))
    fields['revision'] = 0
    fields['balance']['long_weight'] = 0.5
    return Draft(fields)


def _apply(
    value: Any,
    schema: Mapping[str, Any],
    steps: Steps,
    find_text: FindText,
) -> Any:
    if schema['type'] == 'object' and isinstance(value, dict):
        return _apply_object(value, schema, steps, find_text)
    if schema['type'] == 'array' and not is_lines(schema):
        items = find_schema(load_schema('document'), (*steps, 0))
        return [
            _apply(one, items, (*steps, number), find_text)
            for number, one in enumerate(value)
        ]
    return value


def _apply_object(
    value: dict[str, Any],
    schema: Mapping[str, Any],
    steps: Steps,
    find_text: FindText,
) -> dict[str, Any]:
    changed = dict(value)
    for name in schema['properties']:
        place = (*steps, name)
        inner = find_schema(load_schema('document'), place)
        if inner['type'] == 'object' or is_item_list(inner):
            if name in value:
                changed[name] = _apply(value[name], inner, place, find_text)
            continue
        text = find_text(join_steps(place))
        if text is None or inner.get('readOnly'):
            continue
        if text == '' and name not in schema.get('required', ()):
            changed.pop(name, None)
        else:
            changed[name] = _convert(text, inner)
    return changed


def _convert(text: str, schema: Mapping[str, Any]) -> Any:
    kind = schema['type']
    bare = text.strip()
    if kind == 'array':
        items = resolve_schema(
            schema['items'],
            load_schema('document')['$defs'],
        )
        lines = (line.strip() for line in text.splitlines())
        return [_convert(line, items) for line in lines if line]
    if kind == 'boolean':
        return bare == 'true'
    if kind in {'integer', 'number'} and _WHOLE_NUMBER.match(bare):
        return int(bare)
    if kind == 'number' and _NUMBER.match(bare):
        return float(bare)
    # What is no number stays as it was typed, for its problem to be shown.
    return bare
