"""Instances whose calls compete for the slots of simulated targets."""

import asyncio
import collections
import itertools
import random

from attrs import define, evolve, field

from tests.dispatch.samples import ENGINE_PROFILE, make_record, make_route
from tests.gateway.documents import make_host, make_settings
from tests.gateway.virtual_time import run_virtually
from trefoilhinge.dispatch.calls import Call, CallHead, PromptSize
from trefoilhinge.dispatch.documents import (
    CallerLimits,
    CallKind,
    FleetDocument,
    Organisation,
    Service,
)
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import CallFailed
from trefoilhinge.gateway.rest_queue import RestQueue
from trefoilhinge.gateway.run_tracker import RunTracker
from trefoilhinge.gateway.state import make_state
from trefoilhinge.gateway.stop_guard import StopGuard, make_plan
from trefoilhinge.gateway.target_choice import TargetChoice

LATENCY_S = 0.003
SERVICES = {
    'model': Service('model', 0, ENGINE_PROFILE),
    'desk': Service('desk', 0, None),
}
DOCUMENT = FleetDocument(1, {}, SERVICES, CallerLimits(1, 1, 1, 1), None)


@define
class SimulatedTarget:
    """A target that runs as many calls as it has slots and queues others.

    :ivar most: most calls that it held at a time.
    :ivar busy_s: seconds for which its slots were in use, added up.
    """

    slots: int
    held: int = 0
    most: int = 0
    busy_s: float = 0
    _semaphore: object = None

    def __attrs_post_init__(self):
        self._semaphore = asyncio.Semaphore(self.slots)

    async def serve(self, duration_s):
        self.held += 1
        self.most = max(self.most, self.held)
        try:
            async with self._semaphore:
                await asyncio.sleep(duration_s)
                self.busy_s += duration_s
        finally:
            self.held -= 1


@define
class _Transport:
    network: object
    ip: str

    def sendto(self, data, address):
        self.network.deliver(self.ip, data, address[0])

    def close(self):
        """Do nothing; the datagrams of a closed instance are dropped."""


