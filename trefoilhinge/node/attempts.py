"""Effects that send, ask for, resume and cancel an attempt."""

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    QueryStream,
    ResumeStream,
)
from trefoilhinge.core.identifiers import ReservationTag, StreamId
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.node.tables import CallRecord

SEND_LEASE_S = 2.0


def make_dispatch(
    record: CallRecord,
    target: TargetView,
    now: Instant,
    tag: ReservationTag | None,
    priority: int | None,
) -> Dispatch:
    """Return the effect that sends a call.

    :param tag: tag of the group's holdings, none for one engine.
    :param priority: priority at the engine, none for the caller's own.
    """
    profile = record.profile
    return Dispatch(
        attempt=record.attempt,
        target=target.name,
        address=target.address,
        priority=profile.priority if priority is None else priority,
        deadline_s=profile.deadline_s,
        lease=now.shift(SEND_LEASE_S),
        fresh_connection=not profile.idempotent,
        reservation_tag=tag,
    )


def make_query(record: CallRecord, target: TargetView) -> QueryStream:
    """Return the effect that asks where a stream stands."""
    return QueryStream(
        record.attempt,
        target.name,
        target.address,
        _find_stream(record),
    )


def make_resumption(record: CallRecord, target: TargetView) -> ResumeStream:
    """Return the effect that takes a stream up from the offset held."""
    return ResumeStream(
        record.attempt,
        target.name,
        target.address,
        _find_stream(record),
        record.offset,
    )


def make_cancellation(
    record: CallRecord,
    target: TargetView,
) -> CancelAttempt:
    """Return the effect that drops an attempt."""
    return CancelAttempt(
        record.attempt,
        target.name,
        target.address,
        record.profile.model,
    )


def _find_stream(record: CallRecord) -> StreamId:
    # A target names a stream by the attempt that asked for it.
    return record.stream_id or StreamId(str(record.attempt))
