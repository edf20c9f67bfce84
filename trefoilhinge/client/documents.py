"""Commands that check and compare configuration documents."""

import json
import sys
from typing import Any

from attrs import asdict, frozen
from expression import Result

from trefoilhinge.client.arguments import parse_choice
from trefoilhinge.client.exit_codes import (
    EXIT_ERROR,
    EXIT_PROBLEM_FOUND,
    EXIT_SUCCESS,
)
from trefoilhinge.conf.checked_documents import (
    CheckedDocument,
    check_beside_settings,
    compare_checked_documents,
    parse_checked_document,
)
from trefoilhinge.conf.checks import Severity
from trefoilhinge.conf.deprecations import find_deprecations
from trefoilhinge.conf.document_files import read_text_file
from trefoilhinge.conf.findings.registry import Findings
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.keys import generate_key
from trefoilhinge.conf.problems import Problems
from trefoilhinge.gateway.settings_files import read_settings
from trefoilhinge.platform.documents import decode_document

FORMATS = ('text', 'json')
NO_DIFFERENCES = 'The documents say the same.'


@frozen
class _Check:
    """Result of a check.

    :ivar file: path of the file that the problems are in.
    :ivar problems: why it cannot be decoded.
    :ivar differences: none if there is nothing to compare with.
    """

    file: str
    problems: Problems = ()
    document: CheckedDocument | None = None
    findings: Findings = ()
    differences: list[str] | None = None

    def find_exit_code(self) -> int:
        """Return the exit code; warnings alone are no problem."""
        if self.document is None:
            return EXIT_ERROR
        has_errors = any(
            one.severity is Severity.ERROR for one in self.findings
        )
        return EXIT_PROBLEM_FOUND if has_errors else EXIT_SUCCESS


def check_document(
    file: str, output_format: str, against: str = '', settings: str = ''
) -> int:
    """Check a document and print what was found.

    :param file: path of the document, of the product's or the platform's form.
    :param output_format: ``text`` for one line per problem, ``json`` for one
        object.
    :param against: path of the document in force; empty if there is nothing
        to compare with.
    :param settings: path of the settings file of a gateway instance; empty
        checks the document alone.
    :return: exit code.
    :raises ImproperlyConfigured: the settings cannot be read or decoded.
    """
    parse_choice(output_format, 'format', FORMATS)
    check = _run_check(file, against, settings)
    if output_format == 'json':
        print(json.dumps(_make_check_report(check), indent=2))
    elif check.document is None:
        _print_problems(check.file, check.problems)
    else:
        _print_check(check, check.document)
    return check.find_exit_code()


def compare_documents(old: str, new: str, output_format: str) -> int:
    """Print the differences between two documents.

    :param old: path of the document before the change.
    :param new: path of the document after the change.
    :param output_format: ``text`` or ``json``.
    :return: exit code.
    """
    parse_choice(output_format, 'format', FORMATS)
    documents = []
    for file in (old, new):
        parsed = _read(file)
        if parsed.is_error():
            _print_problems(file, parsed.error)
            return EXIT_ERROR
        documents.append(parsed.ok)
    compared = compare_checked_documents(*documents)
    if compared.is_error():
        _print_problems(new, compared.error)
        return EXIT_ERROR
    lines = compared.ok.differences
    if output_format == 'json':
        print(json.dumps({'differences': lines}, indent=2))
    else:
        print('\n'.join(lines) or NO_DIFFERENCES)
    return EXIT_SUCCESS


def print_new_key() -> int:
    """Print a new API key and its entry for the document."""
    new_key = generate_key()
    print(
        f'Give this key to the organisation; it is shown once:\n{new_key.key}\n'
    )
    print("Add this to the organisation's keys:")
    print(json.dumps(asdict(new_key.entry), indent=2))
    return EXIT_SUCCESS


def _read(file: str) -> Result[CheckedDocument, Problems]:
    return read_text_file(file).bind(
        lambda text: parse_checked_document(text, decode_document)
    )


def _run_check(file: str, against: str, settings: str) -> _Check:
    parsed = _read(file)
    if settings:
        decoded = read_settings(settings)
        parsed = parsed.bind(lambda one: check_beside_settings(one, decoded))
    if parsed.is_error():
        return _Check(file, parsed.error)
    document = parsed.ok
    if not against:
        return _Check(file, (), document, document.findings)
    old = _read(against)
    if old.is_error():
        return _Check(against, old.error)
    compared = compare_checked_documents(old.ok, document)
    if compared.is_error():
        return _Check(file, compared.error)
    comparison = compared.ok
    return _Check(
        file, (), document, comparison.findings, comparison.differences
    )


def _make_check_report(check: _Check) -> dict[str, object]:
    document = check.document
    report: dict[str, object] = {
        'file': check.file,
        'valid': check.find_exit_code() == EXIT_SUCCESS,
        'revision': document.revision if document else None,
        'problems': [asdict(problem) for problem in check.problems],
        'findings': [asdict(finding) for finding in check.findings],
    }
    if check.differences is not None:
        report['differences'] = check.differences
    return report


def _print_check(check: _Check, document: CheckedDocument) -> None:
    is_valid = check.find_exit_code() == EXIT_SUCCESS
    verdict = 'is valid' if is_valid else 'can be read, but has errors'
    print(f'{check.file}: revision {document.revision} {verdict}')
    if not document.is_of_platform:
        _print_deprecations(check.file, document.fields)
    for finding in check.findings:
        print(f'{check.file}: {finding}')
    if check.differences is not None:
        print('\n'.join(check.differences) or NO_DIFFERENCES)


def _print_problems(file: str, problems: Problems) -> None:
    for problem in problems:
        print(f'{file}: {problem}', file=sys.stderr)


def _print_deprecations(file: str, fields: Any) -> None:
    schema = load_schema('document')
    definitions = schema['$defs']
    for deprecation in find_deprecations(fields, schema, definitions):
        print(f'{file}: {deprecation}', file=sys.stderr)
