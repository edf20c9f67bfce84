"""Events of a stream: whole ones pass, a torn one is dropped."""

from attrs import define, frozen

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


@frozen
class StreamEvent:
    """One whole event.

    :ivar number: its identifier, none if it has no whole number.
    :ivar content: its bytes with the blank line that ends it.
    """

    number: int | None
    content: bytes


@define
class EventSplitter:
    """Cuts a stream's bytes into events.

    :ivar rest: bytes after the last whole event.
    """

    remainder: bytes = b''

    def split(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are whole with these bytes."""
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
