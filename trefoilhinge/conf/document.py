"""Reads and checks the configuration document."""

import functools
import hashlib
import json
from collections.abc import Iterator, Mapping
from typing import Any

import cattrs
import jsonschema
from attrs import frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generator import load_schema

MAXIMUM_DOCUMENT_BYTES = 1_000_000


@frozen
class DocumentProblem:
    """One fault of a document.

    :ivar path: JSON path of the faulty value, as ``services[0].kind``.
    :ivar wrong: what is wrong with it.
    :ivar instead: what to write instead.
    """

    path: str
    wrong: str
    instead: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f'{self.path}: {self.wrong}; {self.instead}'


Problems = tuple[DocumentProblem, ...]


def parse_document(text: str) -> Result[Document, Problems]:
    """Read a document from JSON text.

    :param text: the document as served or as written by an operator.
    :return: the document, or every problem found in it.
    """
    size = len(text.encode('utf-8', 'surrogatepass'))
    if size > MAXIMUM_DOCUMENT_BYTES:
        problem = DocumentProblem(
            path='$',
            wrong=f'the document has {size} bytes',
            instead=f'write at most {MAXIMUM_DOCUMENT_BYTES} bytes',
        )
        return Error((problem,))
    try:
        fields = json.loads(text, object_pairs_hook=_refuse_duplicates)
    except (ValueError, RecursionError) as error:
        problem = DocumentProblem(
            path='$',
            wrong=f'the text is not one JSON object: {error}',
            instead='write one JSON object',
        )
        return Error((problem,))
    problems = tuple(_find_schema_problems(fields))
    if problems:
        return Error(problems)
    document = cattrs.structure(fields, Document)
    problems = tuple(find_reference_problems(document))
    return Error(problems) if problems else Ok(document)


def digest_text(text: str) -> str:
    """Return the digest of a document's text, in hexadecimal."""
    encoded = text.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(encoded).hexdigest()


def find_reference_problems(document: Document) -> Iterator[DocumentProblem]:
    """Yield names that point at nothing."""
    domains = {one.name for one in document.failure_domains}
    services = {one.name for one in document.services}
    for number, organisation in enumerate(document.organisations):
        for name in organisation.services:
            if name not in services:
                yield DocumentProblem(
                    path=f'organisations[{number}].services',
                    wrong=f'there is no service named {name!r}',
                    instead='name a service of the document',
                )
    for at, service in enumerate(document.services):
        for spot, target in enumerate(service.targets):
            if target.failure_domain not in domains:
                yield DocumentProblem(
                    path=f'services[{at}].targets[{spot}].failure_domain',
                    wrong=f'unknown failure domain {target.failure_domain!r}',
                    instead='name a failure domain of the document',
                )


def _refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError('a key stands twice in one object')
    return fields


@functools.cache
def _find_validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(load_schema('document'))


def _find_schema_problems(
    fields: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    for error in _find_validator().iter_errors(fields):
        yield DocumentProblem(
            path=error.json_path,
            wrong=error.message[:300],
            instead='write what the document reference says for this field',
        )
