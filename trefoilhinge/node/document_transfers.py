"""Transfers of newer documents between peers.

An instance that learns of a newer document requests it from one peer, as
deltas from its own revision where possible. A peer that stays behind without
a request, such as one that cannot reach this instance, is pushed the document
at increasing intervals.
"""

from attrs import define, field

from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.interfaces import DocumentReplica
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName

REQUEST_INTERVAL_S = 1.0
FIRST_PUSH_DELAY_S = 2.0
MAXIMUM_PUSH_INTERVAL_S = 60.0
MAXIMUM_TRACKED_PEERS = 64
REQUEST_DELTAS = 'deltas'
REQUEST_DOCUMENT = 'document'


@define
class _Push:
    """Schedule of the pushes of one document to a peer.

    :ivar digest: digest of the document.
    :ivar interval_s: current interval between pushes, in seconds.
    :ivar due_s: monotonic seconds at which the next push is due.
    """

    digest: str
    interval_s: float
    due_s: float


@define
class DocumentTransfers:
    """Decides which documents to request from peers and to push to them."""

    _document_replica: DocumentReplica
    _requested_digest: str = ''
    _request_due_s: float = 0
    _pushes: dict[InstanceName, _Push] = field(factory=dict)

    def choose_request(self, exchange: PeerExchange, now: Instant) -> str:
        """Return what to request from the sender of a message, if anything.

        :return: ``REQUEST_DELTAS``, ``REQUEST_DOCUMENT`` or an empty string.
        """
        peer_version = (exchange.revision, exchange.digest)
        if peer_version <= (
            self._document_replica.revision,
            self._document_replica.digest,
        ):
            return ''
        if exchange.document or self._document_replica.is_refused(
            exchange.digest
        ):
            return ''
        if exchange.deltas:
            # The deltas did not apply, or there is an even newer document.
            return REQUEST_DOCUMENT
        waiting = now.monotonic_s < self._request_due_s
        if exchange.digest == self._requested_digest and waiting:
            return ''
        self._requested_digest = exchange.digest
        self._request_due_s = now.monotonic_s + REQUEST_INTERVAL_S
        return (
            REQUEST_DELTAS
            if self._document_replica.revision
            else REQUEST_DOCUMENT
        )

    def is_push_due(self, exchange: PeerExchange, now: Instant) -> bool:
        """Return whether to push the document to the outdated sender.

        A peer first gets ``FIRST_PUSH_DELAY_S`` to request the document. A
        peer that refused this document is not pushed it again.
        """
        peer = InstanceName(exchange.sender)
        digest = self._document_replica.digest
        if exchange.refused == digest:
            return False
        push = self._pushes.pop(peer, None)
        if push is None or push.digest != digest:
            due_s = now.monotonic_s + FIRST_PUSH_DELAY_S
            self._track(peer, _Push(digest, FIRST_PUSH_DELAY_S, due_s))
            return False
        due = now.monotonic_s >= push.due_s
        if due:
            push.interval_s = min(MAXIMUM_PUSH_INTERVAL_S, push.interval_s * 2)
            push.due_s = now.monotonic_s + push.interval_s
        self._track(peer, push)
        return due

    def _track(self, peer: InstanceName, push: _Push) -> None:
        self._pushes[peer] = push
        if len(self._pushes) > MAXIMUM_TRACKED_PEERS:
            del self._pushes[next(iter(self._pushes))]
