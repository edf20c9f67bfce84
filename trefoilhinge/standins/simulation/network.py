"""A simulated network between named endpoints."""

from collections.abc import Callable
from typing import TypeVar

from attrs import define, field

from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.standins.simulation.scheduler import Action, Simulation

Answer = TypeVar('Answer')
Latency = Callable[[str, str], float]
CONNECTION_REFUSED_DELAY_S = 0.002
REQUEST_TIMEOUT_S = 2.0


@define
class Connection:
    """One open connection.

    :ivar silent: whether everything sent on it is silently lost.
    :ivar redirect: connection on which its events are delivered instead.
    :ivar deliver: called at the source with each event; streams only.
    :ivar on_break: called at the source when the connection breaks.
    """

    source: str
    target: str
    silent: bool = False
    redirect: 'Connection | None' = None
    deliver: Callable[[StreamEvent], None] | None = None
    on_break: Action | None = None

    def abort(self) -> None:
        """Break the connection and notify its source."""
        self.silent = True
        if self.on_break is not None:
            self.on_break()


@define
class Network:
    """Delivers messages between endpoints unless they are partitioned.

    :ivar partitions: pairs of endpoints whose messages are silently lost.
    :ivar one_way_partitions: (source, target) pairs whose messages are lost
        in this direction only.
    :ivar delays_s: latency added from a source to a target, in seconds.
    :ivar dead: endpoints that refuse connections.
    :ivar connections: open connections by object ID, the newest last.
    :ivar tracks_connections: whether open connections are recorded.
    """

    _simulation: Simulation
    _latency: Latency
    partitions: set[frozenset[str]] = field(factory=set)
    one_way_partitions: set[tuple[str, str]] = field(factory=set)
    delays_s: dict[tuple[str, str], float] = field(factory=dict)
    dead: set[str] = field(factory=set)
    connections: dict[int, Connection] = field(factory=dict)
    tracks_connections: bool = False
    _held_messages: dict[str, list[Action]] = field(factory=dict)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether messages from one endpoint to another are lost."""
        if (one, other) in self.one_way_partitions:
            return True
        return frozenset((one, other)) in self.partitions

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two endpoints until they are healed."""
        self.partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Deliver messages between two endpoints again."""
        self.partitions.discard(frozenset((one, other)))

    def hold_messages(self, endpoint: str) -> None:
        """Hold messages that arrive at an endpoint."""
        self._held_messages.setdefault(endpoint, [])

    def deliver_held(self, endpoint: str) -> None:
        """Deliver the messages held for an endpoint and stop holding them."""
        for action in self._held_messages.pop(endpoint, ()):
            action()

    def discard_held(self, endpoint: str) -> None:
        """Discard the messages held for an endpoint and stop holding them."""
        self._held_messages.pop(endpoint, None)

    def open_connection(self, source: str, target: str) -> Connection:
        """Open a connection."""
        connection = Connection(source, target)
        if self.tracks_connections:
            self.connections[id(connection)] = connection
        return connection

    def close_connection(self, connection: Connection) -> None:
        """Remove a connection from the open ones."""
        self.connections.pop(id(connection), None)

    def send(self, source: str, target: str, action: Action) -> None:
        """Run an action at the target unless it is unreachable on arrival."""

        def arrive() -> None:
            if target in self.dead or self.is_partitioned(source, target):
                return
            held_messages = self._held_messages.get(target)
            if held_messages is None:
                action()
            else:
                held_messages.append(action)

        delay_s = self._latency(source, target)
        delay_s += self.delays_s.get((source, target), 0)
        self._simulation.schedule(delay_s, arrive)

    def request(
        self,
        source: str,
        target: str,
        serve: Callable[[], Answer],
        on_response: Callable[[Answer | None], None],
        timeout_s: float = REQUEST_TIMEOUT_S,
        serve_s: float = 0,
    ) -> None:
        """Send a request and pass its response to a callback.

        :param serve: called at the target; returns the response.
        :param on_response: called with the response; none after a timeout or
            if the connection was refused or broke.
        :param serve_s: delay between calling ``serve`` and sending the
            response, in seconds.
        """
        pending = [on_response]
        connection = self.open_connection(source, target)

        def complete(answer: Answer | None) -> None:
            # Only the first of response, break and timeout is reported.
            if pending:
                self.close_connection(connection)
                pending.pop()(answer)

        connection.on_break = lambda: complete(None)

        def serve_request() -> None:
            answer = serve()
            self._simulation.schedule(serve_s, lambda: send_answer(answer))

        def send_answer(answer: Answer) -> None:
            if target not in self.dead and not connection.silent:
                self.send(target, source, lambda: complete(answer))

        if target in self.dead:
            self._simulation.schedule(
                CONNECTION_REFUSED_DELAY_S, lambda: complete(None)
            )
            return
        self.send(source, target, serve_request)
        self._simulation.schedule(timeout_s, lambda: complete(None))
