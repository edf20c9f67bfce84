"""Encoding of the marks of evacuated failure domains between instances."""

from typing import Any

from trefoilhinge.dispatch.evacuations import (
    MAXIMUM_DOMAIN_LENGTH,
    DomainMark,
    EvacuationTable,
)

EVACUATION_KIND = 'v'
MAXIMUM_REVISION = 2**63 - 1


def list_mark_fields(mark: DomainMark) -> list[object]:
    """Return the fields of an announcement, the first one its kind."""
    return [EVACUATION_KIND, mark.domain, mark.is_evacuated, mark.revision]


def decode_mark(fields: object) -> DomainMark:
    """Decode the fields of an announcement.

    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case [str(_), str(domain), bool(is_evacuated), int(revision)]:
            mark = DomainMark(domain, is_evacuated, revision)
        case _:
            raise ValueError('mark of a failure domain with unexpected fields')
    if not 0 < len(domain) <= MAXIMUM_DOMAIN_LENGTH:
        raise ValueError(f'name of a failure domain of length {len(domain)}')
    if not 0 <= revision <= MAXIMUM_REVISION:
        raise ValueError(f'revision out of range: {revision}')
    return mark


def describe_evacuations(table: EvacuationTable) -> dict[str, Any]:
    """Return the marks as JSON fields, and up to where they are complete."""
    return {
        'revision': table.complete_revision,
        'marks': [list_mark_fields(mark) for mark in table.list_known()],
    }


def parse_evacuations(fields: Any) -> tuple[list[DomainMark], int]:
    """Parse what ``describe_evacuations`` returned.

    :return: the marks, and the revision up to which they are complete.
    :raises KeyError: a field is missing.
    :raises ValueError: a field is of unexpected value.
    """
    revision = int(fields['revision'])
    if not 0 <= revision <= MAXIMUM_REVISION:
        raise ValueError(f'revision out of range: {revision}')
    return [decode_mark(mark) for mark in fields['marks']], revision
