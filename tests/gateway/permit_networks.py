"""Instances that ask each other for permits over a simulated network."""

import asyncio
import itertools
import random

from attrs import define, field

from tests.gateway.documents import make_host, make_settings
from trefoilhinge.dispatch.messages import TargetRateNamed
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.permits import PermitRequest, PermitVerdict
from trefoilhinge.dispatch.rate_limits import NamedRate
from trefoilhinge.gateway.permits import Permits
from trefoilhinge.gateway.state import make_state

TARGET = 't00'
STARTED_MS = 1000
LATENCY_S = 0.002
ASK_INTERVAL_S = 0.1
# A restart or a freeze of an instance excuses its calls for this long.
EXCUSE_S = 3.0


@define
class PermitNetwork:
    """Instances whose calls all go to one limited target.

    :ivar rate: limit that the target names.
    :ivar loss: share of the datagrams that are lost.
    :ivar groups: IP addresses that reach each other; none if all do.
    :ivar dead: IP addresses of instances that have failed.
    :ivar frozen: messages that wait for or at instances that are frozen, by
        IP address.
    :ivar sent_s: times at which calls were sent to the target, by instances
        that are not excused.
    """

    rate: float
    states: dict = field(factory=dict)
    permits: dict = field(factory=dict)
    loss: float = 0
    groups: list | None = None
    dead: set = field(factory=set)
    frozen: dict = field(factory=dict)
    sent_s: list = field(factory=list)
    _excused_until_s: dict = field(factory=dict)
    _random: random.Random = field(factory=lambda: random.Random(7))
    _numbers: object = field(factory=itertools.count)

    def start(self, ip):
        """Start an instance, or restart it as a new incarnation."""
        now_s = asyncio.get_running_loop().time()
        state = make_state(make_settings(1, ip=ip))
        state.origin = f'{ip}/{next(self._numbers)}'
        state.started_s = now_s
        if ip in self.permits:
            self.permits[ip].close()
        self.states[ip] = state
        self.permits[ip] = Permits(
            state,
            lambda message, to: self.deliver(ip, message, to),
            lambda trait: False,
        )
        self.dead.discard(ip)
        self._excused_until_s[ip] = now_s + EXCUSE_S

    def kill(self, ip):
        """Let an instance fail."""
        self.dead.add(ip)
        self.permits[ip].close()

    def freeze(self, ip):
        """Stop an instance; its messages and those to it wait."""
        self.frozen.setdefault(ip, [])

    def thaw(self, ip):
        """Let a frozen instance go on, with what waits for it."""
        self._excused_until_s[ip] = self.states[ip].get_now_s() + EXCUSE_S
        for send in self.frozen.pop(ip, ()):
            send()

    def is_linked(self, one, other):
        """Return whether datagrams between two instances arrive."""
        if self.dead & {one, other}:
            return False
        return self.groups is None or any(
            {one, other} <= set(group) for group in self.groups
        )

    def deliver(self, sender, message, receiver):
        """Deliver a message after the latency, unless it is lost."""
        for ip in (sender, receiver):
            if ip in self.frozen:
                self.frozen[ip].append(
                    lambda: self.deliver(sender, message, receiver)
                )
                return
        if self._is_lost(sender, receiver):
            return
        permits = self.permits[receiver]
        asyncio.get_running_loop().call_later(
            LATENCY_S, permits.apply_message, message, sender
        )

    async def exchange_heartbeats(self):
        """Let all linked instances hear each other, until cancelled."""
        while True:
            for one, other in itertools.permutations(self.states, 2):
                if not self._is_lost(one, other):
                    self._hear(one, other)
            some = next(iter(self.states.values()))
            await asyncio.sleep(some.peers.compute_heartbeat_interval_s())
            for state in self.states.values():
                # Removes instances that are silent for long.
                state.peers.list_heartbeat_receivers((), state.get_now_s())

    async def call(self, ip, until_s):
        """Send calls from an instance as fast as permits allow."""
        await asyncio.sleep(self._random.uniform(0, ASK_INTERVAL_S))
        while asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(ASK_INTERVAL_S)
            if ip not in self.dead and ip not in self.frozen:
                await self._try_call(ip)

    def find_owner(self):
        """Return the IP address of the owner as the first instance sees it."""
        return next(iter(self.permits.values())).find_owner(TARGET)

    async def _try_call(self, ip):
        state = self.states[ip]
        permits = self.permits[ip]
        bucket = state.permits.get(TARGET, STARTED_MS)
        request = PermitRequest(
            state.origin, next(self._numbers), TARGET, STARTED_MS, 1, 0
        )
        if bucket is not None:
            if bucket.estimate_wait_s(state.get_now_s()):
                return
            decision = await permits.acquire(request, lambda: False)
            if decision.verdict is not PermitVerdict.granted:
                return
        if self.states[ip] is not state or ip in self.dead | set(self.frozen):
            return
        now_s = state.get_now_s()
        if bucket is not None and now_s >= self._excused_until_s[ip]:
            self.sent_s.append(now_s)
        for other in self.states:
            if other == ip or not self._is_lost(ip, other):
                self.states[other].permits.charge(TARGET, request.key, now_s)
        self.learn(ip)

    def learn(self, ip):
        """Let an instance read an answer of the target."""
        now_s = self.states[ip].get_now_s()
        named = NamedRate(TARGET, STARTED_MS, self.rate, now_s, now_s)
        self.permits[ip].apply_named_rate(named, 'answer')

    def _hear(self, one, other):
        state = self.states[other]
        heartbeat = Heartbeat(
            one, self.states[one].origin, 'a', 1, 1, False, ()
        )
        now_s = state.get_now_s()
        if state.peers.record_heartbeat(heartbeat, now_s).is_new:
            for named in state.rate_limits.list_limits():
                self.deliver(other, TargetRateNamed(named, now_s), one)

    def _is_lost(self, sender, receiver):
        if not self.is_linked(sender, receiver):
            return True
        if {sender, receiver} & set(self.frozen):
            return True
        return self._random.random() < self.loss


def make_network(count, rate, seed=7):
    """Return instances that know a limit and each other."""
    network = PermitNetwork(rate, random=random.Random(seed))
    for number in range(count):
        ip = make_host(1 + number)
        network.start(ip)
        # These have been running for long.
        network.states[ip].started_s = float('-inf')
        network._excused_until_s[ip] = float('-inf')
        network.learn(ip)
    return network