@define
class AdmissionNetwork:
    """Instances on a simulated network, with simulated targets.

    :ivar loss: share of the datagrams that are lost.
    :ivar groups: IP addresses that reach each other; none if all do.
    :ivar served: label and seconds of wait of each call that was placed, in
        the order of their placement.
    :ivar refused: label, seconds of wait and refusal of each other call.
    """

    targets: dict
    loss: float = 0
    groups: list | None = None
    peers: dict = field(factory=dict)
    served: list = field(factory=list)
    refused: list = field(factory=list)
    datagrams: collections.Counter = field(factory=collections.Counter)
    _tasks: dict = field(factory=dict)
    _random: random.Random = field(factory=lambda: random.Random(7))
    _numbers: object = field(factory=itertools.count)

    def start(self, ip, seeds):
        """Start an instance that has been running for long."""
        settings = make_settings(1, seeds, ip)
        state = make_state(
            evolve(settings, has_scarce_room=True, allows_admission=True)
        )
        state.started_s = float('-inf')
        state.document = DOCUMENT
        state.directory.revision = 1
        for name, target in self.targets.items():
            service = 'model' if name.startswith('t') else 'desk'
            state.apply_target(
                make_record(name, service=service, slots=target.slots)
            )
        peers = PeerExchange(state)
        peers.connection_made(_Transport(self, ip))
        self.peers[ip] = peers
        self._tasks[ip] = [asyncio.ensure_future(peers.run_heartbeats())]
        self._tasks[ip].append(asyncio.ensure_future(self._sweep(peers)))

    def kill(self, ip):
        """Let an instance fail with all its calls."""
        peers = self.peers.pop(ip)
        peers.admission.close()
        for task in self._tasks.pop(ip):
            task.cancel()

    def call(self, ip, label='', **fields):
        """Make a call at an instance."""
        task = asyncio.ensure_future(self._call(ip, label, **fields))
        self._tasks[ip].append(task)
        return task

    def deliver(self, sender, data, receiver):
        """Deliver a datagram after the latency, unless it is lost."""
        self.datagrams[sender] += len(data)
        if sender not in self.peers or self._random.random() < self.loss:
            return
        if self.groups is not None and not any(
            {sender, receiver} <= set(group) for group in self.groups
        ):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._receive, sender, data, receiver)

    async def wait_until_served(self):
        """Wait until no call is left."""
        for tasks in tuple(self._tasks.values()):
            await asyncio.gather(*tasks[2:], return_exceptions=True)

    def close(self):
        for ip in tuple(self.peers):
            self.kill(ip)

    def _receive(self, sender, data, receiver):
        if receiver in self.peers:
            self.peers[receiver].datagram_received(data, (sender, 0))

    async def _sweep(self, peers):
        while True:
            await asyncio.sleep(0.5)
            peers.admission.sweep()

    async def _call(
        self, ip, label, duration_s=1.0, leaves_after_s=None, **fields
    ):
        state = self.peers[ip]._state
        call = make_call(next(self._numbers), state.get_now_s(), **fields)
        progress = CallProgress(call.received_s)
        choice = TargetChoice(
            state,
            self.peers[ip].permits,
            RestQueue(state),
            self.peers[ip].admission,
            call,
            StopGuard(state, call, progress, make_plan(state, call)),
        )
        try:
            async with asyncio.timeout(leaves_after_s):
                placement, number = await choice.choose(progress, set())
        except (CallFailed, TimeoutError) as failure:
            waited_s = state.get_now_s() - call.received_s
            refusal = getattr(failure, 'refusal', None)
            self.refused.append((label, waited_s, refusal))
            return
        tracker = RunTracker(state, self.peers[ip], call)
        tracker.start(placement, number)
        self.served.append((label, state.get_now_s() - call.received_s))
        try:
            await asyncio.sleep(LATENCY_S)
            target = self.targets[placement.parts[0].target]
            await target.serve(duration_s)
        finally:
            tracker.end()


def make_call(
    number,
    now_s,
    service='desk',
    tokens=None,
    output_tokens=1000,
    organisation='mill',
    priority=1,
    timeout_s=30,
    **route,
):
    """Return a call that arrives now; a plain one unless it has tokens."""
    size = None
    if tokens is not None:
        service = 'model'
        size = PromptSize(tokens, output_tokens, output_tokens)
    kind = CallKind.idempotent if tokens is None else CallKind.stream
    defaults = {
        'kind': kind,
        'slo_s': 0.5,
        'gap_slo_s': 1.0,
        'timeout_s': timeout_s,
    }
    head = CallHead(
        b'POST', b'/', 'h', '/', f'r{number}', None, None, size, None, ()
    )
    return Call(
        head=head,
        body=b'',
        route=make_route(**{**defaults, **route}),
        service=service,
        organisation=Organisation(organisation, priority),
        received_s=now_s,
        deadline_s=now_s + timeout_s,
        caller_deadline_s=now_s + timeout_s,
    )


async def make_network(instances, targets, **fields):
    """Return instances that have heard each other.

    :param targets: slots by name; those that begin with ``t`` are engines.
    """
    network = AdmissionNetwork(
        {name: SimulatedTarget(slots) for name, slots in targets.items()}
    )
    ips = [make_host(1 + number) for number in range(instances)]
    for ip in ips:
        network.start(ip, tuple(ips))
    await asyncio.sleep(2)
    network.datagrams.clear()
    for name, value in fields.items():
        setattr(network, name, value)
    return network


def run_with(instances, targets, scenario, **fields):
    """Run a scenario on a new network."""

    async def run():
        network = await make_network(instances, targets, **fields)
        try:
            return await scenario(network)
        finally:
            network.close()

    return run_virtually(run())
