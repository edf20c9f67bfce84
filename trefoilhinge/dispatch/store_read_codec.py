"""Encoding of reads of the store that a reader tells the other instances."""

import msgpack
from attrs import astuple, evolve, frozen

from trefoilhinge.dispatch.evacuation_codec import (
    MAXIMUM_REVISION,
    decode_mark,
    list_mark_fields,
)
from trefoilhinge.dispatch.evacuations import DomainMark
from trefoilhinge.dispatch.message_checks import check_range
from trefoilhinge.dispatch.targets import TargetRecord

STORE_READ_KIND = 'sr'
TARGET_KIND = 't'
REMOVAL_KIND = 'r'
MAXIMUM_CHANGES_BYTES = 1_300  # leaves 100 bytes of a packet for the rest
# A read of more parts is not told; whoever misses it reads the store itself.
MAXIMUM_PARTS = 16


@frozen
class TargetRemoved:
    """The entry of a target was removed.

    :ivar revision: revision of the removal.
    """

    name: str
    revision: int


StoreChange = TargetRecord | TargetRemoved | DomainMark


@frozen
class StoreRead:
    """A read of the store by another instance, or a part of it.

    :ivar before: revision after which it was read.
    :ivar after: revision up to which it has all changes.
    :ivar age_s: seconds since the store answered, at the time of sending.
    :ivar version: version of the sender's document.
    :ivar changes: changes of targets and marks, in the order of revisions.
    :ivar part: number of this part, from zero.
    :ivar parts: number of parts of the read.
    """

    before: int
    after: int
    age_s: float
    version: int
    changes: tuple[StoreChange, ...] = ()
    part: int = 0
    parts: int = 1


def split_read(read: StoreRead) -> list[StoreRead]:
    """Return the parts of a read, each of which fits one datagram.

    :return: none if there are more than ``MAXIMUM_PARTS``, or if a change
        does not fit.
    """
    groups: list[list[StoreChange]] = [[]]
    free_bytes = MAXIMUM_CHANGES_BYTES
    for change in read.changes:
        size = len(msgpack.packb(_list_change(change)))
        if size > MAXIMUM_CHANGES_BYTES:
            return []
        if size > free_bytes:
            groups.append([])
            free_bytes = MAXIMUM_CHANGES_BYTES
        free_bytes -= size
        groups[-1].append(change)
    if len(groups) > MAXIMUM_PARTS:
        return []
    return [
        evolve(read, changes=tuple(group), part=number, parts=len(groups))
        for number, group in enumerate(groups)
    ]


def list_store_read_fields(read: StoreRead) -> list[object]:
    """Return the fields of a read, the first one its kind."""
    return [
        STORE_READ_KIND,
        read.before,
        read.after,
        read.age_s,
        read.version,
        read.part,
        read.parts,
        [_list_change(change) for change in read.changes],
    ]


def decode_store_read(fields: object) -> StoreRead:
    """Decode the fields of a read.

    :raises TypeError: a field of a target is of unexpected type.
    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case [
            str(_),
            int(before),
            int(after),
            int() | float() as age_s,
            int(version),
            int(part),
            int(parts),
            list(changes),
        ]:
            read = StoreRead(
                before,
                after,
                check_range(age_s),
                version,
                tuple(_decode_change(change) for change in changes),
                part,
                parts,
            )
        case _:
            raise ValueError('read of the store with unexpected fields')
    _check_numbers(read)
    return read


def _check_numbers(read: StoreRead) -> None:
    if read.before < 0 or not read.before <= read.after <= MAXIMUM_REVISION:
        raise ValueError(f'revisions {read.before} to {read.after}')
    if not 0 <= read.version <= MAXIMUM_REVISION:
        raise ValueError(f'version out of range: {read.version}')
    if read.parts > MAXIMUM_PARTS or not 0 <= read.part < read.parts:
        raise ValueError(f'part {read.part} of {read.parts}')
    for change in read.changes:
        if not read.before < change.revision <= read.after:
            raise ValueError(f'change at the revision {change.revision}')


def _list_change(change: StoreChange) -> list[object]:
    match change:
        case TargetRecord():
            return [TARGET_KIND, *astuple(change)]
        case TargetRemoved(name, revision):
            return [REMOVAL_KIND, name, revision]
        case DomainMark():
            return list_mark_fields(change)


def _decode_change(fields: object) -> StoreChange:
    match fields:
        case [
            't',
            str(name),
            str(service),
            str(address),
            str(domain),
            int(slots),
            bool(is_leaving),
            int(started_ms),
            int(sequence),
            int(revision),
            int() | float() as cold_s,
        ]:
            return TargetRecord(
                name,
                service,
                address,
                domain,
                slots,
                is_leaving,
                started_ms,
                sequence,
                revision,
                check_range(cold_s),
            )
        case ['r', str(name), int(revision)]:
            return TargetRemoved(name, revision)
        case ['v', *_]:
            return decode_mark(fields)
    raise ValueError('change of the store with unexpected fields')
