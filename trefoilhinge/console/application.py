"""WSGI application of the console.

The server keeps no state between requests: the draft that is being edited is
in the form, and each page of the editor depends only on the form posted.
"""

import importlib.resources
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import asdict, define, frozen

from trefoilhinge.client.status_client import StatusSource
from trefoilhinge.conf.keys import generate_key
from trefoilhinge.console import pages
from trefoilhinge.console.csrf import FormTokenSigner, check_host, check_origin
from trefoilhinge.console.downloads import encode_document
from trefoilhinge.console.drafts import (
    Draft,
    make_new_draft,
    read_draft,
)
from trefoilhinge.console.exceptions import FormRefused
from trefoilhinge.console.forms import PostedForm, read_form
from trefoilhinge.console.pointers import Pointer, parse_pointer

Headers = list[tuple[str, str]]

_OK = '200 OK'
_HTML_CONTENT_TYPE = 'text/html; charset=utf-8'
_SECURITY_HEADERS: Headers = [
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'",
    ),
    ('X-Content-Type-Options', 'nosniff'),
    ('Referrer-Policy', 'same-origin'),
    # A page may contain a new API key, and every form contains the document.
    ('Cache-Control', 'no-store'),
]


@frozen
class Response:
    """HTTP response.

    :ivar body: encoded body.
    :ivar content_type: ``Content-Type`` header.
    :ivar status: status line.
    :ivar headers: additional headers.
    """

    body: bytes
    content_type: str = _HTML_CONTENT_TYPE
    status: str = _OK
    headers: tuple[tuple[str, str], ...] = ()


