"""The console over HTTP: every page is a function of the form that came."""

import importlib.resources
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import asdict, define, frozen

from trefoilhinge.client.status_client import StatusSource
from trefoilhinge.conf.keys import generate_key
from trefoilhinge.console import pages
from trefoilhinge.console.csrf import FormGuard, check_host, check_origin
from trefoilhinge.console.downloads import write_document
from trefoilhinge.console.drafts import (
    Draft,
    make_new_draft,
    read_draft,
)
from trefoilhinge.console.exceptions import FormRefused
from trefoilhinge.console.forms import PostedForm, read_form
from trefoilhinge.console.pointers import Steps, parse_steps

Headers = list[tuple[str, str]]

_OK = '200 OK'
_HTML = 'text/html; charset=utf-8'
_SECURITY: Headers = [
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'",
    ),
    ('X-Content-Type-Options', 'nosniff'),
    ('Referrer-Policy', 'same-origin'),
    # A page may show a new key, and every page holds the document.
    ('Cache-Control', 'no-store'),
]


@frozen
class Page:
    """One answer to a browser."""

    body: bytes
    kind: str = _HTML
    status: str = _OK
    headers: tuple[tuple[str, str], ...] = ()


@define
class ConsoleApplication:
    """Serves the forms; keeps nothing between two requests.

    :ivar document: text of the document to offer at the start, empty if none.
    :ivar status: instances to show.
    """

    _guard: FormGuard
    document: str
    status: StatusSource

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        try:
            page = self._serve(environ)
        except FormRefused as refusal:
            shown = pages.render_refusal(str(refusal))
            page = Page(_encode(shown), status=refusal.status)
        headers = [
            ('Content-Type', page.kind),
            ('Content-Length', str(len(page.body))),
            *_SECURITY,
            *page.headers,
        ]
        start_response(page.status, headers)
        return [b'' if environ['REQUEST_METHOD'] == 'HEAD' else page.body]

    def _serve(self, environ: dict[str, Any]) -> Page:
        check_host(environ)
        path = environ['PATH_INFO']
        if environ['REQUEST_METHOD'] in {'GET', 'HEAD'}:
            return self._show(path)
        if environ['REQUEST_METHOD'] != 'POST':
            raise FormRefused('405 Method Not Allowed', 'Use GET or POST.')
        check_origin(environ)
        form = read_form(environ)
        self._guard.check_token(form.get('token', ''), time.time())
        if path == '/load':
            return self._load(form)
        if path == '/':
            return self._edit(form)
        raise _refuse_path()

    def _show(self, path: str) -> Page:
        if path == '/':
            return _make_page(
                pages.render_start(self._frame(), given=self.document),
            )
        if path == '/style.css':
            return Page(_read_style(), 'text/css; charset=utf-8')
        if path == '/status' and self.status.urls:
            reports = self.status.read()
            return _make_page(pages.render_status(self._frame(), reports))
        raise _refuse_path()

    def _load(self, form: PostedForm) -> Page:
        if form.get('begin') == 'new':
            return self._render(make_new_draft(), ())
        text = form.get('file') or form.get('text', '')
        if form.get('begin') == 'given':
            text = self.document
        try:
            draft = read_draft(text, text)
        except FormRefused as refusal:
            shown = pages.render_start(
                self._frame(), text, str(refusal), self.document
            )
            return Page(_encode(shown), status='422 Unprocessable Content')
        return self._render(draft, ())

    def _edit(self, form: PostedForm) -> Page:
        draft = read_draft(form.get('draft', ''), form.get('loaded', ''))
        section = form.get('section', '')
        if section != pages.REVIEW:
            draft.apply(parse_section(section), form.get)
        verb, _, argument = form.get('action', '').partition(':')
        act = _ACTIONS.get(verb)
        if act is None:
            raise FormRefused('400 Bad Request', 'The form names no action.')
        return act(self, draft, section, argument)

    def _show_section(self, draft: Draft, section: str, wanted: str) -> Page:
        if wanted == pages.REVIEW:
            return _make_page(pages.render_review(self._frame(), draft))
        return self._render(draft, parse_section(wanted))

    def _add(self, draft: Draft, section: str, place: str) -> Page:
        added = draft.add(parse_steps(place))
        # A new organisation or service has a page of its own.
        if len(added) == 2 and section in {'organisations', 'services'}:
            return self._render(draft, added)
        return self._render(draft, parse_section(section))

    def _remove(self, draft: Draft, section: str, place: str) -> Page:
        draft.remove(parse_steps(place))
        if place == section:
            section = section.rpartition('/')[0]
        return self._render(draft, parse_section(section))

    def _add_key(self, draft: Draft, section: str, place: str) -> Page:
        made = generate_key()
        organisation = draft.find(parse_section(place))
        if not place.startswith('organisations/'):
            raise FormRefused(
                '400 Bad Request', 'Only organisations have keys.'
            )
        organisation.setdefault('keys', []).append(asdict(made.entry))
        return self._render(draft, parse_section(section), made.key)

    def _download(self, draft: Draft, section: str, argument: str) -> Page:
        text = write_document(draft)
        if text is None:
            shown = pages.render_review(self._frame(), draft)
            return Page(_encode(shown), status='422 Unprocessable Content')
        name = f'{draft.fields["deployment"]}-{draft.next_revision}.json'
        return Page(
            text.encode(),
            'application/json',
            headers=(
                ('Content-Disposition', f'attachment; filename="{name}"'),
            ),
        )

    def _render(self, draft: Draft, steps: Steps, key: str = '') -> Page:
        shown = pages.render_section(self._frame(), draft, steps, key)
        return _make_page(shown)

    def _frame(self) -> pages.Frame:
        token = self._guard.sign(time.time())
        return pages.Frame(token, bool(self.status.urls))


def parse_section(text: str) -> Steps:
    """Return the place of a section that has a page.

    :raises FormRefused: there is no such section.
    """
    steps = parse_steps(text)
    itemised = len(steps) == 2 and isinstance(steps[1], int)
    top = steps[0] if steps else ''
    if not steps or (len(steps) == 1 and top in pages.OVERVIEWS):
        return steps
    if itemised and top in pages.ITEMISED:
        return steps
    raise FormRefused('400 Bad Request', f'There is no section {text!r}.')


def _make_page(text: str) -> Page:
    return Page(_encode(text))


def _encode(text: str) -> bytes:
    return text.encode('utf-8', 'replace')


def _read_style() -> bytes:
    files = importlib.resources.files('trefoilhinge.console')
    return files.joinpath('static', 'style.css').read_bytes()


def _refuse_path() -> FormRefused:
    return FormRefused('404 Not Found', 'There is no such page.')


_ACTIONS: Mapping[str, Callable[[Any, Draft, str, str], Page]] = {
    'show': ConsoleApplication._show_section,  # noqa: SLF001
    'add': ConsoleApplication._add,  # noqa: SLF001
    'remove': ConsoleApplication._remove,  # noqa: SLF001
    'key': ConsoleApplication._add_key,  # noqa: SLF001
    'download': ConsoleApplication._download,  # noqa: SLF001
}
