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
    Pointer,
    find_pointer_schema,
    format_pointer,
    is_object_list,
    is_removable,
    is_scalar_list,
    make_empty_value,
    make_pointer_refusal,
    matches_structure,
)

# Reads the text that a form sent for a field; none if it sent none.
GetFormValue = Callable[[str], str | None]

_BAD_REQUEST = '400 Bad Request'
_INTEGER = re.compile(r'-?[0-9]{1,16}\Z')
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

    def find(self, pointer: Pointer) -> Any:
        """Return the value at a place.

        :raises FormRefused: there is no such place.
        """
        value: Any = self.fields
        try:
            for segment in pointer:
                value = value[segment]
        except (LookupError, TypeError):
            raise make_pointer_refusal(pointer) from None
        return value

    def apply(self, pointer: Pointer, get_form_value: GetFormValue) -> None:
        """Take what a form sent for the section that it showed."""
        schema = find_pointer_schema(pointer)
        changed = _update_value(
            self.find(pointer), schema, pointer, get_form_value
        )
        if pointer:
            self.find(pointer[:-1])[pointer[-1]] = changed
        else:
            self.fields = changed

    def add(self, pointer: Pointer) -> Pointer:
        """Add an item to a list, or an object that is absent.

        :return: the place of what was added.
        :raises FormRefused: nothing can be added there.
        """
        schema = find_pointer_schema(pointer)
        owner = self.find(pointer[:-1])
        if not is_object_list(schema) and 'anyOf' not in schema:
            raise make_pointer_refusal(pointer)
        if schema['type'] == 'array':
            items = owner.setdefault(pointer[-1], [])
            items.append(make_empty_value(schema['items']))
            return (*pointer, len(items) - 1)
        owner[pointer[-1]] = make_empty_value(schema)
        return pointer

    def remove(self, pointer: Pointer) -> None:
        """Remove an item of a list, or an object that may be absent.

        :raises FormRefused: nothing can be removed there.
        """
        schema = find_pointer_schema(pointer)
        self.find(pointer)
        if not is_removable(pointer, schema):
            raise make_pointer_refusal(pointer)
        owner = self.find(pointer[:-1])
        del owner[pointer[-1]]


def read_draft(text: str, loaded: str = '') -> Draft:
    """Return the draft that a form carries.

    :raises FormRefused: it has not the shape of a document.
    """
    read = parse_json(text, MAXIMUM_DOCUMENT_BYTES)
    if read.is_error():
        raise FormRefused(_BAD_REQUEST, str(read.error[0]))
    if not matches_structure(read.ok, load_schema('document')):
        raise FormRefused(
            _BAD_REQUEST,
            'The text has not the shape of a document, so that no form can '
            'show it. Run trefoilhinge check to see each problem.',
        )
    fields = read.ok
    for name, one in load_schema('document')['properties'].items():
        # A section that is missing is shown blank, with its problems.
        if one.get('type') != 'integer':
            fields.setdefault(name, make_empty_value(one))
    return Draft(fields, loaded)


def make_new_draft() -> Draft:
    """Return a draft with one blank item wherever one is needed."""
    fields = make_empty_value(load_schema('document'))
    fields['revision'] = 0
    fields['balance']['long_weight'] = 0.5
    return Draft(fields)


def _update_value(
    value: Any,
    schema: Mapping[str, Any],
    pointer: Pointer,
    get_form_value: GetFormValue,
) -> Any:
    if schema['type'] == 'object' and isinstance(value, dict):
        return _update_object(value, schema, pointer, get_form_value)
    if schema['type'] == 'array' and not is_scalar_list(schema):
        items = find_schema(load_schema('document'), (*pointer, 0))
        return [
            _update_value(one, items, (*pointer, number), get_form_value)
            for number, one in enumerate(value)
        ]
    return value


def _update_object(
    value: dict[str, Any],
    schema: Mapping[str, Any],
    pointer: Pointer,
    get_form_value: GetFormValue,
) -> dict[str, Any]:
    changed = dict(value)
    for name in schema['properties']:
        place = (*pointer, name)
        inner = find_schema(load_schema('document'), place)
        if inner['type'] == 'object' or is_object_list(inner):
            if name in value:
                changed[name] = _update_value(
                    value[name], inner, place, get_form_value
                )
            continue
        text = get_form_value(format_pointer(place))
        if text is None or inner.get('readOnly'):
            continue
        if text == '' and name not in schema.get('required', ()):
            changed.pop(name, None)
        else:
            changed[name] = _parse_value(text, inner)
    return changed


def _parse_value(text: str, schema: Mapping[str, Any]) -> Any:
    json_type = schema['type']
    bare = text.strip()
    if json_type == 'array':
        items = resolve_schema(
            schema['items'],
            load_schema('document')['$defs'],
        )
        lines = (line.strip() for line in text.splitlines())
        return [_parse_value(line, items) for line in lines if line]
    if json_type == 'boolean':
        return bare == 'true'
    if json_type in {'integer', 'number'} and _INTEGER.match(bare):
        return int(bare)
    if json_type == 'number' and _NUMBER.match(bare):
        return float(bare)
    # What is no number stays as it was typed, for its problem to be shown.
    return bare
