"""Assembles one entry instance: actor, performer and both listeners."""

import json
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import cattrs
import pykka
from attrs import define, field

from trefoilhinge.calls.application import CallerApplication
from trefoilhinge.calls.attempt_sender import AttemptSender
from trefoilhinge.calls.authentication import ApiKeyTable
from trefoilhinge.calls.call_service import CallService
from trefoilhinge.calls.forward_client import ForwardClient
from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.calls.servers import (
    BoundedServer,
    ServerLimits,
    enable_tls,
    start_server,
)
from trefoilhinge.calls.token_estimates import TokenEstimator
from trefoilhinge.conf.document_files import read_document_file
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import (
    DocumentRead,
    Event,
    KeyRequested,
    StopRequested,
    TimerFired,
)
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.entry.actor import NodeActor
from trefoilhinge.entry.clocks import SystemClock
from trefoilhinge.entry.forwarding import FORWARD_THREADS, ForwardedCalls
from trefoilhinge.entry.peers import (
    MAXIMUM_MESSAGE_BYTES,
    PeerApplication,
    PeerClient,
)
from trefoilhinge.entry.performer import Performer
from trefoilhinge.entry.replies import Replies
from trefoilhinge.entry.telemetry import NodeState, Telemetry, make_telemetry
from trefoilhinge.exceptions import DocumentInvalid
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.status import describe_node
from trefoilhinge.node.timers import TICK_INTERVAL_S
from trefoilhinge.targets.connections import make_pool
from trefoilhinge.targets.engines import make_http_engine_client
from trefoilhinge.targets.plain import make_http_plain_client
from trefoilhinge.targets.publications import make_http_platform_client

CONTROL_THREADS = 24
PEER_THREADS = 16
OPENING_THREADS = 64
ANSWER_TIMEOUT_S = 2.0
LIFE_DIGITS = 8


@define
class EntryInstance:
    """One running entry instance.

    :ivar stopped: set when nothing is left to finish.
    """

    settings: Settings
    callers: BoundedServer
    peers: BoundedServer
    _actor: 'pykka.ActorRef[NodeActor]'
    _executors: tuple[ThreadPoolExecutor, ...]
    _telemetry: Telemetry
    stopped: threading.Event = field(factory=threading.Event)

    def start(self) -> None:
        """Take the document of the settings, listen and start the timer.

        :raises OSError: an address cannot be listened at.
        :raises DocumentInvalid: the file holds no valid document.
        """
        self._offer_file()
        start_server(self.peers)
        start_server(self.callers)
        threading.Thread(target=self._tick, daemon=True).start()

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._actor.tell(StopRequested())

    def close(self) -> None:
        """Close the listeners and end the actor, whatever is in progress."""
        self.stopped.set()
        self.callers.stop()
        self.peers.stop()
        self._actor.stop(block=False)
        for executor in self._executors:
            executor.shutdown(wait=False, cancel_futures=True)
        self._telemetry.close()

    def _offer_file(self) -> None:
        path = self.settings.document_file
        if not path:
            return
        read = read_document_file(path)
        if read.is_error():
            raise DocumentInvalid(f'{path}: {read.error[0]}')
        self._actor.tell(DocumentRead(read.ok, 'file'))

    def _tick(self) -> None:
        while not self.stopped.wait(TICK_INTERVAL_S):
            self._actor.tell(TimerFired())


@define
class _Node:
    """What the shells of one instance share."""

    settings: Settings
    core: NodeCore
    clock: SystemClock
    telemetry: Telemetry
    mailboxes: Mailboxes = field(factory=Mailboxes)
    replies: Replies = field(factory=Replies)
    stopped: threading.Event = field(factory=threading.Event)
    ready: bool = False
    actor: 'pykka.ActorRef[NodeActor] | None' = None

    def report(self, event: Event) -> None:
        """Tell the core what happened."""
        if self.actor is not None and self.actor.is_alive():
            self.actor.tell(event)

    def note_ready(self, ready: bool) -> None:
        """Take whether the balancer may send callers."""
        self.ready = ready

    def find_document(self) -> Document | None:
        """Return the document in force."""
        return self.core.parts.document_replica.document

    def mint_key(self, organisation: str) -> str | None:
        """Ask the core for an idempotency key."""
        token = self.replies.expect()
        self.report(KeyRequested(token, organisation))
        return self.replies.take(token)

    def read_state(self) -> NodeState:
        """Ask the core how it stands."""
        if self.actor is None:
            return NodeState()
        state = self.actor.ask(read_state, timeout=ANSWER_TIMEOUT_S)
        return state if isinstance(state, NodeState) else NodeState()

    def read_status(self) -> bytes:
        """Return how the core stands as JSON."""
        if self.actor is None:
            return b'{}'
        status = self.actor.ask(describe_node, timeout=ANSWER_TIMEOUT_S)
        return json.dumps(cattrs.unstructure(status)).encode()

    def read_metrics(self) -> bytes:
        """Return every measure."""
        return self.telemetry.meters.expose(self.read_state())


