"""Instances that ask each other for permits over a simulated network."""

import asyncio
import itertools
import random

from attrs import define, field

from tests.gateway.documents import make_host, make_settings
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.permits import PermitRequest, PermitVerdict
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.gateway.permits import Permits
from trefoilhinge.gateway.state import make_state

TARGET = 't00'
STARTED_MS = 1000
LATENCY_S = 0.002
ASK_INTERVAL_S = 0.1


@define
class PermitNetwork:
    """Instances whose calls all go to one limited target.

    :ivar loss: share of the datagrams that are lost.
    :ivar groups: IP addresses that reach each other; none if all do.
    :ivar dead: IP addresses of instances that have failed.
    :ivar sent_s: times at which calls were sent to the target.
    """

    states: dict = field(factory=dict)
    permits: dict = field(factory=dict)
    loss: float = 0
    groups: list | None = None
    dead: set = field(factory=set)
    sent_s: list = field(factory=list)
    _random: random.Random = field(factory=lambda: random.Random(7))
    _asked: object = field(factory=itertools.count)

    def is_linked(self, one, other):
        """Return whether datagrams between two instances arrive."""
        if self.dead & {one, other}:
            return False
        return self.groups is None or any(
            {one, other} <= set(group) for group in self.groups
        )

    def deliver(self, sender, message, receiver):
        """Deliver a message after the latency, unless it is lost."""
        if not self.is_linked(sender, receiver):
            return
        if self._random.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            LATENCY_S,
            self.permits[receiver].apply_message,
            message,
            sender,
        )

    async def exchange_heartbeats(self):
        """Let all linked instances hear each other, until cancelled."""
        while True:
            for one, other in itertools.permutations(self.states, 2):
                if self.is_linked(one, other):
                    now_s = self.states[other].get_now_s()
                    self.states[other].peers.record_heartbeat(
                        Heartbeat(one, f'{one}/1', 'a', 1, 1, False, ()), now_s
                    )
            some = next(iter(self.states.values()))
            interval_s = some.peers.compute_heartbeat_interval_s()
            await asyncio.sleep(interval_s)
            for ip, state in self.states.items():
                if ip not in self.dead:
                    # Removes instances that are silent for long.
                    state.peers.list_heartbeat_receivers((), state.get_now_s())

    async def call(self, ip, until_s):
        """Ask for permits at an instance until a time."""
        state = self.states[ip]
        await asyncio.sleep(self._random.uniform(0, ASK_INTERVAL_S))
        while state.get_now_s() < until_s and ip not in self.dead:
            await asyncio.sleep(ASK_INTERVAL_S)
            if not state.permits.has_room(
                TARGET, STARTED_MS, state.get_now_s()
            ):
                continue
            request = PermitRequest(
                state.origin, next(self._asked), TARGET, STARTED_MS, 1, 0
            )
            decision = await self.permits[ip].acquire(request, lambda: False)
            if decision.verdict is PermitVerdict.granted:
                self.sent_s.append(state.get_now_s())
                self._announce_run(ip, request.key)

    def _announce_run(self, sender, key):
        for ip, state in self.states.items():
            is_lost = ip != sender and self._random.random() < self.loss
            if self.is_linked(sender, ip) and not is_lost:
                state.permits.charge(TARGET, key, state.get_now_s())

    def find_owner(self):
        """Return the IP address of the owner as the first instance sees it."""
        return next(iter(self.permits.values())).find_owner(TARGET)


def make_network(count, rate):
    """Return instances that know a limit and each other."""
    network = PermitNetwork()
    now_s = asyncio.get_running_loop().time()
    for number in range(count):
        ip = make_host(1 + number)
        state = make_state(make_settings(1, ip=ip))
        state.origin = f'{ip}/1'
        network.states[ip] = state
        network.permits[ip] = Permits(
            state,
            lambda message, to, sender=ip: network.deliver(sender, message, to),
        )
        named = NamedRate(TARGET, STARTED_MS, rate, now_s, now_s)
        network.permits[ip].apply_named_rate(named, 'test')
    return network
