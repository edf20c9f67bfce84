"""A simulated network between named ends."""

from collections.abc import Callable
from typing import TypeVar

from attrs import define, field

from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.standins.simulation.scheduler import Action, Simulation

Answer = TypeVar('Answer')
Latency = Callable[[str, str], float]
REFUSED_DELAY_S = 0.002
LOST_TIMEOUT_S = 2.0


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
    partner: 'Connection | None' = None
    deliver: Callable[[StreamEvent], None] | None = None
    note_break: Action | None = None

    def break_off(self) -> None:
        """End the connection with a sign to its source."""
        self.silent = True
        if self.note_break is not None:
            self.note_break()


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
    cuts: set[frozenset[str]] = field(factory=set)
    one_way_cuts: set[tuple[str, str]] = field(factory=set)
    delays_s: dict[tuple[str, str], float] = field(factory=dict)
    dead: set[str] = field(factory=set)
    connections: dict[int, Connection] = field(factory=dict)
    keeps_connections: bool = False
    _held: dict[str, list[Action]] = field(factory=dict)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether messages from one end to the other are lost."""
        if (one, other) in self.one_way_cuts:
            return True
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Lose every message between two ends from now on."""
        self.cuts.add(frozenset((one, other)))

    def mend(self, one: str, other: str) -> None:
        """Carry messages between two ends again."""
        self.cuts.discard(frozenset((one, other)))

    def freeze(self, end: str) -> None:
        """Keep what arrives at an end until it is thawed."""
        self._held.setdefault(end, [])

    def thaw(self, end: str) -> None:
        """Hand over what arrived at an end while it was frozen."""
        for action in self._held.pop(end, ()):
            action()

    def forget(self, end: str) -> None:
        """Drop what a frozen end had not taken; it is frozen no longer."""
        self._held.pop(end, None)

    def open_connection(self, source: str, target: str) -> Connection:
        """Return a new connection, which may go silent later."""
        connection = Connection(source, target)
        if self.keeps_connections:
            self.connections[id(connection)] = connection
        return connection

    def close_connection(self, connection: Connection) -> None:
        """Forget a connection whose answer was taken."""
        self.connections.pop(id(connection), None)

    def send(self, source: str, target: str, action: Action) -> None:
        """Run an action at the target's end, if the way stands then."""

        def arrive() -> None:
            if target in self.dead or self.is_cut(source, target):
                return
            held = self._held.get(target)
            if held is None:
                action()
            else:
                held.append(action)

        delay_s = self._latency(source, target)
        delay_s += self.delays_s.get((source, target), 0)
        self._simulation.schedule(delay_s, arrive)

    def request(
        self,
        source: str,
        target: str,
        serve: Callable[[], Answer],
        take: Callable[[Answer | None], None],
        timeout_s: float = LOST_TIMEOUT_S,
        serve_s: float = 0,
    ) -> None:
        """Ask a question; ``take`` gets none if no answer came in time.

        :param serve_s: seconds from the serving to the sending of the answer.
        """
        pending = [take]
        connection = self.open_connection(source, target)

        def finish(answer: Answer | None) -> None:
            # The first of the answer and the time limit takes the entry.
            if pending:
                self.close_connection(connection)
                pending.pop()(answer)

        connection.note_break = lambda: finish(None)

        def answer_back() -> None:
            answer = serve()
            self._simulation.schedule(serve_s, lambda: send_back(answer))

        def send_back(answer: Answer) -> None:
            if target not in self.dead and not connection.silent:
                self.send(target, source, lambda: finish(answer))

        if target in self.dead:
            self._simulation.schedule(REFUSED_DELAY_S, lambda: finish(None))
            return
        self.send(source, target, answer_back)
        self._simulation.schedule(timeout_s, lambda: finish(None))
