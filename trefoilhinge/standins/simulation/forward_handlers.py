"""Passes calls on to the owners of their keys, over the fake network."""

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
class ForwardActions:
    """Has the owner's own core serve a call and relays its answer."""

    _driver: 'NodeDriver'

    @property
    def _world(self) -> World:
        return self._driver.world

    def map_effects(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return the method that carries out each kind of effect."""
        return {fx.ForwardCall: self._forward}

    def _forward(self, effect: fx.ForwardCall) -> None:
        """Pass a call to its owner and relay the answer from there."""
        here = self._driver.name
        call = self._world.calls[effect.request_id]
        network = self._world.network
        owner = InstanceName(effect.owner)
        if owner in network.dead:
            self._end_forward(effect.request_id, delivered=False)
            return

        def answer(there: CallRecord) -> None:
            network.send(owner, here, lambda: self._take_forward(call, there))

        def arrive() -> None:
            driver = self._world.drivers[owner]
            if driver.incarnation != effect.incarnation:
                network.send(
                    owner,
                    here,
                    lambda: self._end_forward(effect.request_id),
                )
                return
            passed = driver.receive_call(
                evolve(
                    call.profile,
                    request_id=RequestId(f'{effect.request_id}@{here}'),
                    forwarded=True,
                ),
            )
            if passed.ended_s is None:
                passed.note_end = answer
            else:
                answer(passed)

        network.send(here, owner, arrive)

    def _take_forward(self, call: CallRecord, there: CallRecord) -> None:
        if call.ended_s is not None:
            return
        call.pieces = list(there.pieces)
        call.relayed_refusal = there.refusal
        finished = there.finished or there.refusal is not None
        self._end_forward(call.profile.request_id, finished=finished)

    def _end_forward(
        self,
        request_id: RequestId,
        delivered: bool = True,
        finished: bool = False,
    ) -> None:
        self._driver.report(ev.ForwardEnded(request_id, delivered, finished))
