"""Fault injection for a stand-in engine."""

import threading

from attrs import define, field


@define
class EngineFaults:
    """Faults of one engine; all are off by default.

    :ivar refuse: refuse calls with proof that they were not started.
    :ivar stall: accept and run a call, but never send the response headers.
    :ivar silent_after: number of events after which nothing more is sent on
        the open connection; connections that resume the stream are not
        affected.
    :ivar truncate_after: number of events after which the response is ended
        cleanly; connections that resume the stream are not affected.
    :ivar cut_after: number of events after which the connection is reset;
        connections that resume the stream are not affected.
    :ivar wrong_stream_id: send events with the ID of another stream.
    :ivar forgets_streams: report every stream as unknown when it is queried
        or resumed.
    :ivar dead: reset every connection without a response.
    :ivar released: set to let stalled connections end.
    """

    refuse: bool = False
    stall: bool = False
    silent_after: int | None = None
    truncate_after: int | None = None
    cut_after: int | None = None
    wrong_stream_id: bool = False
    forgets_streams: bool = False
    dead: bool = False
    released: threading.Event = field(factory=threading.Event)

    def apply_before_event(self, offset: int, resumed: bool) -> None:
        """Inject the fault that is due before an event is sent.

        :param offset: offset of the event that is sent next.
        :param resumed: whether the connection resumes a stream.
        :raises ConnectionResetError: if the connection is to be reset.
        """
        if self.silent_after == offset and not resumed:
            self.wait_for_release()
        if self.dead or (self.cut_after == offset and not resumed):
            raise ConnectionResetError(
                f'connection reset by an injected fault at event {offset}'
            )

    def wait_for_release(self) -> None:
        """Block the connection until the test sets ``released``."""
        self.released.wait()