def make_entry(settings: Settings) -> EntryInstance:
    """Return an instance that is not started yet.

    :param settings: settings in force.
    """
    clock = SystemClock()
    now = clock.read()
    identity = InstanceIdentity(
        InstanceName(settings.instance),
        int(now.wall_s * 1000),
    )
    address = settings.advertise or settings.peer_listen
    parts = make_parts(
        identity,
        address,
        settings.failure_domain,
        settings.peer_secret,
        settings.seeds,
        identity.incarnation,
        uuid.uuid4().hex[:LIFE_DIGITS],
    )
    core = make_node(
        parts,
        settings.start_wait_s,
        settings.stop_wait_s,
        identity.incarnation,
    )
    core.identity = identity
    node = _Node(settings, core, clock, make_telemetry(settings))
    return _assemble(node, identity)


def read_state(core: NodeCore, now: Instant) -> NodeState:
    """Return how a core stands."""
    return NodeState(
        revision=core.parts.document_replica.revision,
        ready=core.ready,
        stopping=core.stopping_since_s is not None,
        calls=len(core.call_coordinator.table),
        queued=core.parts.limiter.count_queued(),
    )


def _assemble(node: _Node, identity: InstanceIdentity) -> EntryInstance:
    settings = node.settings
    control = ThreadPoolExecutor(CONTROL_THREADS, 'control')
    # A thread for each call, as an answer may begin late; they start when
    # they are needed.
    opening = ThreadPoolExecutor(
        settings.maximum_connections + OPENING_THREADS,
        'opening',
    )
    engines = make_http_engine_client(settings.order_token)
    performer = Performer(
        engines,
        make_http_platform_client(
            settings.configuration_url,
            settings.instances_url,
        ),
        PeerClient(
            make_pool(settings.tls_authorities),
            settings.peer_secret,
            'https' if settings.tls_authorities else 'http',
        ),
        node.mailboxes,
        node.replies,
        control,
        node.report,
        node.note_ready,
        node.stopped.set,
        node.clock,
    )
    node.actor = NodeActor.start(node.core, node.clock, performer.perform)
    service = CallService(
        node.mailboxes,
        AttemptSender(
            engines,
            make_http_plain_client(),
            ForwardClient(settings.peer_secret, settings.tls_authorities),
            node.clock,
            node.report,
        ),
        opening,
        node.clock,
        node.telemetry,
        TokenEstimator(),
    )
    return EntryInstance(
        settings,
        _make_callers(node, service),
        _make_peers(node, service, identity),
        node.actor,
        (control, opening),
        node.telemetry,
        node.stopped,
    )


def _make_callers(node: _Node, service: CallService) -> BoundedServer:
    settings = node.settings
    application = CallerApplication(
        ApiKeyTable(),
        node.find_document,
        node.mint_key,
        service,
        node.clock,
        settings.maximum_body_bytes,
    )
    limits = ServerLimits(
        settings.maximum_connections,
        settings.slow_sender_s,
        settings.maximum_header_bytes,
        settings.maximum_body_bytes,
    )
    return _make_server(settings, settings.listen, application, limits)


def _make_peers(
    node: _Node,
    service: CallService,
    identity: InstanceIdentity,
) -> BoundedServer:
    settings = node.settings
    forwarded = ForwardedCalls(
        identity,
        node.find_document,
        service,
        node.clock,
        settings.maximum_body_bytes,
    )
    application = PeerApplication(
        settings.peer_secret,
        node.replies,
        node.report,
        lambda: node.ready,
        node.read_status,
        node.read_metrics,
        forwarded.serve,
        settings.slow_sender_s,
    )
    limits = ServerLimits(
        PEER_THREADS + FORWARD_THREADS,
        settings.slow_sender_s,
        settings.maximum_header_bytes,
        max(settings.maximum_body_bytes, MAXIMUM_MESSAGE_BYTES),
    )
    return _make_server(settings, settings.peer_listen, application, limits)


def _make_server(
    settings: Settings,
    address: str,
    application: Any,
    limits: ServerLimits,
) -> BoundedServer:
    server = BoundedServer(address, application, limits)
    if settings.tls_certificate:
        enable_tls(server, settings.tls_certificate, settings.tls_key)
    return server
