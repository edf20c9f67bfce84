"""Handlers of the effects that poll and control targets and peers."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from attrs import define, evolve

from trefoilhinge.core import effects as fx
from trefoilhinge.core import events as ev
from trefoilhinge.core.identifiers import InstanceName
from trefoilhinge.core.reports import CacheEvent, LoadReport, Reservation
from trefoilhinge.standins.simulation.engine import FakeEngine
from trefoilhinge.standins.simulation.fault_points import FaultPoint
from trefoilhinge.standins.simulation.kv_chains import KvSegment
from trefoilhinge.standins.simulation.network import REQUEST_TIMEOUT_S
from trefoilhinge.standins.simulation.world import PLATFORM_ENDPOINT, World

if TYPE_CHECKING:
    from trefoilhinge.standins.simulation.driver import NodeDriver

_KV_POINTS = {'export': FaultPoint.EXPORTED, 'import': FaultPoint.IMPORTED}
PREFILL_TIMEOUT_S = 60.0
KV_TRANSFER_TOKENS_PER_S = 2_000_000.0


def compute_step_s(engine: FakeEngine, effect: fx.RunGroupStep) -> float:
    """Return the duration of a group's step on an engine, in seconds.

    The step neither slows down the engine's other calls nor is slowed down by
    them.
    """
    speeds = engine.speeds
    if effect.step == 'prefill':
        chunks = -(-effect.tokens // speeds.chunk_tokens)
        return (
            effect.tokens / speeds.prefill_tokens_per_s + chunks * speeds.step_s
        )
    if effect.step == 'import':
        return effect.first_token / KV_TRANSFER_TOKENS_PER_S
    return 0


@define
class ControlHandlers:
    """Runs group steps, polls, sends orders and exchanges peer messages."""

    _driver: 'NodeDriver'

    @property
    def _world(self) -> World:
        return self._driver.world

    def map_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return the handler of each kind of effect."""
        return {
            fx.RunGroupStep: self._run_group_step,
            fx.ReleaseHolding: self._release,
            fx.ReadLoad: self._read_load,
            fx.ReadInstances: self._read_instances,
            fx.ReadDocument: self._read_document,
            fx.SendPeerMessage: self._send_peer,
            fx.ReadEngineState: self._read_state,
            fx.SendOrder: self._send_order,
        }

    def _request(
        self,
        target: str,
        serve: Callable[[], ev.Event],
        lost: ev.Event,
    ) -> None:
        """Send a request and pass the resulting event to the core.

        :param lost: event if no response arrives.
        """
        self._world.network.request(
            self._driver.name,
            target,
            serve,
            lambda answer: self._driver.handle_event(answer or lost),
        )

    def _run_group_step(self, effect: fx.RunGroupStep) -> None:
        engine = self._world.engines[effect.target]
        completed = {'reserve': True}

        def serve() -> ev.Event:
            completed[effect.step] = self._execute_step(engine, effect)
            point = _KV_POINTS.get(effect.step)
            if point is not None:
                self._reach_point(point, effect)
            return self._report_step(effect, completed[effect.step])

        serve_s = compute_step_s(engine, effect)
        prefill = effect.step == 'prefill'
        if prefill:
            self._world.simulation.schedule(
                serve_s / 2,
                lambda: self._reach_point(FaultPoint.PREFILLING, effect),
            )
        lost = self._report_step(effect, False)
        self._world.network.request(
            self._driver.name,
            effect.target,
            serve,
            lambda answer: self._driver.handle_event(answer or lost),
            PREFILL_TIMEOUT_S if prefill else REQUEST_TIMEOUT_S,
            serve_s,
        )

    def _reach_point(self, point: FaultPoint, effect: fx.RunGroupStep) -> None:
        self._world.reach(
            point,
            effect.attempt,
            self._driver.name,
            effect.target,
        )

    def _execute_step(
        self, engine: FakeEngine, effect: fx.RunGroupStep
    ) -> bool:
        if effect.step == 'reserve':
            return engine.reserve(
                Reservation(
                    effect.tag,
                    effect.owner,
                    effect.tokens,
                    effect.expires_wall_s,
                ),
            )
        # Every later step needs the reservation under the tag.
        if effect.tag not in engine.reservations:
            return False
        segment = KvSegment(effect.target, effect.tag)
        if effect.step == 'import':
            self._world.chains.record_import(segment, effect.handle)
        return self._world.chains.is_complete(segment, self._world.engines)

    def _report_step(
        self, effect: fx.RunGroupStep, completed: bool
    ) -> ev.Event:
        return ev.GroupStepEnded(
            effect.attempt,
            effect.target,
            effect.tag,
            effect.step,
            completed,
            handle=self._world.chains.format_handle(
                KvSegment(effect.target, effect.tag),
            ),
        )

    def _release(self, effect: fx.ReleaseHolding) -> None:
        engine = self._world.engines[effect.target]

        def serve() -> ev.Event:
            engine.release(effect.tag)
            self._world.chains.fail_streams(self._world.engines)
            return ev.HoldingReleased(effect.target, effect.tag, True)

        lost = ev.HoldingReleased(effect.target, effect.tag, False)
        self._request(effect.target, serve, lost)

    def _read_load(self, effect: fx.ReadLoad) -> None:
        """Read a target's load and cache events, each with its own lag."""
        engine = self._world.engines[effect.target]
        found: list[CacheEvent] = []

        def serve() -> LoadReport:
            found.extend(self._list_cache_events(effect, engine))
            return engine.report_load()

        def on_response(report: LoadReport | None) -> None:
            self._deliver_load(effect, report)
            if found:
                self._world.simulation.schedule(
                    self._world.cache_lag_s,
                    lambda: self._driver.handle_event(
                        ev.CacheEventsRead(effect.target, tuple(found)),
                    ),
                )

        self._world.network.request(
            self._driver.name,
            effect.target,
            serve,
            on_response,
        )

    def _deliver_load(
        self,
        effect: fx.ReadLoad,
        report: LoadReport | None,
    ) -> None:
        lag_s = self._world.load_lag_s
        if report is not None:
            report = evolve(report, age_s=lag_s)
        event = ev.LoadRead(effect.target, report)
        self._world.simulation.schedule(
            lag_s,
            lambda: self._driver.handle_event(event),
        )

    def _list_cache_events(
        self,
        effect: fx.ReadLoad,
        engine: FakeEngine,
    ) -> Iterable[CacheEvent]:
        newer = engine.cache_events[effect.after_sequence :]
        gap = self._world.cache_gap
        return (one for one in newer if not gap or one.sequence % gap)

    def _read_instances(self, effect: fx.ReadInstances) -> None:
        platform = self._world.platform

        def serve() -> ev.Event:
            if platform.list_down:
                return ev.InstancesListed(None)
            return ev.InstancesListed(platform.instances, platform.targets)

        self._request(PLATFORM_ENDPOINT, serve, ev.InstancesListed(None))

    def _read_document(self, effect: fx.ReadDocument) -> None:
        platform = self._world.platform

        def serve() -> ev.Event:
            return ev.DocumentRead(platform.read_document())

        self._world.simulation.schedule(
            effect.wait_s,
            lambda: self._request(
                PLATFORM_ENDPOINT, serve, ev.DocumentRead(None)
            ),
        )

    def _send_peer(self, effect: fx.SendPeerMessage) -> None:
        name = InstanceName(effect.address)
        if name not in self._world.drivers:
            self._driver.handle_event(ev.PeerAnswered(effect.peer, None))
            return

        def serve() -> ev.PeerAnswered:
            peer = self._world.drivers[name]
            return ev.PeerAnswered(effect.peer, peer.answer_peer(effect.text))

        self._request(name, serve, ev.PeerAnswered(effect.peer, None))

    def _read_state(self, effect: fx.ReadEngineState) -> None:
        engine = self._world.engines[effect.target]
        self._request(
            effect.target,
            lambda: ev.EngineStateRead(
                effect.target,
                engine.report_state(),
                effect.address,
            ),
            ev.EngineStateRead(effect.target, None),
        )

    def _send_order(self, effect: fx.SendOrder) -> None:
        engine = self._world.engines[effect.target]

        def serve() -> ev.Event:
            accepted = engine.apply_order(
                effect.fence,
                effect.model,
                effect.version,
                effect.adapters,
                effect.role,
            )
            self._world.reach(
                FaultPoint.ORDER_TAKEN,
                '',
                self._driver.name,
                effect.target,
            )
            return ev.OrderAnswered(effect.target, effect.fence, accepted)

        lost = ev.OrderAnswered(effect.target, effect.fence, None)
        self._request(effect.target, serve, lost)
