"""Shares of the instances in the requests that a cold target takes."""

import xxhash

from trefoilhinge.dispatch.departures import Incarnation

# The rest is for instances that do not know each other yet, and for requests
# that arrive later than others of the same second.
SHARED_FRACTION = 0.85


def compute_quota(
    incarnation: Incarnation,
    own_ip: str,
    others: frozenset[str],
    requests: float,
) -> int:
    """Return how many requests an instance may send within a window.

    The quotas of instances that know the same others add up to no more than
    ``SHARED_FRACTION`` of the requests. If there are fewer requests than
    instances, the rendezvous hashes of the target choose those that may send.

    :param requests: requests that the target takes from all instances.
    """
    total = int(requests * SHARED_FRACTION)
    instances = len(others) + 1
    own = _rank(incarnation, own_ip)
    before = sum(_rank(incarnation, ip) < own for ip in others if ip != own_ip)
    return total // instances + int(before < total % instances)


def _rank(incarnation: Incarnation, ip: str) -> tuple[int, str]:
    name, started_ms = incarnation
    text = f'{name} {started_ms} {ip}'
    return xxhash.xxh32_intdigest(text.encode()), ip
