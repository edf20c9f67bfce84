"""Addresses of instances and targets: an IP address and a port."""

import ipaddress

MAXIMUM_PORT = 65535
_MAXIMUM_PORT_DIGITS = 5


def find_address_error(address: str) -> str:
    """Return why an address is invalid, empty if it is valid.

    :param address: IP address and port, such as ``10.0.1.7:8000``; an IPv6
        address is enclosed in brackets.
    """
    host, colon, port = address.rpartition(':')
    digits = port.isascii() and port.isdecimal()
    if not colon or not digits:
        return f'{ascii(address)} has no port'
    if len(port) > _MAXIMUM_PORT_DIGITS or not 1 <= int(port) <= MAXIMUM_PORT:
        return f'{port[:20]} is not a port from 1 to {MAXIMUM_PORT}'
    unbracketed = host.removeprefix('[').removesuffix(']')
    try:
        ip = ipaddress.ip_address(unbracketed)
    except ValueError:
        return f'{ascii(host)} is not an IP address'
    expected = f'[{unbracketed}]' if ip.version == 6 else unbracketed
    if host != expected:
        return f'{ascii(host)} is not written as {expected}'
    return ''


def is_wildcard(address: str) -> bool:
    """Return whether a valid address means all interfaces of a machine."""
    return _parse_ip(address).is_unspecified


def is_loopback(address: str) -> bool:
    """Return whether a valid address is only reachable from its machine."""
    return _parse_ip(address).is_loopback


def parse_port(address: str) -> int:
    """Return the port of a valid address."""
    return int(address.rpartition(':')[2])


def _parse_ip(
    address: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    host = address.rpartition(':')[0]
    return ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
