"""Reads a document from a file."""

import pathlib

from expression import Error, Result

from trefoilhinge.conf.document import (
    MAXIMUM_DOCUMENT_BYTES,
    parse_document,
)
from trefoilhinge.conf.json_text import decode_utf8
from trefoilhinge.conf.problems import ROOT, DocumentProblem, Problems


def read_document_file(path: str) -> Result[str, Problems]:
    """Return the text of a file that contains a valid document.

    An instance merges this text into its document replica at startup, so that
    it can serve before the configuration service answers.

    :return: text of the document, or every problem found.
    """
    return read_text_file(path).bind(
        lambda text: parse_document(text).map(lambda _: text),
    )


def read_text_file(path: str) -> Result[str, Problems]:
    """Return the text of a file in UTF-8, or why it cannot be read."""
    try:
        raw = _read_limited(path)
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        problem = DocumentProblem(
            ROOT,
            f'the file cannot be read: {reason}',
            'pass the path of a readable file',
        )
        return Error((problem,))
    if len(raw) > MAXIMUM_DOCUMENT_BYTES:
        problem = DocumentProblem(
            ROOT,
            f'the file has more than {MAXIMUM_DOCUMENT_BYTES} bytes',
            f'write at most {MAXIMUM_DOCUMENT_BYTES} bytes',
        )
        return Error((problem,))
    return decode_utf8(raw)


def _read_limited(path: str) -> bytes:
    with pathlib.Path(path).open('rb') as opened:
        return opened.read(MAXIMUM_DOCUMENT_BYTES + 1)
