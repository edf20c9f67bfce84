"""Progress of one call."""

from attrs import define, field

from trefoilhinge.dispatch.event_order import StreamPosition


@define
class CallProgress:
    """What was sent of a call, and what came back.

    :ivar received_s: monotonic seconds at which the call was received.
    :ivar position: the events of a stream that the caller has.
    :ivar attempts: attempts that were sent.
    :ivar possible_runs: attempts that may have run.
    :ivar earlier_runs: attempts among these that another instance sent.
    :ivar attempt_sent_s: monotonic seconds at which the last attempt was sent.
    :ivar attempt_events: number of times that events of it arrived.
    :ivar rejections: attempts that targets rejected for their own reasons.
    :ivar helper_rejections: attempts rejected because of another target.
    :ivar failed_connections: connections that could not be opened.
    :ivar status: HTTP status that was sent to the caller.
    :ivar has_started: whether a part of an answer was sent to the caller.
    :ivar first_event_s: seconds from receipt of the call to the first event.
    :ivar longest_gap_s: longest gap between events, seconds.
    :ivar is_outstanding: whether the last attempt may still be answered.
    """

    received_s: float
    position: StreamPosition = field(factory=StreamPosition)
    attempts: int = 0
    possible_runs: int = 0
    earlier_runs: int = 0
    attempt_sent_s: float = 0
    attempt_events: int = 0
    rejections: int = 0
    helper_rejections: int = 0
    failed_connections: int = 0
    status: int = 0
    has_started: bool = False
    first_event_s: float | None = None
    longest_gap_s: float = 0
    is_outstanding: bool = False
    _last_event_at_s: float = 0

    @property
    def last_event(self) -> int | None:
        """Return the number of the last event that the caller has."""
        return self.position.last_event

    @property
    def can_go_on(self) -> bool:
        """Return whether another run can go on where the answer stands."""
        return not self.has_started or self.position.is_proven

    def record_attempt(self, now_s: float) -> None:
        """Record that an attempt is sent; from here on the call may run."""
        self.attempts += 1
        self.possible_runs += 1
        self.attempt_sent_s = now_s
        self.attempt_events = 0
        self.is_outstanding = True

    def record_not_run(self) -> None:
        """Record that the last attempt was sent to no target."""
        self.attempts -= 1
        self.possible_runs -= 1
        self.is_outstanding = False

    def record_event(self, now_s: float) -> float | None:
        """Record that events were sent to the caller.

        :return: seconds since the previous events, ``None`` for the first.
        """
        self.attempt_events += 1
        gap_s = None
        if self.first_event_s is None:
            self.first_event_s = now_s - self.received_s
        else:
            gap_s = now_s - self._last_event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_event_at_s = now_s
        return gap_s
