"""Reads what a browser posted."""

import email.parser
import email.policy
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl

from trefoilhinge.console.exceptions import FormRefused

MAXIMUM_FORM_BYTES = 8_000_000
MAXIMUM_FORM_FIELDS = 200_000
_BAD_REQUEST = '400 Bad Request'
_MULTIPART = 'multipart/form-data'

PostedForm = Mapping[str, str]


def read_form(environ: Mapping[str, Any]) -> PostedForm:
    """Return the fields of a posted form, by name.

    :raises FormRefused: the body is too large or no form.
    """
    length = environ.get('CONTENT_LENGTH') or ''
    if not length.isdecimal():
        raise FormRefused('411 Length Required', 'The form has no length.')
    if int(length) > MAXIMUM_FORM_BYTES:
        raise FormRefused(
            '413 Content Too Large',
            f'The form has more than {MAXIMUM_FORM_BYTES} bytes.',
        )
    body = environ['wsgi.input'].read(int(length))
    kind = environ.get('CONTENT_TYPE', '')
    try:
        if kind.startswith(_MULTIPART):
            return _read_parts(kind, body)
        return _read_pairs(body)
    except (ValueError, LookupError):
        raise FormRefused(
            _BAD_REQUEST,
            'The form cannot be read; it must be text in UTF-8.',
        ) from None


def _read_pairs(body: bytes) -> PostedForm:
    pairs = parse_qsl(
        body.decode('ascii'),
        keep_blank_values=True,
        errors='strict',
        max_num_fields=MAXIMUM_FORM_FIELDS,
    )
    return {name: _join_lines(text) for name, text in pairs}


def _read_parts(kind: str, body: bytes) -> PostedForm:
    parser = email.parser.BytesParser(policy=email.policy.HTTP)
    head = f'Content-Type: {kind}\r\n\r\n'.encode('ascii')
    fields = {}
    for part in parser.parsebytes(head + body).iter_parts():
        name = part.get_param('name', header='content-disposition')
        content = part.get_payload(decode=True)
        if isinstance(name, str) and isinstance(content, bytes):
            fields[name] = _join_lines(content.decode('utf-8'))
    return fields


def _join_lines(text: str) -> str:
    # Browsers send a line's end as two characters.
    return text.replace('\r\n', '\n')
