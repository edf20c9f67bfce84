"""Starts stand-ins and entry instances of one deployment on loopback."""

import json
import pathlib
import secrets
import socket
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from attrs import define

from trefoilhinge.conf.settings import load_settings
from trefoilhinge.core.keys import digest_secret, format_key
from trefoilhinge.entry.daemon import EntryInstance, make_entry
from trefoilhinge.standins.engines import EngineStandIn
from trefoilhinge.standins.plain import PlainStandIn
from trefoilhinge.standins.publications import PlatformStandIn
from trefoilhinge.standins.servers import StandInServer, start_server

STOPPING_THREADS = 32


@define
class DemoDeployment:
    """A running deployment.

    :ivar key: API key of the first organisation of the document.
    :ivar urls: URLs of the entry instances.
    """

    document: Mapping[str, Any]
    key: str
    urls: list[str]
    entries: list[EntryInstance]
    engines: list[EngineStandIn]
    plains: list[PlainStandIn]
    platform: PlatformStandIn
    servers: list[StandInServer]

    def stop(self) -> None:
        """End every instance and stand-in."""
        ends = [one.close for one in self.entries]
        ends.extend(one.stop for one in self.servers)
        # Each waits for its own threads, so they are ended side by side.
        with ThreadPoolExecutor(STOPPING_THREADS) as executor:
            for end in ends:
                executor.submit(end)


def start_deployment(
    document_file: pathlib.Path,
    instances: int = 2,
) -> DemoDeployment:
    """Start the deployment that a document describes.

    :param document_file: the document; its targets' addresses are replaced
        by those of stand-ins.
    :param instances: entry instances to start.
    """
    document = json.loads(document_file.read_text(encoding='utf-8'))
    engines: list[EngineStandIn] = []
    plains: list[PlainStandIn] = []
    servers: list[StandInServer] = []
    for service in document['services']:
        for target in service['targets']:
            if service['kind'] == 'model':
                engines.append(EngineStandIn(target['name']))
                server = start_server(engines[-1])
            else:
                plains.append(PlainStandIn(target['name']))
                server = start_server(plains[-1])
            target['address'] = server.address
            servers.append(server)
    key = add_key(document['organisations'][0])
    platform = PlatformStandIn()
    platform.publish(json.dumps(document))
    servers.append(start_server(platform))
    entries = start_entries(document, servers[-1].address, instances)
    return DemoDeployment(
        document,
        key,
        [f'http://{one.settings.listen}' for one in entries],
        entries,
        engines,
        plains,
        platform,
        servers,
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
            'digest': digest_secret(secret, salt),
        }
    )
    return format_key(identifier, secret)


def start_entries(
    document: Mapping[str, Any],
    platform_address: str,
    count: int,
) -> list[EntryInstance]:
    """Start entry instances that know each other as seeds."""
    ports = [find_free_port() for _ in range(2 * count)]
    peers = [f'127.0.0.1:{port}' for port in ports[count:]]
    secret = secrets.token_hex(16)
    entries = []
    for number in range(count):
        domains = document['failure_domains']
        settings = load_settings(
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
            },
            {},
        )
        entry = make_entry(settings)
        entry.start()
        entries.append(entry)
    return entries


def find_free_port() -> int:
    """Return a loopback port that is free at this moment."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        return int(listener.getsockname()[1])
