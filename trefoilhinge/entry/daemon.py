"""Composition of an entry instance: actor, effect handler and listeners."""

import contextlib
import json
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import cattrs
import pykka
from attrs import define, field

from trefoilhinge.calls.application import CallerApplication
from trefoilhinge.calls.attempt_sender import make_attempt_sender
from trefoilhinge.calls.authentication import ApiKeyTable
from trefoilhinge.calls.call_service import CallService
from trefoilhinge.calls.forward_client import ForwardClient
from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.calls.receipts import ReceiptTable, make_receipt_table
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
from trefoilhinge.core.effects import LogEvent
from trefoilhinge.core.events import (
    DocumentRead,
    Event,
    ExitRequested,
    KeyRequested,
    StopRequested,
    TimerFired,
)
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.entry.actor import NodeActor
from trefoilhinge.entry.clocks import SystemClock
from trefoilhinge.entry.effect_handler import EffectHandler
from trefoilhinge.entry.forwarding import FORWARD_THREADS, ForwardedCallHandler
from trefoilhinge.entry.logs import log_event
from trefoilhinge.entry.peers import (
    MAXIMUM_MESSAGE_BYTES,
    PeerApplication,
    PeerClient,
)
from trefoilhinge.entry.replies import PendingReplies
from trefoilhinge.entry.telemetry import NodeState, Telemetry, make_telemetry
from trefoilhinge.exceptions import DocumentInvalid
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.status import describe_node
from trefoilhinge.node.stop_report import describe_stop
from trefoilhinge.node.timers import TICK_INTERVAL_S
from trefoilhinge.targets.engine_client import make_http_engine_client
from trefoilhinge.targets.http_requests import make_pool
from trefoilhinge.targets.plain_client import make_http_plain_client
from trefoilhinge.targets.platform_client import make_http_platform_client

CONTROL_THREADS = 24
RELEASE_THREADS = 16
PEER_REQUEST_THREADS = 16
SPARE_ATTEMPT_THREADS = 64
CORE_QUERY_TIMEOUT_S = 2.0
START_TOKEN_DIGITS = 8


@define
class EntryInstance:
    """Entry instance with its listeners for callers and for peers.

    :ivar callers: listener for callers.
    :ivar peers: listener for peers, probes and operators.
    :ivar stopped: set when no work is left to finish.
    """

    settings: Settings
    callers: BoundedServer
    peers: BoundedServer
    _actor: 'pykka.ActorRef[NodeActor]'
    _executors: tuple[ThreadPoolExecutor, ...]
    _release_executor: ThreadPoolExecutor
    _telemetry: Telemetry
    stopped: threading.Event = field(factory=threading.Event)

    def start(self) -> None:
        """Load the document file if one is set, listen and start the timer.

        :raises OSError: a listener cannot bind its address.
        :raises DocumentInvalid: the file holds no valid document.
        """
        self._submit_document_file()
        start_server(self.peers)
        start_server(self.callers)
        threading.Thread(target=self._run_timer, daemon=True).start()

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self.callers.begin_closing()
        self.peers.begin_closing()
        self._actor.tell(StopRequested())

    def close(self) -> None:
        """Close the listeners and stop the actor without awaiting calls.

        Calls in progress are refused before the listeners are closed.
        """
        self.stopped.set()
        stop_fields = self._end_calls()
        self.callers.stop()
        self.peers.stop()
        if stop_fields:
            stop_fields['unread'] = str(self.callers.interrupted_count)
            log_event(LogEvent('stopped', tuple(stop_fields.items())))
        self._actor.stop(block=False)
        for executor in self._executors:
            executor.shutdown(wait=False, cancel_futures=True)
        # Engines would hold what is not released until it expires.
        self._release_executor.shutdown(wait=False)
        self._telemetry.close()

    def _end_calls(self) -> dict[str, str]:
        """Refuse the calls in progress.

        :return: fields of the log line, empty if the core does not reply.
        """
        report = None
        with contextlib.suppress(pykka.ActorDeadError, pykka.Timeout):
            self._actor.ask(ExitRequested(), timeout=CORE_QUERY_TIMEOUT_S)
            report = self._actor.ask(
                describe_stop, timeout=CORE_QUERY_TIMEOUT_S
            )
        return report if isinstance(report, dict) else {}

    def _submit_document_file(self) -> None:
        path = self.settings.document_file
        if not path:
            return
        read = read_document_file(path)
        if read.is_error():
            raise DocumentInvalid(f'{path}: {read.error[0]}')
        self._actor.tell(DocumentRead(read.ok, 'file'))

    def _run_timer(self) -> None:
        while not self.stopped.wait(TICK_INTERVAL_S):
            self._actor.tell(TimerFired())


