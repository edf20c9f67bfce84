"""Partitions between instances of a test process and their targets."""

import asyncio
import contextlib
import contextvars
import enum
from unittest import mock

from attrs import define, field

from trefoilhinge.gateway import tcp

# Address of the instance whose task runs; tasks inherit it.
INSTANCE = contextvars.ContextVar('INSTANCE', default='')
POLL_S = 0.02


def start_gateway(gateway):
    """Run an instance in a context that names it."""
    ip = gateway._state.settings.ip
    return run_as(ip, asyncio.ensure_future, gateway.run())


def run_as(ip, function, *arguments):
    """Call a function in the context of an instance."""
    context = contextvars.copy_context()
    context.run(INSTANCE.set, ip)
    return context.run(function, *arguments)


class CutKind(enum.Enum):
    """What becomes of an instance's connections to targets."""

    hang = 'hang'
    reset = 'reset'
    refuse_new = 'refuse_new'


@define
class Partition:
    """Partitions instances from targets.

    :ivar cuts: kind of cut, by address of the instance.
    :ivar spared: addresses of targets that cut instances still reach.
    :ivar opened: connections that each instance tried to open to targets.
    """

    targets: set
    open_connection: object
    cuts: dict = field(factory=dict)
    spared: set = field(factory=set)
    opened: dict = field(factory=dict)
    _writers: list = field(factory=list)
    _paused: list = field(factory=list)

    def cut(self, kind, *ips):
        """Cut instances off from all targets."""
        for ip in ips:
            self.cuts[ip] = kind
            for owner, address, writer in self._writers:
                if owner == ip and address not in self.spared:
                    self._break(kind, writer)

    def heal(self, *ips):
        """End the cuts of instances."""
        for ip in ips:
            self.cuts.pop(ip)
        for transport in self._paused:
            transport.resume_reading()
        self._paused.clear()

    async def open(self, host, port, **options):
        """Open a connection, unless the instance is cut off."""
        ip = INSTANCE.get()
        address = (host, port)
        if not ip or address not in self.targets:
            return await self.open_connection(host, port, **options)
        self.opened[ip] = self.opened.get(ip, 0) + 1
        kind = None if address in self.spared else self.cuts.get(ip)
        while kind is CutKind.hang:
            await asyncio.sleep(POLL_S)
            kind = self.cuts.get(ip)
        if kind is not None:
            raise ConnectionRefusedError('partitioned')
        reader, writer = await self.open_connection(host, port, **options)
        self._writers.append((ip, address, writer))
        return reader, writer

    def _break(self, kind, writer):
        if writer.transport.is_closing():
            return
        if kind is CutKind.hang:
            writer.transport.pause_reading()
            self._paused.append(writer.transport)
        elif kind is CutKind.reset:
            writer.transport.abort()


@contextlib.contextmanager
def partition(fleet):
    """Let a test cut the instances of a fleet off from its targets."""
    targets = {
        (target.address.partition(':')[0], target.port)
        for target in fleet.targets.values()
    }
    cut = Partition(targets, tcp.open_connection)
    with mock.patch.object(tcp, 'open_connection', cut.open):
        yield cut
