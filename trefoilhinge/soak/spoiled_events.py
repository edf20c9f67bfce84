"""Events of streams whose numbers are wrong."""

import enum
import zlib
from collections.abc import Iterator

from attrs import frozen

from trefoilhinge.soak.records import make_event

ID_FIELD = b'id: '


class Spoiling(enum.Enum):
    """What stands in place of the number of an event."""

    larger = 'larger'
    unreadable = 'unreadable'
    smaller = 'smaller'
    missing = 'missing'


# What a gateway can find wrong in the first event before a caller has it.
_OF_FIRST = (Spoiling.larger, Spoiling.unreadable)


@frozen
class SpoiledEvent:
    """The event of a stream whose number is wrong.

    :ivar number: its right number, from one.
    :ivar excess: by how much a larger number is too large.
    """

    number: int
    spoiling: Spoiling
    excess: int = 1

    def spoil(self, event: bytes) -> bytes:
        """Return the event with a wrong number."""
        _, _, rest = event.partition(b'\n')
        match self.spoiling:
            case Spoiling.larger:
                return b'%b%d\n%b' % (ID_FIELD, self.number + self.excess, rest)
            case Spoiling.smaller:
                return b'%b%d\n%b' % (ID_FIELD, self.number - 2, rest)
            case Spoiling.unreadable:
                return b'%b>\n%b' % (ID_FIELD, rest)
            case Spoiling.missing:
                return rest


def choose_spoiled_event(
    request_id: str, events: int, excess: int = 1
) -> SpoiledEvent:
    """Choose the spoiled event of a stream by the identifier of its call.

    :param events: number of events of the stream.
    :param excess: by how much a larger number is too large.
    """
    drawn = zlib.crc32(request_id.encode())
    number = 1 + drawn % events
    choices = _OF_FIRST if number == 1 else tuple(Spoiling)
    spoiling = choices[drawn // events % len(choices)]
    return SpoiledEvent(number, spoiling, excess)


def make_writes(
    request_id: str, numbers: range, spoiled: SpoiledEvent | None
) -> Iterator[tuple[int, bytes]]:
    """Yield the writes of a stream, each with the number of its last event.

    The event before a spoiled one is written with it, so that both arrive in
    one read.
    """
    unwritten = b''
    for number in numbers:
        event = make_event(request_id, number)
        if spoiled is not None and number == spoiled.number:
            event = spoiled.spoil(event)
        unwritten += event
        if spoiled is None or number != spoiled.number - 1:
            yield number, unwritten
            unwritten = b''
