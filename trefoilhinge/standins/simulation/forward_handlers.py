"""Handlers that forward calls to the owners of their keys."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import define, evolve

from trefoilhinge.core import effects as fx
from trefoilhinge.core import events as ev
from trefoilhinge.core.identifiers import InstanceName, RequestId
from trefoilhinge.standins.simulation.world import CallRecord, World

if TYPE_CHECKING:
    from trefoilhinge.standins.simulation.driver import NodeDriver


@define
class ForwardHandlers:
    """Forwards calls to the owner's core and relays its response."""

    _driver: 'NodeDriver'

    @property
    def _world(self) -> World:
        return self._driver.world

    def map_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return the handler of each kind of effect."""
        return {fx.ForwardCall: self._forward}

    def _forward(self, effect: fx.ForwardCall) -> None:
        """Forward a call to the owner of its key."""
        here = self._driver.name
        call = self._world.calls[effect.request_id]
        network = self._world.network
        owner = InstanceName(effect.owner)
        if owner in network.dead:
            self._end_forward(effect.request_id, delivered=False)
            return

        def send_answer(owner_record: CallRecord) -> None:
            network.send(
                owner, here, lambda: self._accept_forward(call, owner_record)
            )

        def arrive() -> None:
            driver = self._world.drivers[owner]
            if driver.incarnation != effect.incarnation:
                network.send(
                    owner,
                    here,
                    lambda: self._end_forward(effect.request_id),
                )
                return
            forwarded = driver.receive_call(
                evolve(
                    call.profile,
                    request_id=RequestId(f'{effect.request_id}@{here}'),
                    forwarded=True,
                ),
            )
            if forwarded.ended_s is None:
                forwarded.on_end = send_answer
            else:
                send_answer(forwarded)

        network.send(here, owner, arrive)

    def _accept_forward(
        self, call: CallRecord, owner_record: CallRecord
    ) -> None:
        if call.ended_s is not None:
            return
        call.chunks = list(owner_record.chunks)
        call.owner_refusal = owner_record.refusal
        finished = owner_record.finished or owner_record.refusal is not None
        self._end_forward(call.profile.request_id, finished=finished)

    def _end_forward(
        self,
        request_id: RequestId,
        delivered: bool = True,
        finished: bool = False,
    ) -> None:
        self._driver.handle_event(
            ev.ForwardEnded(request_id, delivered, finished)
        )
