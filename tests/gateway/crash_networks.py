"""Instances that pool evidence of crashes over a simulated network.

Calls run at simulated targets, many at a time. Bad calls crash the target that
begins to write an answer; the others that it had begun break with them.
"""

import asyncio
import itertools
import random

from attrs import define, field

from tests.gateway.documents import make_host, make_settings
from trefoilhinge.dispatch.crash_evidence import EVENTS_UNDER_WAY
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.gateway.permits import Permits
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.quarantine import Quarantine
from trefoilhinge.gateway.quarantine_gate import QuarantineGate
from trefoilhinge.gateway.refusals import CallFailed
from trefoilhinge.gateway.state import make_state

LATENCY_S = 0.002
DETECTION_S = 0.005  # until a crash is confirmed
PREFILL_S = (0.05, 0.3)
EVENT_INTERVAL_S = 0.05
EVENTS = 30
RESTART_S = (2.0, 5.0)
ATTEMPTS = 2
# Shared parts: one of all calls, one of each organisation, one of a few calls.
ORGANISATIONS = 10
DOCUMENTS = 200
BAD = 'bad'
# Sound calls of an organisation whose requests are equal but for their prompts.
POPULAR_SHARE = 0.2
POPULAR_BODY = b'popular'
# Times between waves of crashes, and the share of the targets in each.
WAVE_INTERVALS_S = (5.0, 3.0, 0.5, 5.0, 0.3, 0.3)
WAVE_SHARE = 0.6


@define(eq=False)
class SimulatedTarget:
    """A target that may be down."""

    name: str
    started_ms: int = 1
    is_up: bool = True
    crashed: asyncio.Event = field(factory=asyncio.Event)


@define
class SimulatedHead:
    request_id: str
    prompt_parts: tuple
    host: str = 'desk.example'
    target: bytes = b'/stream/1'


@define
class SimulatedCall:
    """What the quarantine reads of a call."""

    head: SimulatedHead
    body: bytes
    organisation: object = None
    priority: int = 1


@define
class SimulatedPeers:
    """What the quarantine gate uses of the exchange with peers."""

    quarantine: Quarantine
    permits: Permits = None


