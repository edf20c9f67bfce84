"""Tags of holdings: who reserved them and for what, fit for a URL path."""

from attrs import frozen

from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    InstanceName,
    ReservationTag,
)

_SEPARATOR = '~'
_OWNER_SEPARATOR = ':'


@frozen
class ReadTag:
    """What a tag says.

    :ivar owner: incarnation that reserved the holding.
    :ivar attempt: text of the attempt that it serves.
    :ivar member: place of the engine in its group, from zero.
    """

    owner: InstanceIdentity
    attempt: str
    member: int


def make_tag(
    owner: InstanceIdentity,
    attempt: AttemptId,
    member: int,
) -> ReservationTag:
    """Return the tag of one member's holding."""
    parts = (owner.name, str(owner.incarnation), str(attempt), str(member))
    return ReservationTag(_SEPARATOR.join(parts))


def read_tag(tag: ReservationTag) -> ReadTag | None:
    """Read a tag; none if no instance of this project wrote it."""
    parts = tag.split(_SEPARATOR)
    if len(parts) != 4 or not (parts[1].isdigit() and parts[3].isdigit()):
        return None
    name, incarnation, attempt, member = parts
    owner = InstanceIdentity(InstanceName(name), int(incarnation))
    return ReadTag(owner, attempt, int(member))


def format_owner(owner: InstanceIdentity) -> str:
    """Return an owner as engines report it."""
    return f'{owner.name}{_OWNER_SEPARATOR}{owner.incarnation}'
