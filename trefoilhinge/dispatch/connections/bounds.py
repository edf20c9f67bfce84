"""How many connections an instance may keep."""

import bisect
from collections.abc import Collection

import xxhash

RESERVED_DESCRIPTORS = 200  # files, listeners, the store, other instances
# Of the others; callers need them, each with a connection to a target.
DESCRIPTOR_SHARE = 0.125
MEMORY_SHARE = 0.02
CONNECTION_BYTES = 16_384  # of an idle one, in the process and the kernel
DEFAULT_MAXIMUM_IDLE = 64  # where neither limit is known
MAXIMUM_PER_TARGET = 8  # more are never idle at once without a burst
CLOSE_SPREAD_S = 1.0


def compute_maximum_idle(descriptors: int, memory_bytes: int) -> int:
    """Return the number of idle connections that an instance may keep.

    :param descriptors: limit of the process, zero if unknown.
    :param memory_bytes: limit of the process, zero if unknown.
    """
    limits = []
    if descriptors:
        free = max(0, descriptors - RESERVED_DESCRIPTORS)
        limits.append(int(free * DESCRIPTOR_SHARE))
    if memory_bytes:
        limits.append(int(memory_bytes * MEMORY_SHARE / CONNECTION_BYTES))
    return min(limits, default=DEFAULT_MAXIMUM_IDLE)


def compute_share(
    maximum_connections: int, target: str, own_ip: str, ips: Collection[str]
) -> int:
    """Return the number of connections to a target that an instance may keep.

    Instances that know the same others share the limit without messages. What
    cannot be divided goes to other instances at each target.

    :param maximum_connections: limit over all instances, zero if there is
        none.
    :param ips: IP addresses of the other instances.
    """
    if not maximum_connections:
        return MAXIMUM_PER_TARGET
    known = sorted({own_ip, *ips})
    each, remaining = divmod(maximum_connections, len(known))
    offset = xxhash.xxh32_intdigest(target.encode())
    rank = (bisect.bisect_left(known, own_ip) + offset) % len(known)
    return min(each + int(rank < remaining), MAXIMUM_PER_TARGET)


def compute_close_delay_s(own_ip: str, number: int) -> float:
    """Return seconds after which a connection is closed that is not urgent.

    All instances learn at the same time that a target leaves. The delays are
    spread over ``CLOSE_SPREAD_S``.

    :param number: number of the connection.
    """
    digest = xxhash.xxh32_intdigest(f'{own_ip} {number}'.encode())
    return digest / 2**32 * CLOSE_SPREAD_S
