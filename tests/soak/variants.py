"""Broken variants of an instance: ``python -m tests.soak.variants NAME``."""

import asyncio
import sys

from trefoilhinge.gateway import answer_relay, attempts, daemon, state
from trefoilhinge.gateway.caller_connections import Refusal
from trefoilhinge.gateway.reservations import Reservations
from trefoilhinge.gateway.target_connections import AnswerBroken


def send_twice():
    """Offer a call again whose outcome is unknown."""
    attempts.Attempts._may_retry = lambda self: self.progress.possible_runs < 2


def refuse_falsely():
    """Say that a call did not run, whatever became of it."""

    def describe(progress, reason):
        return Refusal(503, 'targets_full', 'not_run', reason, 0.5)

    attempts.make_exhausted_refusal = describe


def join_torn():
    """End a torn stream as if it were whole."""
    relay = answer_relay.AnswerRelay.relay_stream

    async def relay_torn(self, connection, head, on_event):
        try:
            await relay(self, connection, head, on_event)
        except AnswerBroken:
            self._start_answer(head)
            await self._caller.finish()

    answer_relay.AnswerRelay.relay_stream = relay_torn


def keep_memory():
    """Never release a reservation, and go on renewing it."""
    Reservations.release = lambda self: None


def ignore_changes():
    """Keep the first document."""
    accept = state.GatewayState.accept_document

    def keep(self, content, source):
        return self.document is None and accept(self, content, source)

    state.GatewayState.accept_document = keep


def stop_at_once():
    """End at the order to stop."""

    async def stop(self):
        await asyncio.sleep(0)
        self._stopped.set()

    daemon.Gateway._stop = stop


if __name__ == '__main__':
    globals()[sys.argv[1]]()
    daemon.run_gateway()
