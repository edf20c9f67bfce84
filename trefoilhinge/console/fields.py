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
    describe_schema,
    label_name,
    show_value,
)
from trefoilhinge.console.pointers import (
    Steps,
    is_lines,
    is_removable,
    join_steps,
    parse_steps,
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


def make_section(
    steps: Steps,
    draft: Draft,
    problems: Problems,
) -> FormField:
    """Return the form of one section of a document.

    :param steps: place of the section.
    :param draft: the whole draft.
    :param problems: its problems.
    """
    schema = find_schema(load_schema('document'), steps)
    maker = _FormMaker(problems, draft.fields)
    return maker.make(steps, schema, draft.find(steps), required=True)


def find_anchor(form: FormField, path: str) -> str:
    """Return the anchor of the innermost field that holds a JSON path.

    :param form: the form to look in; its own anchor if no inner field fits.
    """
    for one in form.inner:
        place = name_path(parse_steps(one.name))
        if is_within(path, place):
            return find_anchor(one, path)
    return form.anchor


def name_path(steps: Steps) -> str:
    """Return the JSON path of a place, as problems name it."""
    path = ROOT
    for step in steps:
        path = join_path(path, step)
    return path


def is_within(path: str, place: str) -> bool:
    """Return whether a JSON path lies at or below another."""
    rest = path.removeprefix(place)
    return rest != path and (not rest or rest[0] in '.[')


@define
class _FormMaker:
    _problems: Problems
    _document: Mapping[str, Any]

    def make(
        self,
        steps: Steps,
        schema: Mapping[str, Any],
        value: Any,
        required: bool,
    ) -> FormField:
        control = _choose_control(schema)
        groups = control in {Control.GROUP, Control.LIST}
        inner: tuple[FormField, ...] = ()
        if control is Control.GROUP and value is not None:
            inner = tuple(self._make_members(steps, schema, value))
        elif control is Control.LIST:
            inner = tuple(self._make_items(steps, value or ()))
        return FormField(
            name=join_steps(steps),
            label=_label(steps, schema, value),
            help=describe_schema(schema, required),
            control=control,
            text='' if groups else show_value(value),
            required=required,
            choices=tuple(str(one) for one in _list_choices(schema)),
            known=tuple(self._list_known(schema)),
            problems=tuple(self._find_problems(steps, control)),
            inner=inner,
            absent=control is Control.GROUP and value is None,
            removable=is_removable(steps, schema),
        )

    def _make_members(
        self,
        steps: Steps,
        schema: Mapping[str, Any],
        value: Mapping[str, Any],
    ) -> Iterator[FormField]:
        for name in schema['properties']:
            place = (*steps, name)
            yield self.make(
                place,
                find_schema(load_schema('document'), place),
                value.get(name),
                name in schema['required'],
            )

    def _make_items(self, steps: Steps, items: Any) -> Iterator[FormField]:
        for number, item in enumerate(items):
            place = (*steps, number)
            schema = find_schema(load_schema('document'), place)
            yield self.make(place, schema, item, required=True)

    def _list_known(self, schema: Mapping[str, Any]) -> Iterator[str]:
        for one in self._document.get(schema.get('references', ''), ()):
            name = one.get('name')
            if name:
                yield str(name)

    def _find_problems(
        self,
        steps: Steps,
        control: Control,
    ) -> Iterator[DocumentProblem]:
        path = name_path(steps)
        for problem in self._problems:
            same = problem.path == path
            # Lines are one control, so that it shows the problems of each.
            if same or (
                control is Control.LINES and is_within(problem.path, path)
            ):
                yield problem


def _choose_control(schema: Mapping[str, Any]) -> Control:
    if schema.get('readOnly'):
        return Control.FIXED
    kind = schema['type']
    if kind == 'array':
        return Control.LINES if is_lines(schema) else Control.LIST
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


def _label(steps: Steps, schema: Mapping[str, Any], value: Any) -> str:
    last = steps[-1] if steps else schema['title']
    if isinstance(last, str):
        return label_name(last)
    kind = label_name(str(steps[-2])).removesuffix('s')
    name = ''
    if isinstance(value, dict):
        name = value.get('name') or value.get('identifier') or ''
    return f'{kind} {name or last + 1}'
