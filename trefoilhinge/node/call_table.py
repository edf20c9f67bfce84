"""Calls in progress at one instance."""

import enum

from attrs import define, field

from trefoilhinge.core.identifiers import (
    AttemptId,
    RequestId,
    StreamId,
    TargetName,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.membership.interfaces import TargetView


class CallState(enum.StrEnum):
    """How far a call has come."""

    QUEUED = 'queued'
    WAITING_RETRY = 'waiting_retry'
    RESERVING = 'reserving'
    SENT = 'sent'
    ASKING = 'asking'
    FORWARDED = 'forwarded'


IN_FLIGHT = frozenset(
    (
        CallState.SENT,
        CallState.ASKING,
        CallState.FORWARDED,
    )
)


@define
class CallRecord:
    """One call in progress.

    :ivar number: number of the latest attempt, zero before the first.
    :ivar target: target of the latest attempt.
    :ivar stream_id: the target's name of the stream.
    :ivar avoided: targets that failed this call.
    :ivar exposed: whether an attempt that has ended may have run.
    :ivar due_s: monotonic seconds at which a retry or a question is due.
    :ivar offset: tokens taken from the present stream.
    :ivar relayed: tokens of the present stream that the caller was given.
    :ivar questions: questions asked since the stream last moved.
    :ivar broken: whether the connection that read the stream is lost.
    :ivar resumed_from: offset of the latest resumption, none before one.
    """

    profile: CallProfile
    state: CallState = CallState.QUEUED
    number: int = 0
    target: TargetView | None = None
    stream_id: StreamId | None = None
    failed_targets: set[TargetName] = field(factory=set)
    earlier_may_have_run: bool = False
    due_s: float = 0
    offset: int = 0
    relayed: int = 0
    unanswered_queries: int = 0
    connection_lost: bool = False
    resumed_offset: int | None = None

    @property
    def attempt(self) -> AttemptId:
        """Return the identifier of the latest attempt."""
        return AttemptId(self.profile.request_id, self.number)

    @property
    def verdict(self) -> Verdict:
        """Return what is known of a call that is given up now."""
        if self.earlier_may_have_run or self.state in IN_FLIGHT:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


@define
class CallTable:
    """Every call in progress, by request."""

    _records: dict[RequestId, CallRecord] = field(factory=dict)

    def __len__(self) -> int:
        """Return how many calls are in progress."""
        return len(self._records)

    def add(self, record: CallRecord) -> None:
        """Enter a call."""
        self._records[record.profile.request_id] = record

    def find(self, request_id: RequestId) -> CallRecord | None:
        """Return a call, none if it has ended."""
        return self._records.get(request_id)

    def find_attempt(self, attempt: AttemptId) -> CallRecord | None:
        """Return a call whose latest attempt is this one."""
        record = self._records.get(attempt.request_id)
        if record is None or record.number != attempt.number:
            return None
        return record

    def remove(self, request_id: RequestId) -> None:
        """Forget a call."""
        self._records.pop(request_id, None)

    def list_records(self) -> tuple[CallRecord, ...]:
        """Return every call in progress."""
        return tuple(self._records.values())
