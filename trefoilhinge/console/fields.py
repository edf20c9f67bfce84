"""Generation of forms from the JSON Schema of the document.

No field is named in this module; names, types and help are the schema's.
"""

import enum
import re
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import define, frozen

from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.problems import (
    ROOT,
    DocumentProblem,
    Problems,
    join_path,
)
from trefoilhinge.conf.schemas import find_schema
from trefoilhinge.console.drafts import Draft
from trefoilhinge.console.labels import (
    format_label,
    format_value,
    make_help_text,
)
from trefoilhinge.console.pointers import (
    Pointer,
    format_pointer,
    is_removable,
    is_scalar_list,
    parse_pointer,
)


class Control(enum.StrEnum):
    """Control that a field is shown as."""

    TEXT = 'text'
    NUMBER = 'number'
    CHOICE = 'choice'
    LINES = 'lines'
    FIXED = 'fixed'
    GROUP = 'group'
    LIST = 'list'


@frozen
class FormField:
    """Field, group or list of a form.

    :ivar name: pointer to the value, which is also the name of the control.
    :ivar label: label of the control.
    :ivar help: help text.
    :ivar control: control that the field is shown as.
    :ivar text: formatted value, empty for groups and lists.
    :ivar required: whether the field must have a value.
    :ivar choices: allowed values of a choice.
    :ivar known: names in the document that the field can refer to.
    :ivar problems: problems of this field, without those of inner fields.
    :ivar inner: fields of a group, or items of a list.
    :ivar absent: whether this is a group that the document does not have.
    :ivar removable: whether the value can be removed.
    """

    name: str
    label: str
    help: str
    control: Control
    text: str = ''
    required: bool = False
    choices: tuple[str, ...] = ()
    known: tuple[str, ...] = ()
    problems: Problems = ()
    inner: tuple['FormField', ...] = ()
    absent: bool = False
    removable: bool = False

    @property
    def anchor(self) -> str:
        """Return the identifier of the HTML element."""
        return re.sub('[^a-z0-9]+', '-', f'f-{self.name}'.lower())


def make_section_form(
    pointer: Pointer,
    draft: Draft,
    problems: Problems,
) -> FormField:
    """Return the form of one section of a document.

    :param pointer: pointer to the section.
    :param draft: the complete draft.
    :param problems: problems of the draft.
    """
    schema = find_schema(load_schema('document'), pointer)
    builder = _FormBuilder(problems, draft.fields)
    return builder.build(pointer, schema, draft.find(pointer), required=True)


def find_anchor(form: FormField, path: str) -> str:
    """Return the anchor of the innermost field that contains a JSON path.

    :param form: the form to search; its own anchor is returned if no inner
        field contains the path.
    """
    for inner_field in form.inner:
        field_path = format_json_path(parse_pointer(inner_field.name))
        if is_within_path(path, field_path):
            return find_anchor(inner_field, path)
    return form.anchor


def format_json_path(pointer: Pointer) -> str:
    """Return the JSON path of a pointer, in the format of problems."""
    path = ROOT
    for segment in pointer:
        path = join_path(path, segment)
    return path


def is_within_path(path: str, ancestor: str) -> bool:
    """Return whether a JSON path is equal to or below another."""
    suffix = path.removeprefix(ancestor)
    return suffix != path and (not suffix or suffix[0] in '.[')


@define
class _FormBuilder:
    _problems: Problems
    _document: Mapping[str, Any]

    def build(
        self,
        pointer: Pointer,
        schema: Mapping[str, Any],
        value: Any,
        required: bool,
    ) -> FormField:
        control = _choose_control(schema)
        is_container = control in {Control.GROUP, Control.LIST}
        inner: tuple[FormField, ...] = ()
        if control is Control.GROUP and value is not None:
            inner = tuple(self._make_members(pointer, schema, value))
        elif control is Control.LIST:
            inner = tuple(self._make_items(pointer, value or ()))
        return FormField(
            name=format_pointer(pointer),
            label=_make_label(pointer, schema, value),
            help=make_help_text(schema, required),
            control=control,
            text='' if is_container else format_value(value),
            required=required,
            choices=tuple(str(choice) for choice in _list_choices(schema)),
            known=tuple(self._list_known_names(schema)),
            problems=tuple(self._find_problems(pointer, control)),
            inner=inner,
            absent=control is Control.GROUP and value is None,
            removable=is_removable(pointer, schema),
        )

    def _make_members(
        self,
        pointer: Pointer,
        schema: Mapping[str, Any],
        value: Mapping[str, Any],
    ) -> Iterator[FormField]:
        for name in schema['properties']:
            member_pointer = (*pointer, name)
            yield self.build(
                member_pointer,
                find_schema(load_schema('document'), member_pointer),
                value.get(name),
                name in schema['required'],
            )

    def _make_items(self, pointer: Pointer, items: Any) -> Iterator[FormField]:
        for index, item in enumerate(items):
            item_pointer = (*pointer, index)
            schema = find_schema(load_schema('document'), item_pointer)
            yield self.build(item_pointer, schema, item, required=True)

    def _list_known_names(self, schema: Mapping[str, Any]) -> Iterator[str]:
        for item in self._document.get(schema.get('references', ''), ()):
            name = item.get('name')
            if name:
                yield str(name)

    def _find_problems(
        self,
        pointer: Pointer,
        control: Control,
    ) -> Iterator[DocumentProblem]:
        path = format_json_path(pointer)
        for problem in self._problems:
            is_same = problem.path == path
            # A text area shows all lines, so it shows the problems of each.
            if is_same or (
                control is Control.LINES and is_within_path(problem.path, path)
            ):
                yield problem


def _choose_control(schema: Mapping[str, Any]) -> Control:
    if schema.get('readOnly'):
        return Control.FIXED
    json_type = schema['type']
    if json_type == 'array':
        return Control.LINES if is_scalar_list(schema) else Control.LIST
    if json_type == 'boolean' or 'enum' in schema:
        return Control.CHOICE
    return {
        'object': Control.GROUP,
        'integer': Control.NUMBER,
        'number': Control.NUMBER,
    }.get(json_type, Control.TEXT)


def _list_choices(schema: Mapping[str, Any]) -> tuple[str, ...]:
    if schema['type'] == 'boolean':
        return ('true', 'false')
    return tuple(schema.get('enum', ()))


def _make_label(pointer: Pointer, schema: Mapping[str, Any], value: Any) -> str:
    segment = pointer[-1] if pointer else schema['title']
    if isinstance(segment, str):
        return format_label(segment)
    item_label = format_label(str(pointer[-2])).removesuffix('s')
    name = ''
    if isinstance(value, dict):
        name = value.get('name') or value.get('identifier') or ''
    return f'{item_label} {name or segment + 1}'
