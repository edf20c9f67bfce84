"""Splitting of a server-sent event stream into complete events."""

from attrs import define, frozen

from trefoilhinge.core.numbers import parse_count

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id'
_DATA_FIELD = b'data'


@frozen
class StreamEvent:
    """One complete event.

    :ivar number: value of its ``id`` field, none if it has no number.
    :ivar content: its bytes, including the blank line that ends it.
    :ivar is_malformed: whether its ``id`` field is no decimal number, or comes
        more than once.
    :ivar is_comment: whether it has neither ``id`` nor ``data``, and so is no
        event of the stream.
    """

    number: int | None
    content: bytes
    is_malformed: bool = False
    is_comment: bool = False


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
        return [_read_event(text) for text in texts]


def _read_event(text: bytes) -> StreamEvent:
    """Read the fields of an event (WHATWG HTML, section 9.2.6)."""
    ids = []
    has_data = False
    for line in text.split(b'\n'):
        name, _, value = line.partition(b':')
        if name == _ID_FIELD:
            ids.append(value.strip())
        elif name == _DATA_FIELD:
            has_data = True
    number = _parse_number(ids[0]) if len(ids) == 1 else None
    return StreamEvent(
        number,
        text + _SEPARATOR,
        is_malformed=bool(ids) and number is None,
        is_comment=not ids and not has_data,
    )


def parse_last_event(value: bytes | None) -> int | None:
    """Parse the number of the event after which a caller asks for a stream.

    :param value: value of the header; an empty one asks for the whole stream
        (WHATWG HTML, section 9.2.4).
    :raises ValueError: it is no event number. To begin anew would repeat what
        the caller has.
    """
    if not value:
        return None
    number = _parse_number(value)
    if number is None:
        raise ValueError(f'last-event-id is no event number: {value[:40]!r}')
    return number


def _parse_number(value: bytes) -> int | None:
    return parse_count(value.decode('latin-1'))
