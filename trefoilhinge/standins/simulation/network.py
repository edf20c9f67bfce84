"""A simulated network between named ends."""

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

    :ivar silent: whether whatever is sent on it is lost without a sign.
    :ivar partner: connection that its answers are delivered on instead.
    :ivar deliver: takes an answer at the source, for streams only.
    :ivar note_break: tells the source that the connection broke.
    """

    source: str
    target: str
    silent: bool = False
    redirect: 'Connection | None' = None
    deliver: Callable[[StreamEvent], None] | None = None
    on_break: Action | None = None

    def abort(self) -> None:
        """End the connection with a sign to its source."""
        self.silent = True
        if self.on_break is not None:
            self.on_break()


@define
class Network:
    """Carries messages, unless their way is cut.

    :ivar cuts: pairs of ends whose messages are lost without a sign.
    :ivar one_way_cuts: source and target of ways that are cut one way only.
    :ivar delays_s: seconds added to the way from a source to a target.
    :ivar dead: ends that refuse connections.
    :ivar connections: open connections by number, the latest last.
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
        """Return whether messages from one end to the other are lost."""
        if (one, other) in self.one_way_partitions:
            return True
        return frozenset((one, other)) in self.partitions

    def partition(self, one: str, other: str) -> None:
        """Lose every message between two ends from now on."""
        self.partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Carry messages between two ends again."""
        self.partitions.discard(frozenset((one, other)))

    def hold_messages(self, endpoint: str) -> None:
        """Keep what arrives at an end until it is thawed."""
        self._held_messages.setdefault(endpoint, [])

    def deliver_held(self, endpoint: str) -> None:
        """Hand over what arrived at an end while it was frozen."""
        for action in self._held_messages.pop(endpoint, ()):
            action()

    def discard_held(self, endpoint: str) -> None:
        """Drop what a frozen end had not taken; it is frozen no longer."""
        self._held_messages.pop(endpoint, None)

    def open_connection(self, source: str, target: str) -> Connection:
        """Return a new connection, which may go silent later."""
        connection = Connection(source, target)
        if self.tracks_connections:
            self.connections[id(connection)] = connection
        return connection

    def close_connection(self, connection: Connection) -> None:
        """Forget a connection whose answer was taken."""
        self.connections.pop(id(connection), None)

    def send(self, source: str, target: str, action: Action) -> None:
        """Run an action at the target's end, if the way stands then."""

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
        take: Callable[[Answer | None], None],
        timeout_s: float = REQUEST_TIMEOUT_S,
        serve_s: float = 0,
    ) -> None:
        """Ask a question; ``take`` gets none if no answer came in time.

        :param serve_s: seconds from the serving to the sending of the answer.
        """
        pending = [take]
        connection = self.open_connection(source, target)

        def complete(answer: Answer | None) -> None:
            # The first of the answer and the time limit takes the entry.
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
