"""The actor that owns a node's core."""

from collections.abc import Callable
from typing import Any

import pykka

from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import Event
from trefoilhinge.node.core import NodeCore


class NodeActor(pykka.ThreadingActor):
    """Takes one event at a time, so that the core needs no lock."""

    use_daemon_thread = True

    def __init__(
        self,
        core: NodeCore,
        clock: Clock,
        perform: Callable[[Effect], None],
    ) -> None:
        """Take the core, the clock that it is told, and its performer."""
        super().__init__()
        self._core = core
        self._clock = clock
        self._perform = perform

    def on_receive(self, message: Any) -> Any:
        """Hand an event to the core, or run a question against it."""
        if callable(message):
            return message(self._core, self._clock.read())
        return self._handle(message)

    def _handle(self, event: Event) -> None:
        for effect in self._core.handle(event, self._clock.read()):
            self._perform(effect)
