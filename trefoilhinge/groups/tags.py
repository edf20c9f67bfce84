"""Tags of reservations: their owner and purpose, safe in URL paths."""

from attrs import frozen

from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    InstanceName,
    ReservationTag,
)
from trefoilhinge.core.numbers import parse_count

_SEPARATOR = '~'
_OWNER_SEPARATOR = ':'


@frozen
class ParsedTag:
    """Parts of a tag.

    :ivar owner: instance and incarnation that made the reservation.
    :ivar attempt: text form of the attempt that it serves.
    :ivar member: index of the engine in its group, from zero.
    """

    owner: InstanceIdentity
    attempt: str
    member: int


def make_tag(
    owner: InstanceIdentity,
    attempt: AttemptId,
    member: int,
) -> ReservationTag:
    """Return the tag of one member's reservation."""
    parts = (owner.name, str(owner.incarnation), str(attempt), str(member))
    return ReservationTag(_SEPARATOR.join(parts))


def parse_tag(tag: ReservationTag) -> ParsedTag | None:
    """Parse a tag; return ``None`` if it is not in this project's format."""
    parts = tag.split(_SEPARATOR)
    if len(parts) != 4:
        return None
    incarnation, member = parse_count(parts[1]), parse_count(parts[3])
    if incarnation is None or member is None:
        return None
    owner = InstanceIdentity(InstanceName(parts[0]), incarnation)
    return ParsedTag(owner, parts[2], member)


def format_owner(owner: InstanceIdentity) -> str:
    """Format an owner as engines report it."""
    return f'{owner.name}{_OWNER_SEPARATOR}{owner.incarnation}'
