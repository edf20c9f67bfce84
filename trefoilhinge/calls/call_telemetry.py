"""What is told of a finished request: its line in the log, its measures."""

from typing import Protocol

from attrs import define, field, frozen

from trefoilhinge.core.effects import Dispatch


@frozen
class Hop:
    """One sending of a call to a target or to another instance."""

    name: str
    sent_s: float
    forwarded: bool = False


@define(eq=False)
class CallTimes:
    """When the steps of a call happened, in monotonic seconds.

    :ivar hops: where the call was sent, in order.
    :ivar longest_gap_s: longest time between two events.
    """

    received_s: float
    sent_s: float | None = None
    first_event_s: float | None = None
    last_event_s: float | None = None
    events: int = 0
    longest_gap_s: float = 0
    usage_prompt_tokens: int = 0
    hops: list[Hop] = field(factory=list)

    @property
    def mean_gap_s(self) -> float | None:
        """Return the mean time between two events, none without two."""
        if self.first_event_s is None or self.last_event_s is None:
            return None
        if self.events < 2:
            return None
        return (self.last_event_s - self.first_event_s) / (self.events - 1)

    def record_sent(self, dispatch: Dispatch, now_s: float) -> None:
        """Take that the call was sent to a target."""
        if self.sent_s is None:
            self.sent_s = now_s
        self.hops.append(Hop(dispatch.target, now_s))

    def record_forwarded(self, owner: str, now_s: float) -> None:
        """Take that the call was passed to another instance."""
        self.hops.append(Hop(owner, now_s, forwarded=True))

    def record_event(self, now_s: float) -> None:
        """Take that an event of the answer has come."""
        self.events += 1
        last_s = self.last_event_s
        self.last_event_s = now_s
        if last_s is None:
            self.first_event_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - last_s)


@frozen
class CallSummary:
    """One finished request.

    :ivar verdict: what is known of it: ``ran``, ``not_run`` or
        ``may_have_run``; ``departed`` if its caller left.
    :ivar code: code of the refusal, empty if it was answered.
    :ivar prompt_tokens: as the target counted, else as estimated.
    """

    request_id: str
    organisation: str
    service: str
    verdict: str
    code: str
    status: int
    prompt_tokens: int
    ended_s: float
    times: CallTimes
    forwarded: bool = False

    def make_log_fields(self) -> dict[str, str]:
        """Return the keys and values of its line in the log."""
        times = self.times
        return {
            'request': self.request_id,
            'organisation': self.organisation,
            'service': self.service,
            'target': ','.join(hop.name for hop in times.hops),
            'prompt_tokens': str(self.prompt_tokens),
            'events': str(times.events),
            'verdict': self.verdict,
            'code': self.code,
            'status': str(self.status),
            'queued_s': _subtract(times.sent_s, times.received_s),
            'first_token_s': _subtract(times.first_event_s, times.received_s),
            'longest_gap_s': f'{times.longest_gap_s:.3f}',
            'total_s': _subtract(self.ended_s, times.received_s),
        }


class CallTrace(Protocol):
    """Span of one request, open until the request has finished."""

    @property
    def traceparent(self) -> str:
        """Return the W3C ``traceparent`` to pass on."""
        ...


class CallObserver(Protocol):
    """Takes requests as they begin and as they have finished."""

    def start_trace(self, traceparent: str) -> CallTrace:
        """Open the span of a request.

        :param traceparent: the caller's, empty if it gave none.
        """
        ...

    def record_finished(self, summary: CallSummary, trace: CallTrace) -> None:
        """Take one finished request and close its span."""
        ...


def _subtract(later_s: float | None, earlier_s: float) -> str:
    return '' if later_s is None else f'{later_s - earlier_s:.3f}'
