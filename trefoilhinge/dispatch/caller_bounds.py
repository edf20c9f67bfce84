"""How many connections a process may have open, by who opens them.

A connection takes memory before anything is counted for a call: objects, what
was read ahead, and what waits in the kernel.
"""

from attrs import frozen

from trefoilhinge.dispatch.connections.bounds import RESERVED_DESCRIPTORS

# Of a connection of a caller: objects 16 KB, read ahead 24 KB, what is parsed
# 8 KB, and the kernel's buffer of 64 KB.
CALLER_BYTES = 114_688
CALLER_MEMORY_SHARE = 0.2
# Of the descriptors that are not reserved; the calls need as many to targets.
CALLER_DESCRIPTOR_SHARE = 0.45
# Each of the listeners for instances, the platform and operators.
SERVICE_DESCRIPTOR_SHARE = 0.06
MINIMUM_CALLERS = 16
MINIMUM_SERVICE = 8
# Where neither limit is known.
DEFAULT_CALLERS = 4_096
DEFAULT_SERVICE = 256


@frozen
class ConnectionBounds:
    """Bounds on the connections that others open.

    :ivar callers: connections of callers.
    :ivar service: connections at each of the other listeners.
    """

    callers: int = DEFAULT_CALLERS
    service: int = DEFAULT_SERVICE


def find_connection_bounds(
    descriptors: int, memory_bytes: int
) -> ConnectionBounds:
    """Return the bounds of a process.

    :param descriptors: file descriptors that it may use, zero if unknown.
    :param memory_bytes: memory that it may use, zero if unknown.
    """
    callers = [DEFAULT_CALLERS]
    service = [DEFAULT_SERVICE]
    if memory_bytes:
        room_bytes = memory_bytes * CALLER_MEMORY_SHARE
        callers.append(int(room_bytes / CALLER_BYTES))
    if descriptors:
        free = max(0, descriptors - RESERVED_DESCRIPTORS)
        callers.append(int(free * CALLER_DESCRIPTOR_SHARE))
        service.append(int(free * SERVICE_DESCRIPTOR_SHARE))
    return ConnectionBounds(
        max(MINIMUM_CALLERS, min(callers)),
        max(MINIMUM_SERVICE, min(service)),
    )
