"""A bound on what frames the content of a response."""

import h11
from attrs import define

from trefoilhinge.chunked_bodies import CHUNK_FRAMING_BYTES

# Of the extensions of chunks and the trailers, and of what was received and is
# not parsed yet.
MAXIMUM_FRAMING_BYTES = 131_072


@define
class ResponseFraming:
    """Counts what is received of one content beside the content itself.

    A limit on the content alone never ends chunks of a byte whose extensions
    are long.
    """

    _left_bytes: int = MAXIMUM_FRAMING_BYTES

    def is_exceeded(self, event: object, read_bytes: int) -> bool:
        """Count an event of the parser; return whether the bound is exceeded.

        :param read_bytes: bytes that were received for it.
        """
        self._left_bytes -= read_bytes
        if isinstance(event, h11.Data):
            self._left_bytes += len(event.data)
            self._left_bytes += event.chunk_start * CHUNK_FRAMING_BYTES
        return self._left_bytes < 0
