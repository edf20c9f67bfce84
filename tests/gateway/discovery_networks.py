"""Instances that start together and hear of each other on a simulated network.

``python -m tests.gateway.discovery_networks COUNT...`` prints how many others
the instances know, by seconds after the first start, and when they settle.
"""

import asyncio
import itertools
import random
import statistics
import sys

from attrs import define, evolve, field

from tests.gateway.documents import make_settings
from tests.gateway.virtual_time import run_virtually
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.state import make_state

LATENCY_S = (0.001, 0.003)
STARTS_WITHIN_S = 0.7  # after a loss of power, on machines of several speeds
LOSS = 0.005
FAILURE_DOMAINS = 5
SEEDS = 3
POLL_S = 0.05
DURATION_S = 8.0


class SilentLog:
    """A log that writes nothing."""

    def write(self, event, **fields):
        """Drop a line."""


@define
class Transport:
    """The datagram socket of one instance."""

    network: object
    ip: str

    def sendto(self, data, address):
        self.network.deliver(data, self.ip, address[0])

    def close(self):
        """Do nothing: there is no socket."""


@define
class DiscoveryNetwork:
    """Instances that start within a moment.

    :ivar settled: share of the others that each instance knew when it settled,
        and the seconds since its start, by IP address.
    """

    count: int
    exchanges: dict = field(factory=dict)
    settled: dict = field(factory=dict)
    _random: random.Random = field(factory=lambda: random.Random(3))

    def deliver(self, data, sender, receiver):
        """Deliver a datagram after a delay, unless it is lost."""
        if self._random.random() < LOSS or receiver not in self.exchanges:
            return
        asyncio.get_running_loop().call_later(
            self._random.uniform(*LATENCY_S),
            self.exchanges[receiver].datagram_received,
            data,
            (sender, 0),
        )

    async def run(self, duration_s=DURATION_S):
        """Run the instances; yield the others known to each, by time."""
        ips = [
            f'10.{number % FAILURE_DOMAINS}.{number // 250}.{number % 250 + 1}'
            for number in range(self.count)
        ]
        tasks = [
            asyncio.ensure_future(self._run_instance(ip, ips[:SEEDS]))
            for ip in ips
        ]
        try:
            for tick in itertools.count(1):
                await asyncio.sleep(POLL_S)
                self._record_settled()
                yield tick * POLL_S, self.count_known()
                if tick * POLL_S >= duration_s:
                    return
        finally:
            for task in tasks:
                task.cancel()

    def count_known(self):
        """Return the numbers of others that the instances know, in order."""
        now_s = asyncio.get_running_loop().time()
        return sorted(
            len(one._state.peers.list_live(now_s))
            for one in self.exchanges.values()
        )

    def _record_settled(self):
        now_s = asyncio.get_running_loop().time()
        for ip, exchange in self.exchanges.items():
            state = exchange._state
            if ip not in self.settled and state.check_settled():
                known = len(state.peers.list_live(now_s))
                self.settled[ip] = (
                    known / (self.count - 1),
                    now_s - state.started_s,
                )

    async def _run_instance(self, ip, seeds):
        await asyncio.sleep(self._random.uniform(0, STARTS_WITHIN_S))
        state = make_state(
            evolve(
                make_settings(1, seeds, ip, 7000),
                failure_domain=ip.split('.')[1],
            )
        )
        state.log = SilentLog()
        state.started_s = state.get_now_s()
        exchange = PeerExchange(state)
        exchange._transport = Transport(self, ip)
        self.exchanges[ip] = exchange
        await exchange.run_heartbeats()


async def print_discovery(count):
    """Print how a fleet of a size discovers itself."""
    network = DiscoveryNetwork(count)
    async for at_s, known in network.run():
        if round(at_s / 0.5, 6).is_integer():
            middle = known[len(known) // 2]
            print(f'{count}: {at_s:.1f} s least={known[0]} median={middle}')
    shares, times_s = zip(*network.settled.values(), strict=True)
    print(
        f'{count}: settled {len(shares)}, share known least={min(shares):.2f}'
        f' median={statistics.median(shares):.2f},'
        f' after {min(times_s):.2f} to {max(times_s):.2f} s'
    )


if __name__ == '__main__':
    for argument in sys.argv[1:]:
        run_virtually(print_discovery(int(argument)))
