"""Which instances a message is sent to, so that all of them get it.

Bytes between failure domains are dear: a large domain gets one copy, at an
instance that hands it to its neighbours. Another one takes each next message,
so that an instance that has just died costs only its share of them.
"""

from collections.abc import Mapping, Sequence

from attrs import frozen

MINIMUM_RELAY_MEMBERS = (
    4  # instances of a domain from which one hands messages on
)


@frozen
class Hop:
    """One sending of a message.

    :ivar hands_on: whether the receiver sends it on in its failure domain.
    """

    ip: str
    is_relayed: bool


def list_hops(
    domains: Mapping[str, Sequence[str]],
    own_domain: str,
    turn: int,
) -> list[Hop]:
    """Return the sendings of one message.

    :param domains: instances that listen, by failure domain.
    :param turn: number of the message.
    """
    hops: list[Hop] = []
    for domain, members in domains.items():
        if domain == own_domain or len(members) < MINIMUM_RELAY_MEMBERS:
            hops.extend(Hop(ip, is_relayed=False) for ip in members)
        else:
            hops.append(Hop(members[turn % len(members)], is_relayed=True))
    return hops
