"""Builders of the effects that dispatch, query, resume and cancel attempts."""

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    QueryStream,
    ResumeStream,
)
from trefoilhinge.core.identifiers import ReservationTag, StreamId
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.node.call_table import CallRecord

DISPATCH_LEASE_S = 2.0


def make_dispatch(
    record: CallRecord,
    target: TargetView,
    now: Instant,
    tag: ReservationTag | None,
    priority: int | None,
) -> Dispatch:
    """Return the effect that dispatches a call to a target.

    :param tag: tag of the group's reservations, ``None`` for a single engine.
    :param priority: priority at the engine, ``None`` to use the priority of
        the call.
    :return: effect whose lease ends ``DISPATCH_LEASE_S`` after ``now``.
    """
    profile = record.profile
    return Dispatch(
        attempt=record.attempt,
        target=target.name,
        address=target.address,
        priority=profile.priority if priority is None else priority,
        deadline_s=profile.deadline_s,
        lease=now.shift(DISPATCH_LEASE_S),
        fresh_connection=not profile.idempotent,
        reservation_tag=tag,
    )


def make_query(record: CallRecord, target: TargetView) -> QueryStream:
    """Return the effect that queries the state of a stream."""
    return QueryStream(
        record.attempt,
        target.name,
        target.address,
        _find_stream(record),
    )


def make_resumption(record: CallRecord, target: TargetView) -> ResumeStream:
    """Return the effect that resumes a stream from the offset already read."""
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
    """Return the effect that cancels an attempt at its target."""
    return CancelAttempt(
        record.attempt,
        target.name,
        target.address,
        record.profile.model,
    )


def _find_stream(record: CallRecord) -> StreamId:
    # Until the target has reported an identifier, the stream is addressed by
    # the attempt that opened it.
    return record.stream_id or StreamId(str(record.attempt))
