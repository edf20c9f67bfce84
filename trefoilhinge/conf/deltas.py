"""Differences between two documents, small enough to tell every peer.

A document is taken apart by name: each organisation, each target and each
service is a part. A delta holds the parts that changed, and the digests of the
document it starts from and of the one it leads to, so that a wrong base or a
damaged delta cannot pass.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any

import cattrs
from attrs import define, field, frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.document import digest_text

MAXIMUM_DELTAS = 64
# Collections whose entries have names and whose order carries no meaning.
_COLLECTIONS = ('failure_domains', 'models', 'organisations', 'services')
_REMAINDER = 'rest'
# What joining parts raises where a delta was damaged.
_JOIN_ERRORS = (ValueError, LookupError, TypeError, AttributeError)

Fields = dict[str, Any]
PartName = tuple[str, str]
Parts = dict[PartName, str]


@frozen
class PartChange:
    """One part that a delta sets or removes.

    :ivar collection: collection it is in; ``targets/<service>`` for targets
        and ``rest`` for what stands outside of collections.
    :ivar name: name of the part.
    :ivar text: JSON text of the part, empty if it is removed.
    """

    collection: str
    name: str
    text: str


@frozen
class DocumentDelta:
    """What leads from one document to another.

    :ivar base: digest of the document it starts from.
    :ivar digest: digest of the document it leads to.
    :ivar changes: parts that differ.
    """

    base: str
    digest: str
    changes: tuple[PartChange, ...]


def canonicalise_text(text: str) -> str:
    """Return a document's text with every named collection in order of name.

    Two texts that say the same have the same canonical text, and so the same
    digest.

    :param text: JSON text of a valid document.
    """
    return join_parts(split_parts(text))


def make_delta(old: str, new: str) -> DocumentDelta:
    """Return what leads from one canonical text to another."""
    before = split_parts(old)
    after = split_parts(new)
    set_parts = [
        PartChange(*name, text)
        for name, text in after.items()
        if before.get(name) != text
    ]
    removed = [PartChange(*name, '') for name in before if name not in after]
    return DocumentDelta(
        digest_text(old),
        digest_text(new),
        (*set_parts, *removed),
    )


def apply_delta(text: str, delta: DocumentDelta) -> Result[str, str]:
    """Return the text that a delta leads to.

    :param text: canonical text of the document in force.
    :return: canonical text of the newer one, or why the delta does not fit.
    """
    if digest_text(text) != delta.base:
        return Error('the delta starts from another document')
    parts = split_parts(text)
    for change in delta.changes:
        name = (change.collection, change.name)
        if change.text:
            parts[name] = change.text
        else:
            parts.pop(name, None)
    try:
        new = join_parts(parts)
    except _JOIN_ERRORS as error:
        return Error(f'the delta cannot be applied: {error!r}')
    if digest_text(new) != delta.digest:
        return Error('the delta leads to another document than it says')
    return Ok(new)


def split_parts(text: str) -> Parts:
    """Return the parts of a document, each as JSON text."""
    fields = json.loads(text)
    parts: Parts = {}
    for collection in _COLLECTIONS:
        for one in fields.pop(collection, ()):
            parts.update(_split_entry(collection, one))
    parts[_REMAINDER, ''] = _dump(fields)
    return parts


def join_parts(parts: Mapping[PartName, str]) -> str:
    """Return the canonical text of a document of the given parts.

    :raises ValueError: a part is not JSON.
    :raises KeyError: a target belongs to no service, or the rest is missing.
    """
    fields: Fields = json.loads(parts[_REMAINDER, ''])
    services: dict[str, Fields] = {}
    targets: list[tuple[str, Fields]] = []
    for (collection, _), text in sorted(parts.items()):
        entry = json.loads(text)
        if collection.startswith('targets/'):
            targets.append((collection.partition('/')[2], entry))
        elif collection != _REMAINDER:
            fields.setdefault(collection, []).append(entry)
        if collection == 'services':
            services[entry['name']] = entry
    for service, target in targets:
        services[service].setdefault('targets', []).append(target)
    return _dump(fields)


def _split_entry(
    collection: str,
    entry: Fields,
) -> Iterator[tuple[PartName, str]]:
    if collection == 'services':
        rest = {key: one for key, one in entry.items() if key != 'targets'}
        for target in entry.get('targets', ()):
            name = f'targets/{entry["name"]}'
            yield (name, target['name']), _dump(target)
        entry = rest
    yield (collection, entry['name']), _dump(entry)


def _dump(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(',', ':'))


@define
class DeltaHistory:
    """Deltas between the documents that were in force here, oldest first."""

    _deltas: list[DocumentDelta] = field(factory=list)

    def append_change(self, old: str, new: str) -> None:
        """Take that one canonical text followed another."""
        if old:
            self.append_deltas((make_delta(old, new),))

    def append_deltas(self, deltas: tuple[DocumentDelta, ...]) -> None:
        """Take deltas that led to the document now in force."""
        self._deltas.extend(deltas)
        del self._deltas[:-MAXIMUM_DELTAS]

    def find_chain(self, base: str) -> tuple[DocumentDelta, ...]:
        """Return the deltas that lead from a digest to the document in force.

        :return: the deltas in order; empty if the digest is not remembered.
        """
        for number, delta in enumerate(self._deltas):
            if delta.base == base:
                return tuple(self._deltas[number:])
        return ()


def encode_deltas(deltas: tuple[DocumentDelta, ...]) -> str:
    """Return deltas as JSON text."""
    return json.dumps(cattrs.unstructure(deltas), separators=(',', ':'))


def decode_deltas(text: str) -> Result[tuple[DocumentDelta, ...], str]:
    """Read deltas from JSON text."""
    try:
        fields = json.loads(text)
        return Ok(cattrs.structure(fields, tuple[DocumentDelta, ...]))
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        return Error(f'the deltas cannot be read: {error}')
    except TypeError as error:
        return Error(f'the deltas are not a list: {error}')
