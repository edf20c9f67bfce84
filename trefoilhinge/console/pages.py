"""Renders the console's pages."""

import functools
from typing import Any

import jinja2
from attrs import evolve, frozen
from expression import Result

from trefoilhinge.client.status_client import InstanceReport, list_findings
from trefoilhinge.conf.differences import describe_differences
from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.problems import DocumentProblem, Problems
from trefoilhinge.console.drafts import Draft
from trefoilhinge.console.examples import CallerExample, list_examples
from trefoilhinge.console.fields import (
    Control,
    find_anchor,
    format_json_path,
    is_within_path,
    make_section_form,
)
from trefoilhinge.console.pointers import Pointer, format_pointer

REVIEW_SECTION = 'review'
CheckedDocument = Result[Document, Problems]
TOP_LEVEL_SECTIONS = ('failure_domains', 'models', 'organisations', 'services')
# Sections whose items have a page each.
SECTIONS_WITH_ITEM_PAGES = frozenset(('organisations', 'services'))
_HIDDEN_FIELDS = frozenset(('revision',))


@frozen
class NavigationItem:
    """One section in the navigation.

    :ivar problems: how many problems lie in it.
    """

    label: str
    section: str
    problems: int
    current: bool


@frozen
class AnchoredProblem:
    """A problem and the field of the page that it belongs to."""

    problem: DocumentProblem
    anchor: str


@frozen
class Frame:
    """What every page shows beside its own matter.

    :ivar token: signed token of the page's forms.
    :ivar shows_status: whether instances are known to show.
    """

    token: str
    shows_status: bool


def render_start(
    frame: Frame,
    text: str = '',
    problem: str = '',
    given: str = '',
) -> str:
    """Return the page on which editing begins.

    :param text: text that was pasted and could not be used.
    :param problem: why it could not.
    :param given: text of the document that the console was started with.
    """
    return _render(
        'start.html', frame=frame, text=text, problem=problem, given=given
    )


def render_section(
    frame: Frame,
    draft: Draft,
    pointer: Pointer,
    key: str = '',
) -> str:
    """Return the form of one section.

    :param key: a new API key, which is shown this once.
    """
    checked = draft.check()
    problems = checked.error if checked.is_error() else ()
    form = make_section_form(pointer, draft, problems)
    if not pointer:
        inner = tuple(
            one
            for one in form.inner
            if one.control is not Control.LIST
            and one.name not in _HIDDEN_FIELDS
        )
        form = evolve(form, inner=inner)
    path = format_json_path(pointer)
    return _render(
        'section.html',
        frame=frame,
        draft=draft,
        form=form,
        section=format_pointer(pointer),
        navigation=_make_navigation(pointer, problems),
        indexed=len(pointer) == 1 and pointer[0] in SECTIONS_WITH_ITEM_PAGES,
        problems=[
            AnchoredProblem(one, find_anchor(form, one.path))
            for one in problems
            if _is_in_section(one, path, pointer)
        ],
        key=key,
        examples=_make_examples(checked, pointer),
    )


def render_review(frame: Frame, draft: Draft) -> str:
    """Return the page that shows problems and differences."""
    checked = draft.check()
    problems: Problems = checked.error if checked.is_error() else ()
    return _render(
        'review.html',
        frame=frame,
        draft=draft,
        section=REVIEW_SECTION,
        navigation=_make_navigation(None, problems),
        problems=problems,
        differences=_list_differences(draft, checked),
    )


def render_status(frame: Frame, reports: tuple[InstanceReport, ...]) -> str:
    """Return the page that shows a running fleet."""
    statuses = [one.status for one in reports if one.status is not None]
    return _render(
        'status.html',
        frame=frame,
        statuses=statuses,
        findings=list_findings(statuses),
        unreachable=[one for one in reports if one.status is None],
    )


def render_refusal(message: str) -> str:
    """Return the page of a request that was not served."""
    return _render('refusal.html', message=message)


def _is_in_section(
    problem: DocumentProblem, path: str, pointer: Pointer
) -> bool:
    if pointer:
        return is_within_path(problem.path, path)
    return not any(
        is_within_path(problem.path, format_json_path((name,)))
        for name in TOP_LEVEL_SECTIONS
    )


def _make_navigation(
    pointer: Pointer | None,
    problems: Problems,
) -> tuple[NavigationItem, ...]:
    places: tuple[Pointer, ...] = (
        (),
        *((name,) for name in TOP_LEVEL_SECTIONS),
    )
    items = [
        NavigationItem(
            str(place[0]).replace('_', ' ').capitalize()
            if place
            else 'General',
            format_pointer(place),
            sum(
                _is_in_section(one, format_json_path(place), place)
                for one in problems
            ),
            pointer is not None and pointer[:1] == place,
        )
        for place in places
    ]
    items.append(
        NavigationItem(
            'Review', REVIEW_SECTION, len(problems), pointer is None
        ),
    )
    return tuple(items)


def _list_differences(
    draft: Draft, checked: CheckedDocument
) -> list[str] | None:
    loaded = parse_document(draft.loaded)
    if loaded.is_error() or checked.is_error():
        return None
    # The revision always changes, which the page says already.
    same = evolve(checked.ok, revision=loaded.ok.revision)
    return describe_differences(loaded.ok, same)


def _make_examples(
    checked: CheckedDocument,
    pointer: Pointer,
) -> tuple[CallerExample, ...]:
    if len(pointer) != 2 or pointer[0] != 'services' or checked.is_error():
        return ()
    document = checked.ok
    return list_examples(document.services[int(pointer[1])], document)


def _render(template: str, **values: Any) -> str:
    return _make_environment().get_template(template).render(values)


@functools.cache
def _make_environment() -> jinja2.Environment:
    return jinja2.Environment(
        loader=jinja2.PackageLoader('trefoilhinge.console'),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
