"""Splitting of a server-sent event stream into complete events."""

from attrs import define, frozen

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


@frozen
class StreamEvent:
    """One complete event.

    :ivar number: value of its ``id`` field, none if it is not an integer.
    :ivar content: its bytes, including the blank line that ends it.
    """

    number: int | None
    content: bytes


@define
class EventSplitter:
    """Split the bytes of a stream into complete events.

    An incomplete event is held back until the rest of it arrives, so that a
    stream that breaks off yields no part of an event.

    :ivar remainder: bytes after the last complete event.
    """

    remainder: bytes = b''

    def split(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete."""
        texts = (self.remainder + chunk).split(_SEPARATOR)
        self.remainder = texts.pop()
        return [
            StreamEvent(_read_number(text), text + _SEPARATOR) for text in texts
        ]


def _read_number(text: bytes) -> int | None:
    for line in text.split(b'\n'):
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