@define
class _NodeContext:
    """State and functions that the parts of an instance share."""

    settings: Settings
    core: NodeCore
    clock: SystemClock
    telemetry: Telemetry
    mailboxes: Mailboxes = field(factory=Mailboxes)
    replies: PendingReplies = field(factory=PendingReplies)
    stopped: threading.Event = field(factory=threading.Event)
    ready: bool = False
    receipts: ReceiptTable = field(init=False)
    actor: 'pykka.ActorRef[NodeActor] | None' = None

    def __attrs_post_init__(self) -> None:
        """Bound what is held for requests."""
        self.receipts = make_receipt_table(self.settings.memory_mb)

    def report(self, event: Event) -> None:
        """Send an event to the core."""
        if self.actor is not None and self.actor.is_alive():
            self.actor.tell(event)

    def update_readiness(self, ready: bool) -> None:
        """Store whether the load balancer may send calls to this instance."""
        self.ready = ready

    def find_document(self) -> Document | None:
        """Return the document in force, none before the first."""
        return self.core.parts.document_replica.document

    def mint_key(self, organisation: str) -> str | None:
        """Request an idempotency key from the core.

        :return: none if the core did not reply in time, empty once the ledger
            is sealed for the stop.
        """
        token = self.replies.register()
        self.report(KeyRequested(token, organisation))
        return self.replies.wait_for(token)

    def read_state(self) -> NodeState:
        """Query the state of the core."""
        if self.actor is None:
            return NodeState()
        state = self.actor.ask(read_state, timeout=CORE_QUERY_TIMEOUT_S)
        return state if isinstance(state, NodeState) else NodeState()

    def read_status(self) -> bytes:
        """Query the status of the core and return it as JSON."""
        if self.actor is None:
            return b'{}'
        status = self.actor.ask(describe_node, timeout=CORE_QUERY_TIMEOUT_S)
        return json.dumps(cattrs.unstructure(status)).encode()

    def read_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.telemetry.metrics.render(self.read_state())


def make_entry(settings: Settings) -> EntryInstance:
    """Return an instance that has not been started.

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
        uuid.uuid4().hex[:START_TOKEN_DIGITS],
    )
    core = make_node(
        parts,
        settings.start_wait_s,
        settings.stop_wait_s,
        identity.incarnation,
    )
    core.identity = identity
    core.stop_limit_s = settings.stop_limit_s
    context = _NodeContext(settings, core, clock, make_telemetry(settings))
    return _assemble_instance(context, identity)


def read_state(core: NodeCore, now: Instant) -> NodeState:
    """Return the state of a node's core."""
    return NodeState(
        revision=core.parts.document_replica.revision,
        ready=core.ready,
        stopping=core.stopping_since_s is not None,
        calls=len(core.call_coordinator.table),
        queued=core.parts.limiter.count_queued(),
    )


def _assemble_instance(
    context: _NodeContext, identity: InstanceIdentity
) -> EntryInstance:
    settings = context.settings
    control_executor = ThreadPoolExecutor(CONTROL_THREADS, 'control')
    release_executor = ThreadPoolExecutor(RELEASE_THREADS, 'release')
    # One thread per call, because a target may take long to begin its answer;
    # the executor starts threads on demand.
    attempt_executor = ThreadPoolExecutor(
        settings.maximum_connections + SPARE_ATTEMPT_THREADS,
        'opening',
    )
    engine_client = make_http_engine_client(settings.order_token)
    effect_handler = EffectHandler(
        engine_client,
        make_http_platform_client(
            settings.configuration_url,
            settings.instances_url,
        ),
        PeerClient(
            make_pool(settings.tls_authorities),
            settings.peer_secret,
            'https' if settings.tls_authorities else 'http',
        ),
        context.mailboxes,
        context.replies,
        control_executor,
        context.report,
        context.update_readiness,
        context.stopped.set,
        context.clock,
        release_executor=release_executor,
    )
    context.actor = NodeActor.start(
        context.core, context.clock, effect_handler.handle
    )
    service = CallService(
        context.mailboxes,
        make_attempt_sender(
            (
                engine_client,
                make_http_plain_client(),
                ForwardClient(settings.peer_secret, settings.tls_authorities),
            ),
            context.clock,
            context.report,
            settings.memory_mb,
        ),
        attempt_executor,
        context.clock,
        context.telemetry,
        TokenEstimator(),
    )
    return EntryInstance(
        settings,
        _make_caller_server(context, service),
        _make_peer_server(context, service, identity),
        context.actor,
        (control_executor, attempt_executor),
        release_executor,
        context.telemetry,
        context.stopped,
    )


def _make_caller_server(
    context: _NodeContext, service: CallService
) -> BoundedServer:
    settings = context.settings
    application = CallerApplication(
        ApiKeyTable(),
        context.find_document,
        context.mint_key,
        service,
        context.clock,
        settings.maximum_body_bytes,
    )
    limits = ServerLimits(
        settings.maximum_connections,
        settings.slow_sender_s,
        settings.maximum_header_bytes,
        settings.maximum_body_bytes,
    )
    return _make_server(context, settings.listen, application, limits)


def _make_peer_server(
    context: _NodeContext,
    service: CallService,
    identity: InstanceIdentity,
) -> BoundedServer:
    settings = context.settings
    forwarded_calls = ForwardedCallHandler(
        identity,
        context.find_document,
        service,
        context.clock,
        settings.maximum_body_bytes,
    )
    application = PeerApplication(
        settings.peer_secret,
        context.replies,
        context.report,
        lambda: context.ready,
        context.read_status,
        context.read_metrics,
        forwarded_calls.serve,
        settings.slow_sender_s,
    )
    limits = ServerLimits(
        PEER_REQUEST_THREADS + FORWARD_THREADS,
        settings.slow_sender_s,
        settings.maximum_header_bytes,
        max(settings.maximum_body_bytes, MAXIMUM_MESSAGE_BYTES),
    )
    return _make_server(context, settings.peer_listen, application, limits)


def _make_server(
    context: _NodeContext,
    address: str,
    application: Any,
    limits: ServerLimits,
) -> BoundedServer:
    settings = context.settings
    server = BoundedServer(address, application, limits, context.receipts)
    if settings.tls_certificate:
        enable_tls(server, settings.tls_certificate, settings.tls_key)
    return server
