"""Explains violations of a JSON Schema and how to correct them."""

import difflib
import functools
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import jsonschema
from jsonschema.exceptions import ValidationError

from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.problems import (
    ROOT,
    DocumentProblem,
    join_path,
    shorten_value,
)

Explainer = Callable[[Any], tuple[str, str]]

_TYPE_NAMES: Mapping[str, str] = {
    'array': 'a list',
    'boolean': 'true or false',
    'integer': 'a whole number without a decimal point',
    'null': 'null',
    'number': 'a number',
    'object': 'an object',
    'string': 'a string in quotes',
}


def find_violations(module: str, fields: Any) -> tuple[DocumentProblem, ...]:
    """Return every violation of a schema, in document order.

    :param module: name of the schema's module, such as ``document``.
    :param fields: parsed JSON.
    """
    problems: dict[DocumentProblem, None] = {}
    for error in _make_validator(module).iter_errors(fields):
        problems.update(dict.fromkeys(_explain(error)))
    return tuple(problems)


def compile_pattern(pattern: str) -> re.Pattern[str]:
    """Compile a schema's pattern so that ``$`` only matches at the end.

    In Python ``$`` also matches before a trailing newline.
    """
    if pattern.endswith('$'):
        pattern = rf'{pattern[:-1]}\Z'
    return re.compile(pattern)


def _check_pattern(
    validator: Any,
    pattern: str,
    instance: Any,
    schema: Mapping[str, Any],
) -> Iterator[ValidationError]:
    if isinstance(instance, str):
        if compile_pattern(pattern).search(instance) is None:
            yield ValidationError('does not match its pattern')


def _is_integer(checker: Any, instance: Any) -> bool:
    return isinstance(instance, int) and not isinstance(instance, bool)


@functools.cache
def _make_validator(module: str) -> Any:
    base = jsonschema.Draft202012Validator
    strict = jsonschema.validators.extend(
        base,
        validators={'pattern': _check_pattern},
        type_checker=base.TYPE_CHECKER.redefine('integer', _is_integer),
    )
    return strict(load_schema(module))


def _explain(error: Any) -> Iterator[DocumentProblem]:
    path = functools.reduce(join_path, error.absolute_path, ROOT)
    keyword = str(error.validator)
    if keyword == 'additionalProperties':
        yield from _explain_unknown(path, error)
    elif keyword == 'required':
        yield from _explain_missing(path, error)
    elif keyword == 'anyOf':
        yield from _explain_choices(path, error)
    else:
        explain = _EXPLAINERS.get(keyword, _explain_other)
        yield DocumentProblem(path, *explain(error))


def _explain_unknown(
    path: str,
    error: Any,
) -> Iterator[DocumentProblem]:
    known = list(error.schema['properties'])
    for name in error.instance:
        if name in known:
            continue
        closest = difflib.get_close_matches(name, known, 1)
        instead = f'remove it; the known fields are {", ".join(known)}'
        if closest:
            instead = f'write "{closest[0]}", or remove it'
        wrong = f'there is no field named {shorten_value(name)}'
        yield DocumentProblem(path, wrong, instead)


def _explain_missing(
    path: str,
    error: Any,
) -> Iterator[DocumentProblem]:
    for name in error.validator_value:
        if name not in error.instance:
            description = error.schema['properties'][name].get(
                'description', ''
            )
            yield DocumentProblem(
                join_path(path, name),
                'the field is missing',
                f'write "{name}": {description}'.rstrip('.'),
            )


def _explain_choices(
    path: str,
    error: Any,
) -> Iterator[DocumentProblem]:
    for inner in error.context or ():
        # The first alternative describes the value; the other allows null.
        if inner.schema_path[0] == 0:
            yield from _explain(inner)


def _explain_type(error: Any) -> tuple[str, str]:
    type_name = _TYPE_NAMES[error.validator_value]
    return (
        f'{shorten_value(error.instance)} is not {type_name}',
        f'write {type_name}',
    )


def _explain_enum(error: Any) -> tuple[str, str]:
    choices = [str(one) for one in error.validator_value]
    closest = difflib.get_close_matches(str(error.instance), choices, 1)
    wrong = f'{shorten_value(error.instance)} is not one of the choices'
    if closest:
        return wrong, f'write "{closest[0]}"'
    quoted = ', '.join(f'"{one}"' for one in choices)
    return wrong, f'write one of {quoted}'


def _explain_pattern(error: Any) -> tuple[str, str]:
    expected_format = error.schema.get(
        '$comment', f'a string that matches {error.validator_value}'
    )
    examples = error.schema.get('examples', ())
    example_text = f', such as "{examples[0]}"' if examples else ''
    wrong = f'{shorten_value(error.instance)} does not have the required format'
    return wrong, f'write {expected_format}{example_text}'


def _explain_bound(template: str) -> Explainer:
    def explain(error: Any) -> tuple[str, str]:
        bound = error.validator_value
        wrong = f'{shorten_value(error.instance)} is out of range'
        return wrong, f'write a number {template.format(bound)}'

    return explain


def _explain_length(template: str) -> Explainer:
    def explain(error: Any) -> tuple[str, str]:
        wrong = f'the length is {len(error.instance)}'
        return wrong, f'write {template.format(error.validator_value)}'

    return explain


def _explain_other(error: Any) -> tuple[str, str]:
    message = error.message[:200]
    return message, 'write what the document reference shows for this field'


_EXPLAINERS: Mapping[str, Explainer] = {
    'type': _explain_type,
    'enum': _explain_enum,
    'pattern': _explain_pattern,
    'minimum': _explain_bound('of at least {}'),
    'maximum': _explain_bound('of at most {}'),
    'exclusiveMinimum': _explain_bound('above {}'),
    'minItems': _explain_length('at least {} items'),
    'maxItems': _explain_length('at most {} items'),
    'maxLength': _explain_length('at most {} characters'),
}
