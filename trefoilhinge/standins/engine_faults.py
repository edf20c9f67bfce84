"""Faults that a test has a stand-in engine show."""

import threading

from attrs import define, field


@define
class EngineFaults:
    """What goes wrong at one engine; all off by default.

    :ivar refuse: refuse calls before they start, and prove it.
    :ivar stall: take a call, run it and never send the headers.
    :ivar silent_after: stop sending after so many events, with the
        connection open; a connection that takes the stream up again works.
    :ivar truncate_after: end the answer cleanly after so many events, unless
        it was taken up again.
    :ivar cut_after: break the connection after so many events, unless it
        took the stream up again.
    :ivar crossed: send events under another stream's name.
    :ivar forgetful: know no stream when asked, after the connection broke.
    :ivar dead: break every connection without an answer.
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
        """Show what is due before an event is sent.

        :param resumed: whether the connection takes a stream up again.
        :raises ConnectionResetError: the connection breaks here.
        """
        if self.silent_after == offset and not resumed:
            self.wait_for_release()
        if self.dead or (self.cut_after == offset and not resumed):
            raise ConnectionResetError('cut')

    def wait_for_release(self) -> None:
        """Keep a connection open until the test releases it."""
        self.released.wait()
