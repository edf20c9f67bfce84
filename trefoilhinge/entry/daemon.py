"""One entry instance: listeners, actor, timer and graceful shutdown."""

import json
import threading
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import cattrs
import pykka
from attrs import define, field
from cheroot import wsgi

from trefoilhinge.calls.application import CallerApplication
from trefoilhinge.calls.authentication import KeyRing
from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.calls.relay import AnswerReader
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import Event, StopRequested, TimerFired
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.entry.actor import NodeActor
from trefoilhinge.entry.clocks import SystemClock
from trefoilhinge.entry.peers import PeerApplication, PeerClient
from trefoilhinge.entry.performer import Performer
from trefoilhinge.entry.replies import Replies
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.schedule import TICK_S
from trefoilhinge.node.status import describe_node
from trefoilhinge.platform.connections import make_pool
from trefoilhinge.platform.engines import make_http_engine_client
from trefoilhinge.platform.plain import make_http_plain_client
from trefoilhinge.platform.publications import make_http_platform_client

CONTROL_THREADS = 24
PEER_THREADS = 16
ANSWER_TIMEOUT_S = 2.0
LIFE_DIGITS = 8


@define
class EntryInstance:
    """One running entry instance.

    :ivar stopped: set when nothing is left to finish.
    """

    settings: Settings
    _callers: wsgi.Server
    _peers: wsgi.Server
    _actor: 'pykka.ActorRef[NodeActor]'
    _keys: KeyRing
    stopped: threading.Event
    _threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Open both listeners and start the timer."""
        for server in (self._callers, self._peers):
            server.prepare()
            self._run(server.serve)
        self._run(self._tick)

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self._actor.tell(StopRequested())

    def close(self) -> None:
        """Close the listeners and end the actor."""
        self.stopped.set()
        self._callers.stop()
        self._peers.stop()
        self._actor.stop(block=False)

    def _run(self, target: Any) -> None:
        thread = threading.Thread(target=target, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _tick(self) -> None:
        while not self.stopped.wait(TICK_S):
            self._actor.tell(TimerFired())


@define
class _Ready:
    value: bool = False


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
    return _assemble(settings, core, clock)


def _assemble(
    settings: Settings,
    core: NodeCore,
    clock: SystemClock,
) -> EntryInstance:
    mailboxes = Mailboxes()
    replies = Replies()
    keys = KeyRing()
    ready = _Ready()
    stopped = threading.Event()
    refs: list[pykka.ActorRef[NodeActor]] = []

    def report(event: Event) -> None:
        if refs[0].is_alive():
            refs[0].tell(event)

    engines = make_http_engine_client(settings.order_token)
    performer = Performer(
        engines,
        make_http_platform_client(
            settings.configuration_url,
            settings.instances_url,
        ),
        PeerClient(make_pool(), settings.peer_secret),
        mailboxes,
        replies,
        ThreadPoolExecutor(CONTROL_THREADS),
        report,
        lambda value: setattr(ready, 'value', value),
        stopped.set,
    )
    refs.append(NodeActor.start(core, clock, performer.perform))

    def find_document() -> Document | None:
        document = core.parts.keeper.document
        if document is not None:
            keys.configure(document)
        return document

    def read_status() -> bytes:
        answer = refs[0].ask(_describe, timeout=ANSWER_TIMEOUT_S)
        return json.dumps(answer).encode()

    callers = CallerApplication(
        keys,
        find_document,
        mailboxes,
        AnswerReader(
            engines,
            make_http_plain_client(),
            mailboxes,
            clock,
            report,
        ),
        ThreadPoolExecutor(settings.maximum_connections * 2),
        clock,
        report,
        settings.maximum_body_bytes,
    )
    peers = PeerApplication(
        settings.peer_secret,
        replies,
        report,
        lambda: ready.value,
        read_status,
    )
    return EntryInstance(
        settings,
        _make_server(settings.listen, callers, settings.maximum_connections),
        _make_server(settings.peer_listen, peers, PEER_THREADS),
        refs[0],
        keys,
        stopped,
    )


def _describe(core: NodeCore, now: Instant) -> dict[str, Any]:
    described: dict[str, Any] = cattrs.unstructure(describe_node(core, now))
    return described


def _make_server(address: str, application: Any, threads: int) -> wsgi.Server:
    host, _, port = address.rpartition(':')
    return wsgi.Server(
        (host.strip('[]'), int(port)),
        application,
        numthreads=threads,
        max=threads,
    )
