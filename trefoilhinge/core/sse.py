"""Server-sent events: one text line of data, with the offset it stands at."""

from attrs import frozen

DONE_DATA = '[DONE]'


@frozen
class StreamEvent:
    """One event of a target's stream.

    :ivar stream_id: stream that the target says it belongs to.
    :ivar offset: number of the event in its stream, from zero.
    :ivar data: data of the event, as sent.
    """

    stream_id: str
    offset: int
    data: str

    @property
    def is_finish_marker(self) -> bool:
        """Return whether this event says that the answer is whole."""
        return self.data == DONE_DATA


def encode_event(event: StreamEvent) -> bytes:
    """Return an event as it goes over the wire."""
    text = f'id: {event.stream_id}:{event.offset}\ndata: {event.data}\n\n'
    return text.encode('utf-8')


def encode_data(data: str) -> bytes:
    """Return an event for a caller, without stream and offset."""
    return f'data: {data}\n\n'.encode()


def parse_event(block: bytes) -> StreamEvent | None:
    """Read one event; none if it carries no identifier or no data."""
    stream_id = ''
    offset = -1
    data: str | None = None
    for line in block.decode('utf-8', 'replace').split('\n'):
        if line.startswith('id: '):
            stream_id, _, number = line[4:].rpartition(':')
            offset = int(number) if number.isdigit() else -1
        elif line.startswith('data: '):
            data = line[6:]
    if data is None or offset < 0:
        return None
    return StreamEvent(stream_id, offset, data)
