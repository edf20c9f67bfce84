"""Fault points: moments at which a fault can be injected.

A simulated instance reports each point in the processing of a request, an order
or a document as it reaches it, so that a fault can be injected exactly there.
"""

import enum
from typing import Protocol

from attrs import frozen


class FaultPoint(enum.StrEnum):
    """A point in the processing of a request, an order or a document.

    :ivar CLAIMED: a call with an idempotency key was recorded.
    :ivar ACCEPTED: a target started a request.
    :ivar FINISH_LOST: a stream's finish marker arrives and can be dropped.
    :ivar RELAYED: an answer is about to be ended at its caller.
    :ivar RELEASED: the end of an attempt was handled, or a reservation is
        about to be released.
    :ivar ORDER_TAKEN: an engine has processed an order.
    :ivar DOCUMENT_PASSED: a document or its deltas are about to be sent to a
        peer.
    """

    RECEIVED = 'received'
    CLAIMED = 'key-claimed'
    QUEUED = 'queued'
    RESERVED = 'reserved'
    SENT = 'sent'
    ACCEPTED = 'accepted'
    PREFILLING = 'prefilling'
    EXPORTED = 'kv-exported'
    IMPORTED = 'kv-imported'
    FIRST_TOKEN = 'first-token'
    MID_STREAM = 'mid-stream'
    FINISH_LOST = 'finish-marker-lost'
    RELAYED = 'answer-relayed'
    RELEASED = 'released'
    FORWARDED = 'forwarded'
    STATE_READ = 'state-read'
    ORDER_SENT = 'order-sent'
    ORDER_TAKEN = 'order-taken'
    ORDER_ANSWERED = 'order-answered'
    DOCUMENT_READ = 'document-read'
    DOCUMENT_ACCEPTED = 'document-accepted'
    DOCUMENT_PASSED = 'document-passed'


@frozen
class FaultSite:
    """Where a fault point was reached.

    :ivar subject: request or attempt; empty for orders and documents.
    :ivar instance: instance that reached it.
    :ivar target: target involved; empty if there is none.
    """

    point: FaultPoint
    subject: str
    instance: str
    target: str = ''


class Probe(Protocol):
    """Observer of fault points."""

    def reach(self, site: FaultSite) -> bool:
        """Handle a fault point; true drops the message being processed."""
        ...
