"""Server-sent events with one data line, a stream ID and an offset."""

from attrs import frozen

from trefoilhinge.core.numbers import parse_count

DONE_DATA = '[DONE]'


@frozen
class StreamEvent:
    """Event of a target's stream.

    :ivar stream_id: identifier of the stream, as reported by the target.
    :ivar offset: index of the event in its stream, from zero.
    :ivar data: content of the data line, unchanged.
    """

    stream_id: str
    offset: int
    data: str

    @property
    def is_finish_marker(self) -> bool:
        """Return whether the event marks the end of a complete response."""
        return self.data == DONE_DATA


def encode_event(event: StreamEvent) -> bytes:
    """Encode an event of a target's stream."""
    text = f'id: {event.stream_id}:{event.offset}\ndata: {event.data}\n\n'
    return text.encode('utf-8')


def encode_data(data: str) -> bytes:
    """Encode an event for a caller, without stream ID and offset."""
    return f'data: {data}\n\n'.encode()


def parse_event(block: bytes) -> StreamEvent | None:
    """Parse an event; return none if it has no valid ID or no data."""
    stream_id = ''
    offset: int | None = None
    data: str | None = None
    for line in block.decode('utf-8', 'replace').split('\n'):
        if line.startswith('id: '):
            stream_id, _, number = line[4:].rpartition(':')
            offset = parse_count(number)
        elif line.startswith('data: '):
            data = line[6:]
    if data is None or offset is None:
        return None
    return StreamEvent(stream_id, offset, data)
