"""How far one call has come."""

from attrs import define


@define
class CallProgress:
    """What was sent of a call, and what came back.

    :ivar offers: offers that were sent.
    :ivar runs: offers that may have run.
    :ivar rejections: offers that targets refused on their own account.
    :ivar faults: offers refused because of another target.
    :ivar unreachable: connections that could not be opened.
    :ivar status: status that the caller got.
    :ivar has_begun: whether a part of an answer went to the caller.
    :ivar last_event: number of the last event that went to the caller.
    :ivar first_event_s: seconds from arrival to the first event.
    """

    arrived_s: float
    last_event: int | None = None
    attempts: int = 0
    possible_runs: int = 0
    rejections: int = 0
    helper_rejections: int = 0
    failed_connections: int = 0
    status: int = 0
    has_started: bool = False
    first_event_s: float | None = None
    longest_gap_s: float = 0
    _last_event_at_s: float = 0

    def record_event(self, now_s: float) -> float | None:
        """Take that events went to the caller.

        :return: seconds since the events before, none if these are the first.
        """
        gap_s = None
        if self.first_event_s is None:
            self.first_event_s = now_s - self.arrived_s
        else:
            gap_s = now_s - self._last_event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_event_at_s = now_s
        return gap_s
