"""What makes a connection unfit for another call."""

import enum

from attrs import frozen

from trefoilhinge.dispatch.calls import AnswerHead

# Calls on one connection. Their identifiers are remembered, so that a late
# answer cannot be taken for that of a repeated call.
MAXIMUM_EXCHANGES = 50


class CloseReason(enum.Enum):
    """Why a connection was closed."""

    unfinished = 'unfinished'  # the call was cancelled or its answer broken
    unidentified = 'unidentified'  # the answer names no call
    refusal = 'refusal'
    failure = 'failure'
    irregular = 'irregular'  # bytes that belong to no answer
    ended = 'ended'  # the target ends it, now or after this answer
    worn = 'worn'  # it has carried enough calls
    full = 'full'
    expired = 'expired'
    departed = 'departed'
    suspended = 'suspended'  # another one of the target had ended unnoticed
    switched_off = 'switched_off'
    stopping = 'stopping'


@frozen
class Exchange:
    """What was seen of a connection up to the end of an answer.

    :ivar head: head of the answer, whose identifier is that of the call or
        empty.
    :ivar is_whole: whether request and answer are complete and either side may
        send another one.
    :ivar has_interim: whether interim responses came before the answer.
    :ivar unread_bytes: bytes that arrived after the answer.
    :ivar is_ended: whether the target has closed the connection.
    :ivar number: number of calls that it has carried.
    """

    head: AnswerHead
    is_whole: bool
    has_interim: bool
    unread_bytes: int
    is_ended: bool
    number: int


def find_unfitness(exchange: Exchange) -> CloseReason | None:
    """Return why a connection must not carry another call, if so.

    After a refusal it never does: a faulty target may write it again. After a
    failure of the target little is known of its state.
    """
    head = exchange.head
    found = {
        CloseReason.irregular: bool(exchange.unread_bytes)
        or exchange.has_interim,
        CloseReason.refusal: head.not_run,
        CloseReason.unidentified: not head.request_id,
        CloseReason.failure: head.status >= 500,
        CloseReason.ended: exchange.is_ended
        or head.ends_with_connection
        or head.is_leaving
        or not exchange.is_whole,
        CloseReason.worn: exchange.number >= MAXIMUM_EXCHANGES,
    }
    return next((reason for reason, holds in found.items() if holds), None)
