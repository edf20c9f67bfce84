"""Drafts of a document, which forms carry and change.

A draft may be invalid, but it always has the structure of the schema: objects,
lists and known names are where the schema has them. Only scalars may be
invalid, so that a form can show each of them next to its problem.
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

# Returns the text that a form has for a field, ``None`` if it has none.
GetFormValue = Callable[[str], str | None]

_BAD_REQUEST = '400 Bad Request'
_INTEGER = re.compile(r'-?[0-9]{1,16}\Z')
_NUMBER = re.compile(r'-?[0-9]{1,20}(\.[0-9]{1,20})?(e[+-]?[0-9]{1,2})?\Z')


@define
class Draft:
    """Document that is being edited.

    :ivar fields: the document as parsed JSON.
    :ivar loaded: text of the document before editing, empty if it is new.
    """

    fields: dict[str, Any]
    loaded: str = ''

    @property
    def text(self) -> str:
        """Return the draft as compact JSON, as a form carries it."""
        return json.dumps(self.fields, separators=(',', ':'))

    @property
    def next_revision(self) -> int:
        """Return the revision that the downloaded document will have."""
        revision = self.fields.get('revision')
        return revision + 1 if type(revision) is int else 1  # noqa: WPS516

    @property
    def next_fields(self) -> dict[str, Any]:
        """Return the document with its next revision, as parsed JSON."""
        return {**self.fields, 'revision': self.next_revision}

    def check(self) -> Result[Document, Problems]:
        """Check the document with its next revision.

        :return: the document, or all of its problems.
        """
        return structure_document(self.next_fields)

    def find(self, pointer: Pointer) -> Any:
        """Return the value that a pointer refers to.

        :raises FormRefused: the document has no such value.
        """
        value: Any = self.fields
        try:
            for segment in pointer:
                value = value[segment]
        except (LookupError, TypeError):
            raise make_pointer_refusal(pointer) from None
        return value

    def apply(self, pointer: Pointer, get_form_value: GetFormValue) -> None:
        """Update a section with the values of its posted form.

        :param pointer: pointer to the section.
        :param get_form_value: function that returns a field's posted text.
        """
        schema = find_pointer_schema(pointer)
        updated = _update_value(
            self.find(pointer), schema, pointer, get_form_value
        )
        if pointer:
            self.find(pointer[:-1])[pointer[-1]] = updated
        else:
            self.fields = updated

    def add(self, pointer: Pointer) -> Pointer:
        """Append an empty item to a list, or add an optional object.

        :return: pointer to the added value.
        :raises FormRefused: the pointer refers to neither.
        """
        schema = find_pointer_schema(pointer)
        parent = self.find(pointer[:-1])
        if not is_object_list(schema) and 'anyOf' not in schema:
            raise make_pointer_refusal(pointer)
        if schema['type'] == 'array':
            items = parent.setdefault(pointer[-1], [])
            items.append(make_empty_value(schema['items']))
            return (*pointer, len(items) - 1)
        parent[pointer[-1]] = make_empty_value(schema)
        return pointer

    def remove(self, pointer: Pointer) -> None:
        """Remove an item of a list, or an optional object.

        :raises FormRefused: the pointer refers to neither.
        """
        schema = find_pointer_schema(pointer)
        self.find(pointer)
        if not is_removable(pointer, schema):
            raise make_pointer_refusal(pointer)
        parent = self.find(pointer[:-1])
        del parent[pointer[-1]]


def read_draft(text: str, loaded: str = '') -> Draft:
    """Parse a draft.

    :param text: the draft as JSON.
    :param loaded: text of the document before editing, empty if it is new.
    :raises FormRefused: the text is not JSON or does not have the structure of
        a document.
    """
    parsed = parse_json(text, MAXIMUM_DOCUMENT_BYTES)
    if parsed.is_error():
        raise FormRefused(_BAD_REQUEST, str(parsed.error[0]))
    if not matches_structure(parsed.ok, load_schema('document')):
        raise FormRefused(
            _BAD_REQUEST,
            'The text does not have the structure of a document, so it cannot '
            'be edited. Run trefoilhinge check to list its problems.',
        )
    fields = parsed.ok
    for name, schema in load_schema('document')['properties'].items():
        # Missing sections are shown empty, with their problems.
        if schema.get('type') != 'integer':
            fields.setdefault(name, make_empty_value(schema))
    return Draft(fields, loaded)


def make_new_draft() -> Draft:
    """Return a draft of a new document with empty required fields.

    Its first download has revision 1, and ``long_weight`` is halfway between
    favouring short and favouring long prompts.
    """
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
        item_schema = find_schema(load_schema('document'), (*pointer, 0))
        return [
            _update_value(item, item_schema, (*pointer, index), get_form_value)
            for index, item in enumerate(value)
        ]
    return value


def _update_object(
    value: dict[str, Any],
    schema: Mapping[str, Any],
    pointer: Pointer,
    get_form_value: GetFormValue,
) -> dict[str, Any]:
    updated = dict(value)
    for name in schema['properties']:
        member_pointer = (*pointer, name)
        member_schema = find_schema(load_schema('document'), member_pointer)
        if member_schema['type'] == 'object' or is_object_list(member_schema):
            if name in value:
                updated[name] = _update_value(
                    value[name], member_schema, member_pointer, get_form_value
                )
            continue
        text = get_form_value(format_pointer(member_pointer))
        if text is None or member_schema.get('readOnly'):
            continue
        if text == '' and name not in schema.get('required', ()):
            updated.pop(name, None)
        else:
            updated[name] = _parse_value(text, member_schema)
    return updated


def _parse_value(text: str, schema: Mapping[str, Any]) -> Any:
    json_type = schema['type']
    stripped = text.strip()
    if json_type == 'array':
        item_schema = resolve_schema(
            schema['items'],
            load_schema('document')['$defs'],
        )
        lines = (line.strip() for line in text.splitlines())
        return [_parse_value(line, item_schema) for line in lines if line]
    if json_type == 'boolean':
        return stripped == 'true'
    if json_type in {'integer', 'number'} and _INTEGER.match(stripped):
        return int(stripped)
    if json_type == 'number' and _NUMBER.match(stripped):
        return float(stripped)
    # An invalid number is kept as text, so that the form shows its problem.
    return stripped
