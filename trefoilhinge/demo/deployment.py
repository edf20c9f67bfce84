"""Deployments of stand-ins and entry instances on loopback."""

import json
import pathlib
import secrets
import socket
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from attrs import define, field, frozen

from trefoilhinge.conf.settings import RawValue, load_settings
from trefoilhinge.core.api_keys import format_api_key, hash_secret
from trefoilhinge.entry.daemon import EntryInstance, make_entry
from trefoilhinge.standins.engine_software import EngineSoftware
from trefoilhinge.standins.engines import EngineStandIn
from trefoilhinge.standins.plain_services import PlainServiceStandIn
from trefoilhinge.standins.platform import PlatformStandIn
from trefoilhinge.standins.servers import StandInServer, start_server

STOPPING_THREADS = 32
MEMORY_TOKENS = 450_000


@define
class DemoDeployment:
    """A running deployment.

    :ivar document: document with the stand-ins' addresses.
    :ivar key: API key of the document's first organisation.
    :ivar urls: base URLs of the entry instances.
    """

    document: Mapping[str, Any]
    key: str
    urls: list[str]
    entries: list[EntryInstance]
    engines: list[EngineStandIn]
    plains: list[PlainServiceStandIn]
    platform: PlatformStandIn
    servers: list[StandInServer]

    def stop(self) -> None:
        """Stop every instance and stand-in."""
        ends = [one.close for one in self.entries]
        ends.extend(one.stop for one in self.servers)
        # Each call waits for its own threads, so they run concurrently.
        with ThreadPoolExecutor(STOPPING_THREADS) as executor:
            for end in ends:
                executor.submit(end)


@frozen
class DeploymentOptions:
    """Size of a deployment and overrides of its document and settings.

    :ivar instances: number of entry instances.
    :ivar targets: maximum number of targets per service; none for all.
    :ivar silence_s: silence limit in seconds; none for the document's own.
    :ivar settings: additional settings of the entry instances.
    """

    instances: int = 2
    targets: int | None = None
    silence_s: float | None = None
    settings: Mapping[str, RawValue] = field(factory=dict)


@define
class _StandInStarter:
    engines: list[EngineStandIn] = field(factory=list)
    plains: list[PlainServiceStandIn] = field(factory=list)
    servers: list[StandInServer] = field(factory=list)

    def start(self, service: Mapping[str, Any], name: str) -> str:
        """Start one target of a service and return its address."""
        if service['kind'] == 'model':
            engine = make_engine(service, name)
            self.engines.append(engine)
            server = start_server(engine)
        else:
            self.plains.append(PlainServiceStandIn(name))
            server = start_server(self.plains[-1])
        self.servers.append(server)
        return server.address


def make_engine(service: Mapping[str, Any], name: str) -> EngineStandIn:
    """Create a stand-in engine with the memory that a service declares."""
    return EngineStandIn(
        name,
        memory_tokens=int(service.get('memory_tokens', MEMORY_TOKENS)),
        software=EngineSoftware(
            honours_fences=service.get('fences') == 'honoured'
        ),
    )


def start_deployment(
    document_file: pathlib.Path,
    options: DeploymentOptions,
) -> DemoDeployment:
    """Start the deployment that a document describes.

    :param document_file: path of the document. The addresses of its targets
        are replaced by those of the stand-ins.
    """
    document = json.loads(document_file.read_text(encoding='utf-8'))
    stand_ins = _StandInStarter()
    for service in document['services']:
        service['targets'] = service['targets'][: options.targets]
        service['minimum_ready'] = 1
        for target in service['targets']:
            target['address'] = stand_ins.start(service, target['name'])
    if options.silence_s is not None:
        document['time_limits']['silence_s'] = options.silence_s
    key = add_key(document['organisations'][0])
    platform = PlatformStandIn()
    platform.publish(json.dumps(document))
    stand_ins.servers.append(start_server(platform))
    address = stand_ins.servers[-1].address
    entries = start_entries(document, address, options)
    return DemoDeployment(
        document,
        key,
        [f'http://{one.settings.listen}' for one in entries],
        entries,
        stand_ins.engines,
        stand_ins.plains,
        platform,
        stand_ins.servers,
    )


def add_key(organisation: dict[str, Any]) -> str:
    """Add a fresh API key to an organisation and return it."""
    identifier = secrets.token_hex(6)
    secret = secrets.token_hex(32)
    salt = secrets.token_hex(16)
    organisation['keys'].append(
        {
            'identifier': identifier,
            'salt': salt,
            'digest': hash_secret(secret, salt),
        }
    )
    return format_api_key(identifier, secret)


def start_entries(
    document: Mapping[str, Any],
    platform_address: str,
    options: DeploymentOptions,
) -> list[EntryInstance]:
    """Start entry instances with each other as seeds."""
    all_flags = list_entry_flags(document, platform_address, options)
    entries = []
    for flags in all_flags:
        entry = make_entry(load_settings(flags, {}))
        entry.start()
        entries.append(entry)
    return entries


def list_entry_flags(
    document: Mapping[str, Any],
    platform_address: str,
    options: DeploymentOptions,
) -> list[dict[str, RawValue]]:
    """Return the settings of each entry instance as command-line flags."""
    count = options.instances
    ports = [find_free_port() for _ in range(2 * count)]
    peers = [f'127.0.0.1:{port}' for port in ports[count:]]
    secret = secrets.token_hex(16)
    domains = document['failure_domains']
    return [
        {
            'instance': f'entry-{number}',
            'failure_domain': domains[number % len(domains)]['name'],
            'listen': f'127.0.0.1:{ports[number]}',
            'peer_listen': peers[number],
            'seeds': [peer for peer in peers if peer != peers[number]],
            'configuration_url': f'http://{platform_address}/document',
            'instances_url': f'http://{platform_address}/instances',
            'peer_secret': secret,
            'start_wait_s': 0.3,
            'stop_wait_s': 0.2,
            **options.settings,
        }
        for number in range(count)
    ]


def find_free_port() -> int:
    """Return a loopback port that is currently free."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        return int(listener.getsockname()[1])
