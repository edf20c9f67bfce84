"""Commands that check and compare configuration documents."""

import json
import sys

from attrs import asdict
from expression import Result

from trefoilhinge.client.arguments import parse_choice
from trefoilhinge.client.exit_codes import EXIT_ERROR, EXIT_SUCCESS
from trefoilhinge.conf.deprecations import find_deprecations
from trefoilhinge.conf.differences import describe_differences
from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.document_files import read_text_file
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.keys import generate_key
from trefoilhinge.conf.problems import Problems

FORMATS = ('text', 'json')


def check_document(file: str, output_format: str) -> int:
    """Check a document and print its problems.

    :param file: path of the document.
    :param output_format: ``text`` for one line per problem, ``json`` for one
        object.
    :return: exit code.
    """
    parse_choice(output_format, 'format', FORMATS)
    text = read_text_file(file)
    parsed = text.bind(parse_document)
    if output_format == 'json':
        print(json.dumps(_make_check_report(file, parsed), indent=2))
    elif parsed.is_ok():
        print(f'{file}: revision {parsed.ok.revision} is valid')
        _print_deprecations(file, text.ok)
    else:
        _print_problems(file, parsed.error)
    return EXIT_SUCCESS if parsed.is_ok() else EXIT_ERROR


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
        parsed = read_text_file(file).bind(parse_document)
        if parsed.is_error():
            _print_problems(file, parsed.error)
            return EXIT_ERROR
        documents.append(parsed.ok)
    lines = describe_differences(*documents)
    if output_format == 'json':
        print(json.dumps({'differences': lines}, indent=2))
    else:
        print('\n'.join(lines) or 'The documents say the same.')
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


def _make_check_report(
    file: str,
    parsed: Result[Document, Problems],
) -> dict[str, object]:
    problems: Problems = parsed.error if parsed.is_error() else ()
    return {
        'file': file,
        'valid': parsed.is_ok(),
        'revision': parsed.ok.revision if parsed.is_ok() else None,
        'problems': [asdict(problem) for problem in problems],
    }


def _print_problems(file: str, problems: Problems) -> None:
    for problem in problems:
        print(f'{file}: {problem}', file=sys.stderr)


def _print_deprecations(file: str, text: str) -> None:
    schema = load_schema('document')
    definitions = schema['$defs']
    for deprecation in find_deprecations(json.loads(text), schema, definitions):
        print(f'{file}: {deprecation}', file=sys.stderr)
