"""Connection that the answer to a call is read from."""

from attrs import define

from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.interfaces import AnswerStream
from trefoilhinge.targets.streams import ResponseBody


@define(eq=False)
class AnswerConnection:
    """Connection to a target or a peer that is being opened or read.

    :ivar target_connection: connection to the target or the peer, which can be
        closed at any stage.
    :ivar stream: stream of a target, ``None`` until it is open.
    :ivar body: response body of a peer, ``None`` until it is open.
    """

    target_connection: AbortableConnection
    stream: AnswerStream | None = None
    body: ResponseBody | None = None

    def close(self) -> None:
        """Close the connection; unblocks a thread that is opening it."""
        self.target_connection.close()
        if self.stream is not None:
            self.stream.close()
        if self.body is not None:
            self.body.close()
