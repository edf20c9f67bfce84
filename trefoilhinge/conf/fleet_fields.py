"""Finds fields of a platform's document that its decoder does not read.

A misspelt optional field has no effect, and the decoder does not reject it. A
field is read if the decoded document depends on its value.
"""

import copy
import json
from collections.abc import Iterator, Mapping
from typing import Any

from trefoilhinge.conf.fleet_entries import (
    Decode,
    Fields,
    isolate_entries,
)
from trefoilhinge.conf.problems import ROOT, join_path

# Whatever a field means, one of these gives another document or an error.
_PROBES: tuple[Any, ...] = (None, True, 7919.5, 'probe', [], {}, [7919], 0)
_ANY_INDEX = '[*]'
_MAXIMUM_SAME_FIELDS = 50  # entries in which a field that is not read is probed

Steps = tuple[str | int, ...]


def find_unread_fields(fields: Fields, decode: Decode) -> Mapping[str, str]:
    """Return the first path of each field that is read in no entry.

    :param fields: parsed JSON that the decoder accepts.
    :return: path with ``[*]`` for any index -> path of the first such field.
    """
    first: dict[str, str] = {}
    probed: dict[str, int] = {}
    read: set[str] = set()
    for prefix, index, alone in _list_parts(fields):
        for steps in _list_members(alone, prefix):
            name = _join(steps, None)
            if name in read or probed.get(name, 0) >= _MAXIMUM_SAME_FIELDS:
                continue
            probed[name] = probed.get(name, 0) + 1
            if _is_read(alone, steps, decode):
                read.add(name)
            else:
                first.setdefault(name, _join(steps, index))
    unread = {name: first[name] for name in first if name not in read}
    return {
        name: path
        for name, path in unread.items()
        if not any(name.startswith(f'{outer}.') for outer in unread)
        and not any(name.startswith(f'{outer}[') for outer in unread)
    }


def _list_parts(fields: Fields) -> Iterator[tuple[Steps, int, Fields]]:
    for member, index, alone in isolate_entries(fields):
        yield (member, 0), index, alone
    yield (), 0, fields


def _list_members(alone: Fields, prefix: Steps) -> Iterator[Steps]:
    value: Any = alone
    for step in prefix:
        value = value[step]
    pending: list[tuple[Steps, Any]] = [(prefix, value)]
    while pending:
        steps, one = pending.pop()
        if isinstance(one, dict):
            for member, inner in one.items():
                yield (*steps, member)
                pending.append(((*steps, member), inner))
        elif isinstance(one, list) and one and len(steps) > 1:
            # Of a list at the top, each entry is a part of its own.
            pending.append(((*steps, 0), one[0]))


def _is_read(alone: Fields, steps: Steps, decode: Decode) -> bool:
    decoded = decode(json.dumps(alone).encode())
    if decoded.is_error():
        return True
    for probe in _PROBES:
        changed = copy.deepcopy(dict(alone))
        _replace(changed, steps, probe)
        other = decode(json.dumps(changed).encode())
        if other.is_error() or other.ok != decoded.ok:
            return True
    return False


def _replace(fields: dict[str, Any], steps: Steps, value: object) -> None:
    *outer, last = steps
    inner: Any = fields
    for step in outer:
        inner = inner[step]
    inner[last] = value


def _join(steps: Steps, index: int | None) -> str:
    """Return a path whose entry has the given index, or any if it is none."""
    path = ROOT
    is_entry = True
    for step in steps:
        if isinstance(step, str):
            path = join_path(path, step)
        elif index is None:
            path = f'{path}{_ANY_INDEX}'
        else:
            path = join_path(path, index if is_entry else step)
            is_entry = False
    return path
