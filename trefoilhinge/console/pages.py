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
    is_within,
    make_section,
    name_path,
)
from trefoilhinge.console.pointers import Steps, join_steps

REVIEW = 'review'
Checked = Result[Document, Problems]
OVERVIEWS = ('failure_domains', 'models', 'organisations', 'services')
# Sections whose items have a page each.
ITEMISED = frozenset(('organisations', 'services'))
_UNSHOWN = frozenset(('revision',))


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
    steps: Steps,
    key: str = '',
) -> str:
    """Return the form of one section.

    :param key: a new API key, which is shown this once.
    """
    checked = draft.check()
    problems = checked.error if checked.is_error() else ()
    form = make_section(steps, draft, problems)
    if not steps:
        inner = tuple(
            one
            for one in form.inner
            if one.control is not Control.LIST and one.name not in _UNSHOWN
        )
        form = evolve(form, inner=inner)
    path = name_path(steps)
    return _render(
        'section.html',
        frame=frame,
        draft=draft,
        form=form,
        section=join_steps(steps),
        navigation=_make_navigation(steps, problems),
        indexed=len(steps) == 1 and steps[0] in ITEMISED,
        problems=[
            AnchoredProblem(one, find_anchor(form, one.path))
            for one in problems
            if _concerns(one, path, steps)
        ],
        key=key,
        examples=_find_examples(checked, steps),
    )


def render_review(frame: Frame, draft: Draft) -> str:
    """Return the page that shows problems and differences."""
    checked = draft.check()
    problems: Problems = checked.error if checked.is_error() else ()
    return _render(
        'review.html',
        frame=frame,
        draft=draft,
        section=REVIEW,
        navigation=_make_navigation(None, problems),
        problems=problems,
        differences=_find_differences(draft, checked),
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


def _concerns(problem: DocumentProblem, path: str, steps: Steps) -> bool:
    if steps:
        return is_within(problem.path, path)
    return not any(
        is_within(problem.path, name_path((name,))) for name in OVERVIEWS
    )


def _make_navigation(
    steps: Steps | None,
    problems: Problems,
) -> tuple[NavigationItem, ...]:
    places: tuple[Steps, ...] = ((), *((name,) for name in OVERVIEWS))
    items = [
        NavigationItem(
            str(place[0]).replace('_', ' ').capitalize()
            if place
            else 'General',
            join_steps(place),
            sum(_concerns(one, name_path(place), place) for one in problems),
            steps is not None and steps[:1] == place,
        )
        for place in places
    ]
    items.append(
        NavigationItem('Review', REVIEW, len(problems), steps is None),
    )
    return tuple(items)


def _find_differences(draft: Draft, checked: Checked) -> list[str] | None:
    loaded = parse_document(draft.loaded)
    if loaded.is_error() or checked.is_error():
        return None
    # The revision always changes, which the page says already.
    same = evolve(checked.ok, revision=loaded.ok.revision)
    return describe_differences(loaded.ok, same)


def _find_examples(
    checked: Checked,
    steps: Steps,
) -> tuple[CallerExample, ...]:
    if len(steps) != 2 or steps[0] != 'services' or checked.is_error():
        return ()
    document = checked.ok
    return list_examples(document.services[int(steps[1])], document)


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
