"""Steps in the life of a request, an order and a document.

A simulated instance names each step as it comes to it, so that a fault can be
injected at exactly that moment.
"""

import enum
from typing import Protocol

from attrs import frozen


class FaultPoint(enum.StrEnum):
    """A moment that a fault can strike at."""

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
    """Where a step was reached.

    :ivar subject: request or attempt, empty for orders and documents.
    :ivar instance: instance that acts.
    :ivar target: target that is acted on, empty if none is.
    """

    point: FaultPoint
    subject: str
    instance: str
    target: str = ''


class Probe(Protocol):
    """Learns of each step as it is reached."""

    def reach(self, site: FaultSite) -> bool:
        """Take a step; true loses the message that is the step."""
        ...
