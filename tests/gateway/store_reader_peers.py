"""Stand-ins of the peers of a large fleet that tell reads of the store."""

import asyncio
import contextlib
import socket

from attrs import define, field

from tests.gateway.documents import find_port_pair, make_host
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream
from trefoilhinge.dispatch.message_codec import decode_message, encode_message
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.store_read_codec import StoreRead
from trefoilhinge.dispatch.store_readers import ReaderTable, Role

PEERS = 16
TELL_INTERVAL_S = 0.3


@define
class ReaderPeers:
    """Instances that are heard, the first two of which tell reads.

    :ivar tells: whether they tell that nothing has changed.
    :ivar received: messages that they received.
    """

    fleet: object
    ips: list
    version: int = 1
    tells: bool = True
    received: list = field(factory=list)
    _sockets: list = field(factory=list)

    @property
    def revision(self):
        return self.fleet.gateway._store_watcher._revision

    async def run(self):
        port = self.fleet.settings.first_port
        for ip in self.ips:
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            one.setblocking(False)
            one.bind((ip, port))
            self._sockets.append(one)
        try:
            while True:
                for number, ip in enumerate(self.ips):
                    heartbeat = Heartbeat(ip, f'{ip}/1', 'a', 1, 1, False, ())
                    self._send(number, heartbeat)
                if self.tells:
                    self.tell(self.revision, self.revision)
                self._receive()
                await asyncio.sleep(TELL_INTERVAL_S)
        finally:
            for one in self._sockets:
                one.close()

    def tell(self, before, after, *changes):
        """Tell a read from both readers."""
        read = StoreRead(before, after, 0, self.version, changes)
        for number in range(2):
            self._send(number, read)

    def list_reads(self):
        """Return the reads that the instance told."""
        self._receive()
        return [one for one in self.received if isinstance(one, StoreRead)]

    def _send(self, number, message):
        settings = self.fleet.settings
        address = (settings.ip, settings.first_port)
        self._sockets[number].sendto(encode_message(message), address)

    def _receive(self):
        for one in self._sockets:
            with contextlib.suppress(BlockingIOError):
                while True:
                    data = one.recv(2048)
                    decoded = decode_message(data.removeprefix(b'\xc1'), 0)
                    if decoded.is_ok():
                        self.received.append(decoded.ok)


@contextlib.asynccontextmanager
async def run_large_fleet(role=Role.follower, **settings):
    """Run an instance that ranks last or first among many peers."""
    hosts = [make_host(100 + number) for number in range(PEERS + 1)]
    ranked = list(hosts)
    while len(ranked) > 1:
        # The first two readers are removed until only the last one remains.
        others = [ip for ip in ranked if ip not in _list_readers(ranked)]
        if not others:
            break
        ranked = others
    ip = ranked[-1] if role is Role.follower else _list_readers(hosts)[0]
    fields = {
        'ip': ip,
        'first_port': find_port_pair(),
        'has_scarce_room': True,
        **settings,
    }
    async with run_fleet(
        settings_fields=fields, m1=stream(), m2=stream()
    ) as fleet:
        others = [host for host in hosts if host != ip]
        readers = [host for host in _list_readers(hosts) if host != ip]
        rest = [host for host in others if host not in readers]
        peers = ReaderPeers(fleet, [*readers, *rest])
        task = asyncio.ensure_future(peers.run())
        try:
            yield fleet, peers
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def wait_for_role(fleet, role):
    """Wait until the instance relies on its role."""
    watcher = fleet.gateway._store_watcher
    await fleet.wait_for(
        lambda: (
            fleet.gateway._peers.store_reads.role is role
            and not watcher._silence.is_uncertain
        )
    )
    # A watch that began before ends, and its interval.
    await asyncio.sleep(3.2)


def _list_readers(ips):
    return ReaderTable(ips[0]).list_readers(ips, 0)
