"""The gateway process: listeners, background tasks and graceful stop."""

import asyncio
import json
import signal
from collections.abc import Callable, Coroutine

from attrs import asdict, define, field

from trefoilhinge.allocator import Allocator, make_allocator
from trefoilhinge.dispatch.caller_bounds import find_connection_bounds
from trefoilhinge.dispatch.documents import CallerLimits
from trefoilhinge.dispatch.settings import Address, GatewaySettings
from trefoilhinge.dispatch.stops import StopSchedule
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.gateway.call_service import CallService
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.connection_table import ConnectionTable
from trefoilhinge.gateway.demand.short_calls import DemandReport
from trefoilhinge.gateway.early_signals import record_signals, take_signals
from trefoilhinge.gateway.http_server import (
    HttpResponse,
    HttpServer,
    RequestHandler,
    ServedConnection,
    serve_http,
)
from trefoilhinge.gateway.listeners import CallerListener, listen
from trefoilhinge.gateway.missing_targets import MissingTargets
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.planned_stop import PlannedStop
from trefoilhinge.gateway.relay_server import RelayServer
from trefoilhinge.gateway.replication import handle_peer_request
from trefoilhinge.gateway.request_checks import DEFAULT_LIMITS
from trefoilhinge.gateway.settings_files import load_settings
from trefoilhinge.gateway.state import GatewayState, make_state
from trefoilhinge.gateway.store_changes import StoreChanges
from trefoilhinge.gateway.store_watcher import StoreWatcher
from trefoilhinge.gateway.target_entries import TargetEntries
from trefoilhinge.gateway.tcp import CountingReader

SWEEP_INTERVAL_S = 0.5
TASK_RESTART_DELAY_S = 0.5  # of a background task that failed
# For lines that wait at the exit. A reader that has stopped delays it by that.
EXIT_FLUSH_S = 0.05
# The kernel doubles it. All that is there is read at once, from each connection
# before any of it is handled, so it adds to what is held.
CALLER_RECEIVE_BYTES = 32_768