@define
class ConsoleApplication:
    """WSGI application that serves the forms.

    :ivar initial_document: text of the document offered on the start page,
        empty if none.
    :ivar status_source: instances whose status is shown.
    """

    _token_signer: FormTokenSigner
    initial_document: str
    status_source: StatusSource

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one WSGI request."""
        try:
            response = self._handle_request(environ)
        except FormRefused as refusal:
            html = pages.render_refusal(str(refusal))
            response = Response(_encode_html(html), status=refusal.status)
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
            *_SECURITY_HEADERS,
            *response.headers,
        ]
        start_response(response.status, headers)
        return [b'' if environ['REQUEST_METHOD'] == 'HEAD' else response.body]

    def _handle_request(self, environ: dict[str, Any]) -> Response:
        check_host(environ)
        path = environ['PATH_INFO']
        if environ['REQUEST_METHOD'] in {'GET', 'HEAD'}:
            return self._handle_get(path)
        if environ['REQUEST_METHOD'] != 'POST':
            raise FormRefused(
                '405 Method Not Allowed', 'Use GET, HEAD or POST.'
            )
        check_origin(environ)
        form = read_form(environ)
        self._token_signer.check_token(form.get('token', ''), time.time())
        if path == '/load':
            return self._open_document(form)
        if path == '/':
            return self._handle_edit(form)
        raise _make_not_found()

    def _handle_get(self, path: str) -> Response:
        if path == '/':
            return _make_html_response(
                pages.render_start(
                    self._make_frame(), given=self.initial_document
                ),
            )
        if path == '/style.css':
            return Response(_read_stylesheet(), 'text/css; charset=utf-8')
        if path == '/status' and self.status_source.urls:
            reports = self.status_source.read()
            return _make_html_response(
                pages.render_status(self._make_frame(), reports)
            )
        raise _make_not_found()

    def _open_document(self, form: PostedForm) -> Response:
        if form.get('begin') == 'new':
            return self._render_section(make_new_draft(), ())
        text = form.get('file') or form.get('text', '')
        if form.get('begin') == 'given':
            text = self.initial_document
        try:
            draft = read_draft(text, text)
        except FormRefused as refusal:
            html = pages.render_start(
                self._make_frame(), text, str(refusal), self.initial_document
            )
            return Response(
                _encode_html(html), status='422 Unprocessable Content'
            )
        return self._render_section(draft, ())

    def _handle_edit(self, form: PostedForm) -> Response:
        draft = read_draft(form.get('draft', ''), form.get('loaded', ''))
        section = form.get('section', '')
        if section != pages.REVIEW_SECTION:
            draft.apply(parse_section_pointer(section), form.get)
        action_name, _, argument = form.get('action', '').partition(':')
        handler = _ACTION_HANDLERS.get(action_name)
        if handler is None:
            raise FormRefused(
                '400 Bad Request', 'The form has no known action.'
            )
        return handler(self, draft, section, argument)

    def _show_section(
        self, draft: Draft, section: str, shown_section: str
    ) -> Response:
        if shown_section == pages.REVIEW_SECTION:
            return _make_html_response(
                pages.render_review(self._make_frame(), draft)
            )
        return self._render_section(draft, parse_section_pointer(shown_section))

    def _add_value(
        self, draft: Draft, section: str, pointer_text: str
    ) -> Response:
        added = draft.add(parse_pointer(pointer_text))
        # Organisations and services have a page for each item.
        if len(added) == 2 and section in {'organisations', 'services'}:
            return self._render_section(draft, added)
        return self._render_section(draft, parse_section_pointer(section))

    def _remove_value(
        self, draft: Draft, section: str, pointer_text: str
    ) -> Response:
        draft.remove(parse_pointer(pointer_text))
        if pointer_text == section:
            section = section.rpartition('/')[0]
        return self._render_section(draft, parse_section_pointer(section))

    def _create_key(
        self, draft: Draft, section: str, pointer_text: str
    ) -> Response:
        new_key = generate_key()
        organisation = draft.find(parse_section_pointer(pointer_text))
        if not pointer_text.startswith('organisations/'):
            raise FormRefused(
                '400 Bad Request', 'Only organisations have keys.'
            )
        organisation.setdefault('keys', []).append(asdict(new_key.entry))
        return self._render_section(
            draft, parse_section_pointer(section), new_key.key
        )

    def _download(self, draft: Draft, section: str, argument: str) -> Response:
        text = encode_document(draft)
        if text is None:
            html = pages.render_review(self._make_frame(), draft)
            return Response(
                _encode_html(html), status='422 Unprocessable Content'
            )
        name = f'{draft.fields["deployment"]}-{draft.next_revision}.json'
        return Response(
            text.encode(),
            'application/json',
            headers=(
                ('Content-Disposition', f'attachment; filename="{name}"'),
            ),
        )

    def _render_section(
        self, draft: Draft, pointer: Pointer, key: str = ''
    ) -> Response:
        html = pages.render_section(self._make_frame(), draft, pointer, key)
        return _make_html_response(html)

    def _make_frame(self) -> pages.Frame:
        token = self._token_signer.make_token(time.time())
        return pages.Frame(token, bool(self.status_source.urls))


def parse_section_pointer(text: str) -> Pointer:
    """Parse the pointer of a section that has a page.

    :param text: pointer in its text form; empty for the general section.
    :raises FormRefused: the section does not exist.
    """
    pointer = parse_pointer(text)
    is_item = len(pointer) == 2 and isinstance(pointer[1], int)
    top = pointer[0] if pointer else ''
    if not pointer or (len(pointer) == 1 and top in pages.TOP_LEVEL_SECTIONS):
        return pointer
    if is_item and top in pages.SECTIONS_WITH_ITEM_PAGES:
        return pointer
    raise FormRefused('400 Bad Request', f'Unknown section {text!r}.')


def _make_html_response(text: str) -> Response:
    return Response(_encode_html(text))


def _encode_html(text: str) -> bytes:
    return text.encode('utf-8', 'replace')


def _read_stylesheet() -> bytes:
    files = importlib.resources.files('trefoilhinge.console')
    return files.joinpath('static', 'style.css').read_bytes()


def _make_not_found() -> FormRefused:
    return FormRefused('404 Not Found', 'This page does not exist.')


_ACTION_HANDLERS: Mapping[str, Callable[[Any, Draft, str, str], Response]] = {
    'show': ConsoleApplication._show_section,  # noqa: SLF001
    'add': ConsoleApplication._add_value,  # noqa: SLF001
    'remove': ConsoleApplication._remove_value,  # noqa: SLF001
    'key': ConsoleApplication._create_key,  # noqa: SLF001
    'download': ConsoleApplication._download,  # noqa: SLF001
}
