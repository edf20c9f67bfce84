"""Addresses of instances and targets: an IP number and a port."""

import ipaddress

MAXIMUM_PORT = 65535
_MAXIMUM_PORT_DIGITS = 5


def find_address_error(address: str) -> str:
    """Return what is wrong with an address, empty if nothing is.

    :param address: IP number and port, as ``10.0.1.7:8000``; a number of
        version 6 stands in brackets.
    """
    host, colon, port = address.rpartition(':')
    digits = port.isascii() and port.isdecimal()
    if not colon or not digits:
        return f'{ascii(address)} has no port'
    if len(port) > _MAXIMUM_PORT_DIGITS or not 1 <= int(port) <= MAXIMUM_PORT:
        return f'{port[:20]} is no port'
    bare = host.removeprefix('[').removesuffix(']')
    try:
        number = ipaddress.ip_address(bare)
    except ValueError:
        return f'{ascii(host)} is no IP number'
    expected = f'[{bare}]' if number.version == 6 else bare
    if host != expected:
        return f'{ascii(host)} is not written as {expected}'
    return ''


def is_wildcard(address: str) -> bool:
    """Return whether a valid address stands for every one of a machine."""
    return _parse_ip(address).is_unspecified


def is_loopback(address: str) -> bool:
    """Return whether only processes of the same machine reach an address."""
    return _parse_ip(address).is_loopback


def parse_port(address: str) -> int:
    """Return the port of a valid address."""
    return int(address.rpartition(':')[2])


def _parse_ip(
    address: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    host = address.rpartition(':')[0]
    return ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
