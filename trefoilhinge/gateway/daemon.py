"""The gateway process: its listeners, its readers and its stop."""

import asyncio
import json
import os
import pathlib
import signal

from attrs import asdict, define, field

from trefoilhinge.dispatch.documents import CallerLimits
from trefoilhinge.dispatch.settings import Address, GatewaySettings
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.gateway.state import Beliefs, make_beliefs
from trefoilhinge.gateway.caller_connections import (
    DEFAULT_LIMITS,
    CallerConnection,
)
from trefoilhinge.gateway.replication import answer_peer
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.http_server import Answer, Page, serve_pages
from trefoilhinge.gateway.store_watcher import StoreReader
from trefoilhinge.gateway.call_service import CallService
from trefoilhinge.gateway.snapshots import make_snapshot
from trefoilhinge.platform.settings import PATH_VARIABLE, decode_settings

BACKLOG = 1_024  # connections that wait while the process is busy
SWEEP_S = 0.5  # between looks for what is overdue
STOP_SETTLES_S = 2.5  # the platform sends callers elsewhere within two seconds
STOP_QUIET_S = 3.5  # a second later nothing that was sent before is on its way
STOP_MARGIN_S = 0.5  # before the platform kills the process
STOP_LOOK_S = 0.1


@define
class Gateway:
    """One instance."""

    _beliefs: Beliefs
    _peers: PeerExchange
    _service: CallService
    _reader: StoreReader
    _callers: set[CallerConnection] = field(factory=set)
    _tasks: list[asyncio.Task[None]] = field(factory=list)
    _servers: list[asyncio.Server] = field(factory=list)
    _stopped: asyncio.Event = field(factory=asyncio.Event)

    def close(self) -> None:
        """End all that is still running, at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._peers.close()

    async def run(self) -> None:
        """Serve until the order to stop was carried out."""
        settings = self._beliefs.settings
        self._beliefs.log.write('started', origin=self._beliefs.origin)
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._note_exception)
        await loop.create_datagram_endpoint(
            lambda: self._peers,
            local_addr=(settings.ip, settings.first_port),
        )
        await self._open_pages(settings)
        entry = await asyncio.start_server(
            self._take_caller, *settings.entry, backlog=BACKLOG
        )
        self._servers.append(entry)
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for work in (self._peers.speak(), self._reader.run(), self._sweep()):
            task = asyncio.ensure_future(work)
            task.add_done_callback(self._note_task_end)
            self._tasks.append(task)
        await self._stopped.wait()

    async def _open_pages(self, settings: GatewaySettings) -> None:
        pages: list[tuple[Address, Answer]] = [
            ((settings.ip, settings.first_port), self._answer_peer),
            (settings.readiness, self._answer_readiness),
            (settings.metrics, self._answer_operator),
        ]
        if settings.control is not None:
            pages.append((settings.control, self._answer_operator))
        for address, answer in pages:
            self._servers.append(await serve_pages(address, answer))

    async def _take_caller(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        caller = CallerConnection(
            reader,
            writer,
            self._get_limits,
            lambda: self._beliefs.is_stopping,
        )
        self._callers.add(caller)
        try:
            await caller.run(self._service.serve)
        except Exception as problem:  # noqa: BLE001
            self._beliefs.log.write(
                'connection_failed',
                problem=f'{type(problem).__name__}: {problem}',
            )
        finally:
            self._callers.discard(caller)

    def _note_exception(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, object],
    ) -> None:
        problem = context.get('exception')
        self._beliefs.log.write(
            'task_failed',
            message=context.get('message'),
            problem=f'{type(problem).__name__}: {problem}',
        )

    def _note_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        problem = task.exception()
        self._beliefs.log.write(
            'task_failed',
            message=task.get_name(),
            problem=f'{type(problem).__name__}: {problem}',
        )

    def _get_limits(self) -> CallerLimits:
        document = self._beliefs.document
        return document.limits if document else DEFAULT_LIMITS

    def _answer_peer(self, path: str) -> Page:
        return answer_peer(self._beliefs, path)

    def _answer_readiness(self, path: str) -> Page:
        return Page(200 if self._beliefs.is_ready else 503)

    def _answer_operator(self, path: str) -> Page:
        if path == '/metrics':
            return Page(200, self._beliefs.counters.format_text().encode())
        if path == '/status':
            snapshot = make_snapshot(self._beliefs, self._service.active)
            content = json.dumps(asdict(snapshot)).encode()
            return Page(200, content, 'application/json')
        return Page(404)

    async def _sweep(self) -> None:
        beliefs = self._beliefs
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = beliefs.get_now_s()
            for record in beliefs.directory.expire_lapsed(now_s):
                beliefs.log.write(
                    'target_left', target=record.name, reason='lapsed'
                )
            overdue = beliefs.loads.forget_overdue(now_s)
            if overdue:
                beliefs.log.write('runs_forgotten', count=overdue)
            beliefs.counters.set('calls_active', self._service.active)
            beliefs.log.flush()

    def _begin_stop(self) -> None:
        if self._beliefs.is_stopping:
            return
        self._beliefs.is_stopping = True
        self._beliefs.log.write('stop_ordered', active=self._service.active)
        self._tasks.append(asyncio.ensure_future(self._stop()))

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        grace_s = self._beliefs.settings.bounds.grace_s
        self._beliefs.settles_s = loop.time() + STOP_SETTLES_S
        self._beliefs.stops_s = loop.time() + grace_s - STOP_MARGIN_S
        latest_s = self._beliefs.stops_s
        await asyncio.sleep(STOP_QUIET_S)
        while loop.time() < latest_s:
            self._close_idle()
            if not self._service.active:
                # What comes from now on is refused, so that none is cut.
                self._beliefs.stops_s = loop.time()
            await asyncio.sleep(STOP_LOOK_S)
            ends = self._beliefs.stops_s < latest_s
            if ends and not self._service.active:
                break
        self._beliefs.log.write('stopped', active=self._service.active)
        self._stopped.set()

    def _close_idle(self) -> None:
        for caller in tuple(self._callers):
            caller.close_idle()

    def _reload(self) -> None:
        try:
            settings = load_settings()
        except ImproperlyConfigured as problem:
            self._beliefs.log.write('reload_refused', problem=problem)
            return
        self._beliefs.settings = settings
        self._beliefs.log.write('reloaded')


def load_settings() -> GatewaySettings:
    """Read the settings file that the environment names.

    :raises ImproperlyConfigured: none is named, or it cannot be read.
    """
    name = os.environ.get(PATH_VARIABLE)
    if not name:
        raise ImproperlyConfigured(
            f'set {PATH_VARIABLE} to the path of the settings file',
        )
    return read_settings(name)


def read_settings(name: str) -> GatewaySettings:
    """Read a settings file.

    :raises ImproperlyConfigured: it cannot be read.
    """
    try:
        text = pathlib.Path(name).read_text(encoding='utf-8')
    except OSError as problem:
        raise ImproperlyConfigured(f'{name}: {problem.strerror}') from problem
    return decode_settings(text)


def make_gateway(settings: GatewaySettings) -> Gateway:
    """Return an instance that has not started."""
    beliefs = make_beliefs(settings)
    peers = PeerExchange(beliefs)
    return Gateway(
        beliefs,
        peers,
        CallService(beliefs, peers),
        StoreReader(beliefs, peers),
    )


def run_gateway() -> None:
    """Run an instance with the settings that the environment names."""

    async def run() -> None:  # noqa: WPS430
        await make_gateway(load_settings()).run()

    asyncio.run(run())
