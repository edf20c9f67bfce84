"""Timings and summaries of finished requests, for logs, metrics and traces."""

from typing import Protocol

from attrs import define, field, frozen

from trefoilhinge.core.effects import Dispatch


@frozen
class Hop:
    """One attempt at a target or one forwarding to another instance.

    :ivar name: name of the target or instance.
    :ivar sent_s: monotonic seconds at which the call was sent.
    :ivar forwarded: whether the call was forwarded to another instance.
    """

    name: str
    sent_s: float
    forwarded: bool = False


@define(eq=False)
class CallTimes:
    """Timings of one call; points in time are in monotonic seconds.

    :ivar sent_s: time of the first attempt, ``None`` before it.
    :ivar events: number of events received.
    :ivar longest_gap_s: longest interval between two consecutive events.
    :ivar usage_prompt_tokens: prompt tokens counted by the target, 0 if it
        reported none.
    :ivar hops: attempts and forwardings of the call, in order.
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
        """Return the mean interval between consecutive events.

        :return: seconds, ``None`` for fewer than two events.
        """
        if self.first_event_s is None or self.last_event_s is None:
            return None
        if self.events < 2:
            return None
        return (self.last_event_s - self.first_event_s) / (self.events - 1)

    def record_sent(self, dispatch: Dispatch, now_s: float) -> None:
        """Record an attempt at a target."""
        if self.sent_s is None:
            self.sent_s = now_s
        self.hops.append(Hop(dispatch.target, now_s))

    def record_forwarded(self, owner: str, now_s: float) -> None:
        """Record the forwarding of the call to another instance."""
        self.hops.append(Hop(owner, now_s, forwarded=True))

    def record_event(self, now_s: float) -> None:
        """Record that an event of the answer was received."""
        self.events += 1
        last_s = self.last_event_s
        self.last_event_s = now_s
        if last_s is None:
            self.first_event_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - last_s)


@frozen
class CallSummary:
    """Summary of one finished request.

    :ivar verdict: whether the request ran: ``ran``, ``not_run`` or
        ``may_have_run``; ``departed`` if the caller disconnected.
    :ivar code: code of the refusal, empty if the request was answered.
    :ivar status: HTTP status, 0 if none was sent.
    :ivar prompt_tokens: count reported by the target, otherwise the estimate.
    :ivar ended_s: monotonic seconds at which the request finished.
    :ivar forwarded: whether a peer forwarded the request.
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
        """Return the keys and values of the request's log line."""
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
            'queued_s': _format_interval(times.sent_s, times.received_s),
            'first_token_s': _format_interval(
                times.first_event_s, times.received_s
            ),
            'longest_gap_s': f'{times.longest_gap_s:.3f}',
            'total_s': _format_interval(self.ended_s, times.received_s),
        }


class CallSpan(Protocol):
    """Span of one request, which ends when the request has finished."""

    @property
    def traceparent(self) -> str:
        """Return the W3C ``traceparent`` to propagate."""
        ...


class CallObserver(Protocol):
    """Observer of the start and the end of requests."""

    def start_span(self, traceparent: str) -> CallSpan:
        """Start the span of a request.

        :param traceparent: the caller's ``traceparent``, empty if absent.
        """
        ...

    def record_finished(self, summary: CallSummary, span: CallSpan) -> None:
        """Record a finished request and end its span."""
        ...


def _format_interval(later_s: float | None, earlier_s: float) -> str:
    return '' if later_s is None else f'{later_s - earlier_s:.3f}'
