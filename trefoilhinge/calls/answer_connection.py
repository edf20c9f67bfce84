"""The one connection that a call's answer is read from."""

from attrs import define

from trefoilhinge.targets.interfaces import AnswerStream
from trefoilhinge.targets.links import Link
from trefoilhinge.targets.streams import ResponseBytes


@define(eq=False)
class AnswerConnection:
    """A connection that is being opened or read.

    :ivar link: breaks the connection at any stage.
    :ivar stream: stream of a target, once it is open.
    :ivar body: body of another instance's answer, once it is open.
    """

    link: Link
    stream: AnswerStream | None = None
    body: ResponseBytes | None = None

    def close(self) -> None:
        """Break the connection; whoever opens it wakes."""
        self.link.close()
        if self.stream is not None:
            self.stream.close()
        if self.body is not None:
            self.body.close()
