"""Checks of numbers and addresses in messages between instances."""

import functools
import ipaddress

# Longest duration that a message may state, and the largest factor.
MAXIMUM_DURATION_S = 3_600.0
# Subtracted from the time of what a peer announced, so that the time on the way
# never makes it look newer than it is.
MAXIMUM_TRANSIT_S = 0.1


def check_range(number: float) -> float:
    """Return a duration or a factor if it is within bounds.

    :raises ValueError: it is negative, above ``MAXIMUM_DURATION_S`` or not a
        number.
    """
    if not 0 <= number <= MAXIMUM_DURATION_S:
        raise ValueError(
            f'duration or factor {number} is not within 0 to'
            f' {MAXIMUM_DURATION_S}'
        )
    return number


# Heartbeats name the same instances again and again.
@functools.lru_cache(maxsize=2048)
def check_ip(text: str) -> str:
    """Return an IP address if it is one.

    A message that is sent to anything else fails the socket of all messages.

    :raises ValueError: it is no IP address.
    """
    ipaddress.ip_address(text)
    return text


def check_origin(text: str) -> str:
    """Return the incarnation of an instance if it begins with an IP address.

    :raises ValueError: it does not.
    """
    check_ip(text.partition('/')[0])
    return text
