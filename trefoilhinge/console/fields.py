"""Makes forms from the JSON Schema: no field is named here by hand."""

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
    """How a field is shown."""

    TEXT = 'text'
    NUMBER = 'number'
    CHOICE = 'choice'
    LINES = 'lines'
    FIXED = 'fixed'
    GROUP = 'group'
    LIST = 'list'


@frozen
class FormField:
    """One field, group or list of a form.

    :ivar name: place in the document, and the name of the control.
    :ivar text: value as it is shown.
    :ivar choices: values of a choice.
    :ivar known: names of the document that the field may refer to.
    :ivar problems: what is wrong with this field itself.
    :ivar inner: fields of a group, or items of a list.
    :ivar absent: whether a group is not in the document and may be added.
    :ivar removable: whether it may be removed.
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
        """Return an identifier for the page."""
        return re.sub('[^a-z0-9]+', '-', f'f-{self.name}'.lower())


def make_section_form(
    pointer: Pointer,
    draft: Draft,
    problems: Problems,
) -> FormField:
    """Return the form of one section of a document.

    :param steps: place of the section.
    :param draft: the whole draft.
    :param problems: its problems.
    """
    schema = find_schema(load_schema('document'), pointer)
    builder = _FormBuilder(problems, draft.fields)
    return builder.build(pointer, schema, draft.find(pointer), required=True)


def find_anchor(form: FormField, path: str) -> str:
    """Return the anchor of the innermost field that holds a JSON path.

    :param form: the form to look in; its own anchor if no inner field fits.
    """
    for one in form.inner:
        place = format_json_path(parse_pointer(one.name))
        if is_within_path(path, place):
            return find_anchor(one, path)
    return form.anchor


def format_json_path(pointer: Pointer) -> str:
    """Return the JSON path of a place, as problems name it."""
    path = ROOT
    for segment in pointer:
        path = join_path(path, segment)
    return path


def is_within_path(path: str, place: str) -> bool:
    """Return whether a JSON path lies at or below another."""
    rest = path.removeprefix(place)
    return rest != path and (not rest or rest[0] in '.[')


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
            choices=tuple(str(one) for one in _list_choices(schema)),
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
            place = (*pointer, name)
            yield self.build(
                place,
                find_schema(load_schema('document'), place),
                value.get(name),
                name in schema['required'],
            )

    def _make_items(self, pointer: Pointer, items: Any) -> Iterator[FormField]:
        for number, item in enumerate(items):
            place = (*pointer, number)
            schema = find_schema(load_schema('document'), place)
            yield self.build(place, schema, item, required=True)

    def _list_known_names(self, schema: Mapping[str, Any]) -> Iterator[str]:
        for one in self._document.get(schema.get('references', ''), ()):
            name = one.get('name')
            if name:
                yield str(name)

    def _find_problems(
        self,
        pointer: Pointer,
        control: Control,
    ) -> Iterator[DocumentProblem]:
        path = format_json_path(pointer)
        for problem in self._problems:
            same = problem.path == path
            # Lines are one control, so that it shows the problems of each.
            if same or (
                control is Control.LINES and is_within_path(problem.path, path)
            ):
                yield problem


def _choose_control(schema: Mapping[str, Any]) -> Control:
    if schema.get('readOnly'):
        return Control.FIXED
    kind = schema['type']
    if kind == 'array':
        return Control.LINES if is_scalar_list(schema) else Control.LIST
    if kind == 'boolean' or 'enum' in schema:
        return Control.CHOICE
    return {
        'object': Control.GROUP,
        'integer': Control.NUMBER,
        'number': Control.NUMBER,
    }.get(kind, Control.TEXT)


def _list_choices(schema: Mapping[str, Any]) -> tuple[str, ...]:
    if schema['type'] == 'boolean':
        return ('true', 'false')
    return tuple(schema.get('enum', ()))


def _make_label(pointer: Pointer, schema: Mapping[str, Any], value: Any) -> str:
    last = pointer[-1] if pointer else schema['title']
    if isinstance(last, str):
        return format_label(last)
    kind = format_label(str(pointer[-2])).removesuffix('s')
    name = ''
    if isinstance(value, dict):
        name = value.get('name') or value.get('identifier') or ''
    return f'{kind} {name or last + 1}'
