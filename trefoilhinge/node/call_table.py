"""Table of the calls in progress at one instance."""

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
    """Stage of a call in progress."""

    QUEUED = 'queued'
    WAITING_RETRY = 'waiting_retry'
    RESERVING = 'reserving'
    SENT = 'sent'
    # The target is being queried for the state of the stream.
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

    :ivar profile: properties of the request.
    :ivar state: current stage.
    :ivar number: number of the latest attempt, zero before the first.
    :ivar target: target of the latest attempt.
    :ivar stream_id: identifier of the stream at the target, if reported.
    :ivar failed_targets: targets at which this call failed.
    :ivar earlier_may_have_run: whether an earlier attempt may have run.
    :ivar due_s: monotonic seconds at which a retry or a query is due.
    :ivar offset: tokens read from the current stream.
    :ivar relayed: tokens of the current stream relayed to the caller.
    :ivar unanswered_queries: consecutive queries that did not reach the
        target.
    :ivar connection_lost: whether the connection of the stream was lost.
    :ivar resumed_offset: offset of the latest resumption, ``None`` before
        one.
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
        """Return whether the call may have run if it were ended now."""
        if self.earlier_may_have_run or self.state in IN_FLIGHT:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


@define
class CallTable:
    """Calls in progress, by request identifier."""

    _records: dict[RequestId, CallRecord] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of calls in progress."""
        return len(self._records)

    def add(self, record: CallRecord) -> None:
        """Add a call."""
        self._records[record.profile.request_id] = record

    def find(self, request_id: RequestId) -> CallRecord | None:
        """Return a call, or ``None`` if it has ended."""
        return self._records.get(request_id)

    def find_attempt(self, attempt: AttemptId) -> CallRecord | None:
        """Return the call whose latest attempt this is, or ``None``."""
        record = self._records.get(attempt.request_id)
        if record is None or record.number != attempt.number:
            return None
        return record

    def remove(self, request_id: RequestId) -> None:
        """Remove a call; do nothing if it is not in the table."""
        self._records.pop(request_id, None)

    def list_records(self) -> tuple[CallRecord, ...]:
        """Return every call in progress."""
        return tuple(self._records.values())
