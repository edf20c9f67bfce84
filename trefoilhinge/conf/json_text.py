"""Parses JSON text strictly, before it is validated against a schema."""

import json
import math
from collections.abc import Iterator
from typing import Any

from expression import Error, Ok, Result

from trefoilhinge.conf.problems import (
    ROOT,
    DocumentProblem,
    Problems,
    join_path,
    shorten_value,
)

MAXIMUM_DEPTH = 24
_BYTE_ORDER_MARK = '\ufeff'


class DuplicateKeysObject(dict[str, Any]):
    """JSON object with duplicate keys.

    :ivar duplicate_keys: keys that occur more than once.
    """

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        """Keep the last value of each key and record the duplicates."""
        super().__init__(pairs)
        seen: set[str] = set()
        self.duplicate_keys: set[str] = set()
        for name, _ in pairs:
            if name in seen:
                self.duplicate_keys.add(name)
            seen.add(name)


def decode_utf8(raw: bytes) -> Result[str, Problems]:
    """Decode bytes in UTF-8, or return the position of the first error."""
    try:
        return Ok(raw.decode('utf-8'))
    except UnicodeDecodeError as error:
        return _reject(
            f'byte {error.start} is not UTF-8',
            'save the document in UTF-8',
        )


def parse_json(text: str, maximum_bytes: int) -> Result[Any, Problems]:
    """Parse JSON text with finite numbers and without duplicate keys.

    :param maximum_bytes: maximum length of the text in UTF-8.
    :return: the value, or every problem of the text.
    """
    size = len(text.encode('utf-8', 'surrogatepass'))
    if size > maximum_bytes:
        return _reject(
            f'the text has {size} bytes, more than {maximum_bytes}',
            f'write at most {maximum_bytes} bytes',
        )
    if text.startswith(_BYTE_ORDER_MARK):
        return _reject(
            'the text begins with a byte order mark',
            'save the document as UTF-8 without a byte order mark',
        )
    try:
        fields = json.loads(text, object_pairs_hook=_make_object)
    except RecursionError:
        return _reject_depth(ROOT)
    except ValueError as error:
        return _reject(
            f'the text is not JSON: {error}'[:300],
            'write one JSON object',
        )
    problems = tuple(_find_problems(fields))
    return Error(problems) if problems else Ok(fields)


def _find_problems(value: Any) -> Iterator[DocumentProblem]:
    # An explicit stack, so that deep nesting cannot exhaust the interpreter's.
    pending: list[tuple[str, Any, int]] = [(ROOT, value, 0)]
    while pending:
        path, one, depth = pending.pop()
        if isinstance(one, float) and not math.isfinite(one):
            yield DocumentProblem(
                path,
                'the number is not finite',
                'write a finite number',
            )
        if not isinstance(one, dict | list):
            continue
        if depth >= MAXIMUM_DEPTH:
            yield from _reject_depth(path).error
            continue
        if isinstance(one, DuplicateKeysObject):
            yield from _find_duplicate_keys(path, one)
        pairs = one.items() if isinstance(one, dict) else enumerate(one)
        pending.extend(
            (join_path(path, step), inner, depth + 1)
            for step, inner in pairs
            if isinstance(inner, dict | list | float)
        )


def _find_duplicate_keys(
    path: str, value: DuplicateKeysObject
) -> Iterator[DocumentProblem]:
    for name in sorted(value.duplicate_keys):
        yield DocumentProblem(
            path,
            f'the key {shorten_value(name)} occurs more than once',
            'remove the duplicates',
        )


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    return fields if len(fields) == len(pairs) else DuplicateKeysObject(pairs)


def _reject_depth(path: str) -> Result[Any, Problems]:
    return _reject(
        f'the value is nested more than {MAXIMUM_DEPTH} levels deep',
        'write what the document reference shows for this field',
        path,
    )


def _reject(
    wrong: str, instead: str, path: str = ROOT
) -> Result[Any, Problems]:
    return Error((DocumentProblem(path, wrong, instead),))
