"""Fan-out of messages to all instances.

Traffic between failure domains is expensive, so a large domain receives one
copy of a message and the receiving instance relays it within the domain. The
relaying instance changes with each message: an instance that has just failed
loses only its share of the messages.
"""

from collections.abc import Mapping, Sequence

from attrs import frozen

MINIMUM_RELAY_MEMBERS = 4  # smaller domains get a copy per instance


@frozen
class Hop:
    """One transmission of a message.

    :ivar is_relayed: whether the receiver relays it in its failure domain.
    """

    ip: str
    is_relayed: bool


def list_hops(
    domains: Mapping[str, Sequence[str]],
    own_domain: str,
    sequence: int,
) -> list[Hop]:
    """Return the transmissions of one message.

    :param domains: IP addresses of live instances, by failure domain.
    :param sequence: number of the message, which selects the relays.
    """
    hops: list[Hop] = []
    for domain, members in domains.items():
        if domain == own_domain or len(members) < MINIMUM_RELAY_MEMBERS:
            hops.extend(Hop(ip, is_relayed=False) for ip in members)
        else:
            hops.append(Hop(members[sequence % len(members)], is_relayed=True))
    return hops
