"""Encoding of the announcements of cold targets between instances."""

from attrs import frozen

from trefoilhinge.dispatch.message_checks import check_range

COLD_KIND = 'h'


@frozen
class TargetCold:
    """A target turned cold.

    :ivar cold_s: seconds for which it stays cold.
    """

    name: str
    started_ms: int
    cold_s: float


def list_cold_fields(message: TargetCold) -> list[object]:
    """Return the fields of an announcement, the first one its kind."""
    return [COLD_KIND, message.name, message.started_ms, message.cold_s]


def decode_cold_message(fields: object) -> TargetCold:
    """Decode the fields of an announcement.

    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case [str(_), str(name), int(started_ms), int() | float() as cold_s]:
            return TargetCold(name, started_ms, check_range(cold_s))
        case _:
            raise ValueError('cold target with unexpected fields')