@define
class CrashNetwork:
    """Instances, targets and what happened.

    :ivar loss: share of the datagrams that are lost.
    :ivar crashes_s: times of crashes under bad calls.
    :ivar bad_sent_s: times at which bad calls were sent.
    :ivar sound: of each sound call: when it came, and whether it was refused
        because of a quarantine.
    """

    targets: list
    loss: float = 0
    bad_share: float = 0.08
    states: dict = field(factory=dict)
    peers: dict = field(factory=dict)
    crashes_s: list = field(factory=list)
    bad_sent_s: list = field(factory=list)
    sound: list = field(factory=list)
    chance: random.Random = field(factory=lambda: random.Random(7))
    _numbers: object = field(factory=itertools.count)

    def start(self, ip):
        """Start an instance that has been running for long."""
        state = make_state(make_settings(1, ip=ip))
        state.started_s = float('-inf')
        self.states[ip] = state

        def send_to_all(message):
            for other in self.states:
                if other != ip:
                    self._deliver(ip, message, other)

        peers = SimulatedPeers(Quarantine(state, send_to_all, send_to_all))
        peers.permits = Permits(
            state,
            lambda message, to: self._deliver(ip, message, to),
            peers.quarantine.grant_probe,
        )
        self.peers[ip] = peers

    async def exchange_heartbeats(self):
        """Let all instances hear each other, until cancelled."""
        while True:
            for one, other in itertools.permutations(self.states, 2):
                self._hear(one, other)
            some = next(iter(self.states.values()))
            await asyncio.sleep(some.peers.compute_heartbeat_interval_s())

    async def run(self, seconds, calls_per_s, crash_targets=None):
        """Make calls.

        :param crash_targets: coroutine function that lets targets crash on
            their own meanwhile.
        """
        heartbeats = asyncio.ensure_future(self.exchange_heartbeats())
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        crashing = asyncio.ensure_future(
            crash_targets(self) if crash_targets else asyncio.sleep(0)
        )
        calls = []
        while loop.time() < until_s:
            calls.append(asyncio.ensure_future(self._call()))
            await asyncio.sleep(self.chance.expovariate(calls_per_s))
        await asyncio.gather(*calls)
        crashing.cancel()
        heartbeats.cancel()
        for peers in self.peers.values():
            peers.quarantine.close()

    async def crash(self, target):
        """Let a target crash and start again."""
        if not target.is_up:
            return
        target.is_up = False
        target.crashed.set()
        await asyncio.sleep(self.chance.uniform(*RESTART_S))
        target.started_ms += 1
        target.crashed = asyncio.Event()
        target.is_up = True

    async def _call(self):
        ip = self.chance.choice(tuple(self.states))
        is_bad = self.chance.random() < self.bad_share
        document = self.chance.randrange(DOCUMENTS)
        organisation = f'o{document % ORGANISATIONS}'
        parts = ['all', organisation, f'd{document}', *([BAD] * is_bad)]
        head = SimulatedHead(str(next(self._numbers)), tuple(parts))
        is_popular = not is_bad and self.chance.random() < POPULAR_SHARE
        body = POPULAR_BODY if is_popular else head.request_id.encode()
        call = SimulatedCall(head, body)
        progress = CallProgress(0)
        gate = QuarantineGate(self.states[ip], self.peers[ip], call, progress)
        begin_s = asyncio.get_running_loop().time()
        is_refused = False
        try:
            for _ in range(ATTEMPTS):
                gate.check()
                if await self._try(ip, call, gate, progress, is_bad):
                    break
        except CallFailed:
            is_refused = True
        if not is_bad:
            self.sound.append((begin_s, is_refused))

    async def _try(self, ip, call, gate, progress, is_bad):
        loop = asyncio.get_running_loop()
        up = [target for target in self.targets if target.is_up]
        if not up:
            return False
        target = self.chance.choice(up)
        incarnation, crashed = target.started_ms, target.crashed
        await gate.enter()
        progress.record_attempt(loop.time())
        if is_bad:
            self.bad_sent_s.append(loop.time())
        if await _happens(crashed, self.chance.uniform(*PREFILL_S)):
            await self._report(ip, call, progress, target, incarnation)
            return False
        if is_bad:
            self.crashes_s.append(loop.time())
            asyncio.ensure_future(self.crash(target))  # noqa: RUF006
        for _ in range(EVENTS):
            if await _happens(crashed, EVENT_INTERVAL_S):
                await self._report(ip, call, progress, target, incarnation)
                return False
            progress.record_event(loop.time())
            gate.record_event()
        gate.record_answer()
        return True

    async def _report(self, ip, call, progress, target, incarnation):
        broken_s = asyncio.get_running_loop().time()
        await asyncio.sleep(DETECTION_S)
        if progress.attempt_events < EVENTS_UNDER_WAY:
            record = SimulatedTarget(target.name, incarnation)
            self.peers[ip].quarantine.report_crash(
                record, call, progress.attempt_sent_s, broken_s
            )

    def _deliver(self, sender, message, receiver):
        if self.chance.random() < self.loss:
            return
        peers = self.peers[receiver]
        is_permit = type(message).__name__.startswith('Permit')
        part = peers.permits if is_permit else peers.quarantine
        asyncio.get_running_loop().call_later(
            LATENCY_S, part.apply_message, message, sender
        )

    def _hear(self, one, other):
        if self.chance.random() < self.loss:
            return
        state = self.states[other]
        heartbeat = Heartbeat(
            one, self.states[one].origin, 'a', 1, 1, False, ()
        )
        state.peers.record_heartbeat(heartbeat, state.get_now_s())


async def _happens(event, timeout_s):
    """Return whether an event happens within a time."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


def make_network(instances, targets, seed, **fields):
    """Return instances that know each other, and targets."""
    network = CrashNetwork(
        [SimulatedTarget(f't{number}') for number in range(targets)],
        chance=random.Random(seed),
        **fields,
    )
    for number in range(instances):
        network.start(make_host(1 + number))
    return network


def crash_at_random(mean_s):
    """Return a coroutine function that lets targets crash by themselves.

    :param mean_s: mean time between two crashes of one target.
    """

    async def crash(network):
        rate = len(network.targets) / mean_s
        while True:
            await asyncio.sleep(network.chance.expovariate(rate))
            target = network.chance.choice(network.targets)
            asyncio.ensure_future(network.crash(target))  # noqa: RUF006

    return crash


async def crash_in_waves(network):
    """Let most targets crash at a time, several times."""
    for wait_s in WAVE_INTERVALS_S:
        await asyncio.sleep(wait_s)
        for target in network.targets:
            if network.chance.random() < WAVE_SHARE:
                asyncio.ensure_future(network.crash(target))  # noqa: RUF006
