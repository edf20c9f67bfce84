"""Actor that owns a node's core."""

from collections.abc import Callable
from typing import Any

import pykka

from trefoilhinge.calls.call_service import refuse_core_failure
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.effects import AnswerPeer, Effect, RefuseCall
from trefoilhinge.core.events import (
    CallReceived,
    Event,
    PeerMessageReceived,
)
from trefoilhinge.entry.logs import log_exception
from trefoilhinge.node.core import NodeCore


class NodeActor(pykka.ThreadingActor):
    """Pass events to the core one at a time, so that it needs no lock."""

    use_daemon_thread = True

    def __init__(
        self,
        core: NodeCore,
        clock: Clock,
        handle_effect: Callable[[Effect], None],
    ) -> None:
        """Store the core, its clock and the function that handles effects."""
        super().__init__()
        self._core = core
        self._clock = clock
        self._handle_effect = handle_effect

    def on_receive(self, message: Any) -> Any:
        """Handle an event, or run a query on the core and return its result.

        :param message: event, or function of the core and the current instant.
        """
        if callable(message):
            return message(self._core, self._clock.read())
        return self._handle(message)

    def _handle(self, event: Event) -> None:
        try:
            effects = self._core.handle(event, self._clock.read())
        except Exception:
            # A failure on one event must not end the other calls in progress.
            log_exception('core_failed', event=type(event).__name__)
            effects = make_failure_effects(event)
        for effect in effects:
            self._try_handle_effect(effect)

    def _try_handle_effect(self, effect: Effect) -> None:
        try:
            self._handle_effect(effect)
        except Exception:
            log_exception('effect_failed', effect=type(effect).__name__)


def make_failure_effects(event: Event) -> list[Effect]:
    """Return the effects that reply to the sender of a failed event.

    A caller that requested a key is refused for want of a reply.
    """
    match event:
        case CallReceived(profile):
            return [RefuseCall(profile.request_id, refuse_core_failure())]
        case PeerMessageReceived(token):
            return [AnswerPeer(token, '')]
        case _:
            return []
