"""Rendering of the console's pages."""

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
# Sections that have a page for each of their items.
SECTIONS_WITH_ITEM_PAGES = frozenset(('organisations', 'services'))
_HIDDEN_FIELDS = frozenset(('revision',))


@frozen
class NavigationItem:
    """Section in the navigation.

    :ivar label: name of the section as it is shown.
    :ivar section: pointer to the section, in its text form.
    :ivar problems: number of problems in the section.
    :ivar current: whether the page shows this section.
    """

    label: str
    section: str
    problems: int
    current: bool


@frozen
class AnchoredProblem:
    """Problem with the anchor of its field on the page."""

    problem: DocumentProblem
    anchor: str


@frozen
class Frame:
    """Values that every page contains.

    :ivar token: signed token of the page's forms.
    :ivar shows_status: whether to link to the status page.
    """

    token: str
    shows_status: bool


def render_start(
    frame: Frame,
    text: str = '',
    problem: str = '',
    given: str = '',
) -> str:
    """Return the page that opens a document.

    :param text: submitted text that could not be opened.
    :param problem: reason why it could not be opened, otherwise empty.
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
    """Return the page with the form of one section.

    :param pointer: pointer to the section.
    :param key: new API key, which is shown only on this page.
    """
    checked = draft.check()
    problems = checked.error if checked.is_error() else ()
    form = make_section_form(pointer, draft, problems)
    if not pointer:
        inner = tuple(
            item
            for item in form.inner
            if item.control is not Control.LIST
            and item.name not in _HIDDEN_FIELDS
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
            AnchoredProblem(item, find_anchor(form, item.path))
            for item in problems
            if _is_in_section(item, path, pointer)
        ],
        key=key,
        examples=_make_examples(checked, pointer),
    )


def render_review(frame: Frame, draft: Draft) -> str:
    """Return the page with the problems and differences of the draft."""
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
    """Return the page with the status of the running instances."""
    statuses = [
        report.status for report in reports if report.status is not None
    ]
    return _render(
        'status.html',
        frame=frame,
        statuses=statuses,
        findings=list_findings(statuses),
        unreachable=[report for report in reports if report.status is None],
    )


def render_refusal(message: str) -> str:
    """Return the page of a refused request."""
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
    section_pointers: tuple[Pointer, ...] = (
        (),
        *((name,) for name in TOP_LEVEL_SECTIONS),
    )
    items = [
        NavigationItem(
            str(section_pointer[0]).replace('_', ' ').capitalize()
            if section_pointer
            else 'General',
            format_pointer(section_pointer),
            sum(
                _is_in_section(
                    problem, format_json_path(section_pointer), section_pointer
                )
                for problem in problems
            ),
            pointer is not None and pointer[:1] == section_pointer,
        )
        for section_pointer in section_pointers
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
    # The revision always changes, and the page states the new one.
    comparable = evolve(checked.ok, revision=loaded.ok.revision)
    return describe_differences(loaded.ok, comparable)


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