@define
class Gateway:
    """One gateway instance."""

    _state: GatewayState
    _peers: PeerExchange
    _service: CallService
    _store_watcher: StoreWatcher
    _relay_server: RelayServer
    _callers: ConnectionTable[CallerConnection]
    _tasks: list[asyncio.Task[None]] = field(factory=list)
    _servers: list[HttpServer] = field(factory=list)
    _entry: CallerListener | None = None
    _allocator: Allocator = field(factory=Allocator)
    _stopped: asyncio.Event = field(factory=asyncio.Event)

    def close(self) -> None:
        """Cancel all tasks and close all sockets at once."""
        for task in self._tasks:
            task.cancel()
        if self._entry is not None:
            self._entry.stop()
        for server in self._servers:
            server.close()
        self._relay_server.stop()
        self._service.close()
        self._peers.close()

    def prepare_memory(self) -> None:
        """Let the process return what crowds of callers have used."""
        self._allocator = make_allocator()
        if not self._allocator.is_known:
            self._state.log.write('allocator_unknown')
        self._allocator.map_long_blocks()

    def flush_log(self) -> None:
        """Write what is left of the log, as far as its reader takes it."""
        self._state.log.flush(EXIT_FLUSH_S)

    async def run(self) -> None:
        """Serve until a stop by SIGTERM is complete.

        SIGHUP reads the settings file again.
        """
        settings = self._state.settings
        self._state.log.write('started', origin=self._state.origin)
        loop = asyncio.get_running_loop()
        self._state.started_s = loop.time()
        loop.set_exception_handler(self._log_loop_exception)
        if not self._handle_signals(loop):
            return
        await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=(settings.ip, settings.first_port),
        )
        await self._start_http_servers(settings)
        self._relay_server.start()
        is_bounded = self._state.held_memory.is_bounded
        self._entry = listen(
            settings.entry,
            self._handle_caller,
            self._callers,
            CALLER_RECEIVE_BYTES if is_bounded else 0,
        )
        self._entry.start()
        for run in (
            self._peers.run_heartbeats,
            self._peers.reach.run,
            self._peers.evacuations.run,
            self._store_watcher.run,
            MissingTargets(self._state).run,
            self._sweep,
        ):
            self._tasks.append(asyncio.ensure_future(self._keep_running(run)))
        await self._stopped.wait()

    def _handle_signals(self, loop: asyncio.AbstractEventLoop) -> bool:
        """Handle signals from now on, and those that came before.

        :return: whether to start; a process that was ordered to stop before it
            listened has no calls to wait for.
        """
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        received = take_signals()
        if signal.SIGTERM in received:
            self._state.log.write('stopped', active=0)
            return False
        if signal.SIGHUP in received:
            self._reload()
        return True

    async def _keep_running(
        self, run: Callable[[], Coroutine[object, object, None]]
    ) -> None:
        """Run a background task again after an unexpected error."""
        while True:
            try:
                await run()
            except Exception as problem:  # noqa: BLE001
                self._state.log.write(
                    'task_failed',
                    message=run.__qualname__,
                    problem=f'{type(problem).__name__}: {problem}',
                )
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _start_http_servers(self, settings: GatewaySettings) -> None:
        peers = (settings.ip, settings.first_port)
        endpoints: list[tuple[str, Address, RequestHandler]] = [
            ('peers', peers, self._handle_peer_request),
            ('readiness', settings.readiness, self._handle_readiness_request),
            ('metrics', settings.metrics, self._handle_operator_request),
        ]
        if settings.control is not None:
            endpoints.append(
                ('control', settings.control, self._handle_operator_request)
            )
        bounds = find_connection_bounds(
            settings.descriptors, settings.memory_bytes
        )
        for name, address, handler in endpoints:
            table: ConnectionTable[ServedConnection] = ConnectionTable(
                name, bounds.service, self._state.log, self._state.metrics
            )
            self._servers.append(await serve_http(address, handler, table))

    async def _handle_caller(
        self,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        caller = CallerConnection(
            reader,
            writer,
            self._get_limits,
            lambda: self._state.is_stopping,
            self._state.held_memory,
            self._state.read_turns,
            table=self._callers,
        )
        try:
            await caller.run(
                self._service.serve, self._service.find_head_refusal
            )
        except Exception as problem:  # noqa: BLE001
            self._state.log.write(
                'connection_failed',
                problem=f'{type(problem).__name__}: {problem}',
            )

    def _log_loop_exception(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, object],
    ) -> None:
        problem = context.get('exception')
        self._state.log.write(
            'task_failed',
            message=context.get('message'),
            problem=f'{type(problem).__name__}: {problem}',
        )

    def _get_limits(self) -> CallerLimits:
        document = self._state.document
        return document.limits if document else DEFAULT_LIMITS

    def _handle_peer_request(self, path: str) -> HttpResponse:
        return handle_peer_request(self._state, path)

    def _handle_readiness_request(self, path: str) -> HttpResponse:
        return HttpResponse(200 if self._state.is_ready else 503)

    def _handle_operator_request(self, path: str) -> HttpResponse:
        if path == '/metrics':
            return HttpResponse(
                200, self._state.metrics.format_prometheus().encode()
            )
        if path == '/status':
            # Rarely asked for; its classes would delay each start.
            from trefoilhinge.gateway import snapshots  # noqa: WPS433

            snapshot = snapshots.make_snapshot(
                self._state, self._peers.permits, self._service.active
            )
            content = json.dumps(asdict(snapshot)).encode()
            return HttpResponse(200, content, 'application/json')
        return HttpResponse(404)

    async def _sweep(self) -> None:
        state = self._state
        demand = DemandReport(state)
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = state.get_now_s()
            state.directory.expire_claims(now_s)
            state.remove_departed_limits()
            state.rests.remove_ended(now_s)
            state.cold.remove_ended(now_s)
            state.reach.forget_departed(
                state.directory.departed,
                state.document.services if state.document else (),
            )
            self._peers.quarantine.remove_expired()
            self._service.connections.sweep()
            self._peers.admission.sweep()
            overdue = state.loads.remove_overdue(now_s)
            if overdue:
                state.log.write('runs_forgotten', count=overdue)
            demand.update()
            state.metrics.set_gauge('calls_active', self._service.active)
            self._follow_crowds()

    def _follow_crowds(self) -> None:
        """Return the memory of callers that were refused for others."""
        was_crowded = self._callers.report()
        for server in self._servers:
            was_crowded |= server.report()
        if self._state.held_memory.take_shed() or was_crowded:
            self._allocator.return_free_memory()
        self._state.log.flush()

    def _begin_stop(self) -> None:
        state = self._state
        if state.stop is not None:
            return
        schedule = StopSchedule(
            state.get_now_s(), state.settings.bounds.grace_s
        )
        state.stop = schedule
        state.startup.release()
        stop = PlannedStop(
            state,
            self._service,
            lambda: (*self._callers, *self._relay_server.connections),
            self._stop_listening,
            schedule,
        )
        self._tasks.append(asyncio.ensure_future(self._stop(stop)))

    async def _stop(self, stop: PlannedStop) -> None:
        await stop.run()
        self._peers.announce_end()
        self._stopped.set()

    async def _stop_listening(self) -> None:
        """Refuse connections once those that wait are accepted."""
        self._relay_server.stop()
        await self._relay_server.wait_until_handed_over()
        if self._entry is not None:
            self._entry.stop()
            await self._entry.wait_until_handed_over()

    def _reload(self) -> None:
        try:
            settings = load_settings()
        except ImproperlyConfigured as problem:
            self._state.log.write('reload_refused', problem=problem)
            return
        self._state.settings = settings
        self._state.log.write('reloaded')


def make_gateway(settings: GatewaySettings) -> Gateway:
    """Return an instance that is not running yet."""
    state = make_state(settings)
    peers = PeerExchange(state)
    service = CallService(state, peers)
    bounds = find_connection_bounds(settings.descriptors, settings.memory_bytes)
    return Gateway(
        state,
        peers,
        service,
        StoreWatcher(
            state,
            StoreChanges(state, TargetEntries(state, peers), peers.evacuations),
            peers.store_reads,
        ),
        RelayServer(state, service),
        ConnectionTable('callers', bounds.callers, state.log, state.metrics),
    )


def run_gateway() -> None:
    """Run an instance with the settings that the environment names."""
    record_signals()

    gateway = make_gateway(load_settings())
    gateway.prepare_memory()
    try:
        asyncio.run(gateway.run())
    finally:
        gateway.flush_log()
