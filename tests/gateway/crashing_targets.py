"""Fake engines that some requests crash."""

import asyncio
import time

from attrs import define, field

from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.targets import SEAL_HEADER, make_event

PREFILL_S = 0.05
EVENTS = 8
EVENT_INTERVAL_S = 0.05
RESTART_S = 0.8


@define
class CrashingFleet:
    """Targets that crash under some requests and start again.

    :ivar crashes: whether a request crashes the target that begins to run it.
    :ivar fleet: the fleet of instances in front of the targets.
    :ivar bad_arrivals_s: times at which requests arrived that crash targets.
    :ivar crash_times_s: times of the crashes.
    :ivar begun: identifiers of requests that were begun by a target.
    """

    crashes: object
    fleet: object = None
    bad_arrivals_s: list = field(factory=list)
    crash_times_s: list = field(factory=list)
    begun: set = field(factory=set)
    _open: dict = field(factory=dict)
    _restarts: set = field(factory=set)

    def make_handler(self, name):
        """Return the handler of the target with a name."""

        async def handle(exchange):
            writers = self._open.setdefault(name, set())
            writers.add(exchange.writer)
            try:
                await self._serve(name, exchange)
            finally:
                writers.discard(exchange.writer)

        return handle

    def make_handlers(self, *names):
        """Return the handlers of targets by their names."""
        return {name: self.make_handler(name) for name in names}

    def count_bad_arrivals(self, begin_s):
        """Return the requests that crash targets, from a time on."""
        return sum(at_s >= begin_s for at_s in self.bad_arrivals_s)

    async def serve_calls(self, names, peers, make_calls):
        """Run targets behind several instances while calls are made.

        :param names: names of the targets.
        :param peers: number of instances beside the first one.
        :param make_calls: coroutine function that gets the instances.
        """
        async with run_fleet(**self.make_handlers(*names)) as self.fleet:
            async with run_peers(self.fleet, peers) as others:
                await make_calls([self.fleet, *others])

    def crash(self, name):
        """Let a target end with all its connections, and start again."""
        target = self.fleet.targets[name]
        self.crash_times_s.append(time.monotonic())
        target._server.close()
        for writer in tuple(self._open.get(name, ())):
            writer.transport.abort()
        restart = asyncio.ensure_future(self._restart(target))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _serve(self, name, exchange):
        headers = exchange.headers
        if self.crashes(exchange):
            self.bad_arrivals_s.append(time.monotonic())
        is_plain = 'x-token-count' not in headers
        await asyncio.sleep(PREFILL_S)
        if exchange.writer.transport.is_closing():
            return
        if not is_plain:
            await exchange.send_headers(
                200, [SEAL_HEADER, ('Content-Type', 'text/event-stream')]
            )
        if self.crashes(exchange):
            self.crash(name)
            return
        self.begun.add(headers['x-request-id'])
        if is_plain:
            await exchange.respond(200, b'done', [SEAL_HEADER])
            return
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            await exchange.send_body(make_event(number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        await exchange.end_response()

    async def _restart(self, target):
        await asyncio.sleep(RESTART_S)
        await target.start()
        self.fleet.store.put_target(
            target.name,
            target.address,
            'desk' if target.name.startswith('d') else 'model',
            born=int(time.time() * 1000),
        )
