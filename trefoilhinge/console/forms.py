"""Parsing of posted forms."""

import email.parser
import email.policy
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl

from trefoilhinge.console.exceptions import FormRefused

MAXIMUM_FORM_BYTES = 8_000_000
MAXIMUM_FORM_FIELDS = 200_000
_BAD_REQUEST = '400 Bad Request'
_MULTIPART_TYPE = 'multipart/form-data'

PostedForm = Mapping[str, str]


def read_form(environ: Mapping[str, Any]) -> PostedForm:
    """Parse the body of a request as a form.

    :return: text of each field, by name.
    :raises FormRefused: the body is too large, has no length or is not a form.
    """
    length = environ.get('CONTENT_LENGTH') or ''
    if not length.isdecimal():
        raise FormRefused(
            '411 Length Required', 'The request has no Content-Length header.'
        )
    if int(length) > MAXIMUM_FORM_BYTES:
        raise FormRefused(
            '413 Content Too Large',
            f'The form exceeds the limit of {MAXIMUM_FORM_BYTES} bytes.',
        )
    body = environ['wsgi.input'].read(int(length))
    content_type = environ.get('CONTENT_TYPE', '')
    try:
        if content_type.startswith(_MULTIPART_TYPE):
            return _parse_multipart(content_type, body)
        return _parse_urlencoded(body)
    except (ValueError, LookupError):
        raise FormRefused(
            _BAD_REQUEST,
            'The form cannot be decoded; it must be UTF-8 text.',
        ) from None


def _parse_urlencoded(body: bytes) -> PostedForm:
    pairs = parse_qsl(
        body.decode('ascii'),
        keep_blank_values=True,
        errors='strict',
        max_num_fields=MAXIMUM_FORM_FIELDS,
    )
    return {name: _normalise_newlines(text) for name, text in pairs}


def _parse_multipart(content_type: str, body: bytes) -> PostedForm:
    parser = email.parser.BytesParser(policy=email.policy.HTTP)
    header = f'Content-Type: {content_type}\r\n\r\n'.encode('ascii')
    fields = {}
    for part in parser.parsebytes(header + body).iter_parts():
        name = part.get_param('name', header='content-disposition')
        content = part.get_payload(decode=True)
        if isinstance(name, str) and isinstance(content, bytes):
            fields[name] = _normalise_newlines(content.decode('utf-8'))
    return fields


def _normalise_newlines(text: str) -> str:
    # Browsers send newlines as CR LF.
    return text.replace('\r\n', '\n')
