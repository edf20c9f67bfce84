"""Settings and documents of the fleets under test."""

import itertools
import os

from trefoilhinge.dispatch.settings import Bounds, GatewaySettings
from trefoilhinge.platform.standins.formats import (
    encode_document,
    encode_route,
)

# Each test process uses its own loopback addresses, so that parallel processes
# do not compete for ports.
_PID = os.getpid()
_NETWORK = f'127.{1 + _PID // 256 % 126}.{_PID % 256}'


def make_host(number):
    """Return a loopback address of this test process, 1 to 254."""
    return f'{_NETWORK}.{number}'


HOST = make_host(1)
OTHER_HOST = make_host(2)
THIRD_HOST = make_host(3)
REGISTRATION_INTERVAL_S = 0.4
FIRST_PORT = 12_000  # below the range of ephemeral ports
_ports = itertools.count(FIRST_PORT)


def find_port():
    """Return a port that was not used in this process yet."""
    return next(_ports)


def find_port_pair():
    """Return the first of two ports that were not used in this process yet."""
    first = find_port()
    find_port()
    return first


def make_settings(store_port, seeds=(), ip=HOST, port=None, **bounds):
    """Return the settings of an instance on a loopback address.

    Entries may expire in outages of at least ``2 * REGISTRATION_INTERVAL_S``.
    """
    defaults = {
        'grace_s': 8,
        'repeat_ratio': 0.2,
        'repeat_slack': 104,
        'repeat_window_s': 10,
        'free_s': 4,
        'hold_maximum_s': 20,
        'apply_s': 2,
    }
    return GatewaySettings(
        instance=f'entry-{ip}',
        ip=ip,
        failure_domain='a',
        entry=(ip, find_port()),
        readiness=(ip, find_port()),
        control=(ip, find_port()),
        metrics=(ip, find_port()),
        first_port=port or find_port_pair(),
        seeds=tuple(seeds),
        store=(HOST, store_port),
        bounds=Bounds(**{**defaults, **bounds}),
        registration_interval_s=REGISTRATION_INTERVAL_S,
    )


def make_document(version=1, **fields):
    """Return a document in the platform's format."""
    return {**encode_document(version, {'key-1': 'mill'}), **fields}


make_route = encode_route
