"""Parses and validates the configuration document.

A document is validated in four steps, each in a module of its own: JSON
(``json_text``), schema (``structuring``, with ``violations`` to explain
errors), names (``cross_references``) and numbers (``consistency``). Each step
reports every problem that it finds.
"""

import functools
import hashlib
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from trefoilhinge.conf.consistency import find_inconsistencies
from trefoilhinge.conf.cross_references import find_reference_problems
from trefoilhinge.conf.generated import document as classes
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.json_text import decode_utf8, parse_json
from trefoilhinge.conf.problems import ROOT, DocumentProblem, Problems
from trefoilhinge.conf.structuring import STRUCTURE_ERRORS, make_strict_decoder
from trefoilhinge.conf.violations import find_violations

MAXIMUM_DOCUMENT_BYTES = 1_000_000


def parse_document(text: str) -> Result[Document, Problems]:
    """Parse a document from JSON text.

    :param text: document as served or as written by an operator.
    :return: the document, or the problems found in it.
    """
    read = parse_json(text, MAXIMUM_DOCUMENT_BYTES)
    return read.bind(structure_document)


def parse_document_bytes(raw: bytes) -> Result[Document, Problems]:
    """Parse a document from bytes in UTF-8."""
    return decode_utf8(raw).bind(parse_document)


def structure_document(fields: Any) -> Result[Document, Problems]:
    """Validate parsed JSON and structure it.

    :param fields: JSON with finite numbers and without duplicate keys, as
        ``parse_json`` returns it.
    :return: the document, or the problems found in it.
    """
    try:
        document = _make_decoder()(fields)
    except STRUCTURE_ERRORS as error:
        return Error(_explain_structure_error(fields, error))
    problems = (
        *find_reference_problems(document),
        *find_inconsistencies(document, fields),
    )
    return Error(problems) if problems else Ok(document)


def digest_text(text: str) -> str:
    """Return the SHA-256 digest of a document's text, in hexadecimal."""
    return hashlib.sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


def _explain_structure_error(fields: Any, error: Exception) -> Problems:
    problems = find_violations('document', fields)
    if problems:
        return problems
    wrong = f'the document cannot be read: {error}'
    instead = 'write what the document reference shows'
    return (DocumentProblem(ROOT, wrong, instead),)


@functools.cache
def _make_decoder() -> Callable[[Any], Any]:
    return make_strict_decoder(load_schema('document'), classes)
