"""A simulated network between named ends."""

from collections.abc import Callable
from typing import TypeVar

from attrs import define, field

from trefoilhinge.standins.simulation.heap import Action, Simulation

Answer = TypeVar('Answer')
Latency = Callable[[str, str], float]
REFUSED_DELAY_S = 0.002
LOST_TIMEOUT_S = 2.0


@define
class Network:
    """Carries messages, unless their way is cut.

    :ivar cuts: pairs of ends whose messages are lost without a sign.
    :ivar dead: ends that refuse connections.
    """

    _simulation: Simulation
    _latency: Latency
    cuts: set[frozenset[str]] = field(factory=set)
    dead: set[str] = field(factory=set)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether messages between two ends are lost."""
        return frozenset((one, other)) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Lose every message between two ends from now on."""
        self.cuts.add(frozenset((one, other)))

    def mend(self, one: str, other: str) -> None:
        """Carry messages between two ends again."""
        self.cuts.discard(frozenset((one, other)))

    def send(
        self,
        source: str,
        target: str,
        action: Action,
        lose: Action | None = None,
    ) -> None:
        """Run an action at the target's end, if the way stands then.

        :param lose: what to do instead where the message is lost.
        """

        def arrive() -> None:
            if target not in self.dead and not self.is_cut(source, target):
                action()
            elif lose is not None:
                lose()

        self._simulation.schedule(self._latency(source, target), arrive)

    def request(
        self,
        source: str,
        target: str,
        serve: Callable[[], Answer],
        take: Callable[[Answer | None], None],
        timeout_s: float = LOST_TIMEOUT_S,
    ) -> None:
        """Ask a question; ``take`` gets none if no answer came in time.

        The time limit enters the heap only once a message is lost: a message
        that is not lost arrives within the latency.
        """
        end_s = self._simulation.now_s + timeout_s

        def finish(answer: Answer) -> None:
            in_time = self._simulation.now_s <= end_s
            take(answer if in_time else None)

        def lose() -> None:
            left_s = max(0, end_s - self._simulation.now_s)
            self._simulation.schedule(left_s, lambda: take(None))

        def answer_back() -> None:
            answer = serve()
            self.send(target, source, lambda: finish(answer), lose)

        if target in self.dead:
            self._simulation.schedule(REFUSED_DELAY_S, lambda: take(None))
            return
        self.send(source, target, answer_back, lose)
