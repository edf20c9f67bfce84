"""Composes a node from the cores of each app."""

from trefoilhinge.conf.keeper import NewestDocumentKeeper
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.groups.runner import make_chain_group_runner
from trefoilhinge.limits.limiter import make_distributed_limiter
from trefoilhinge.membership.fleet import make_gossip_fleet
from trefoilhinge.node.closing import CallCloser
from trefoilhinge.node.core import (
    EXCHANGE_INTERVAL_S,
    NodeCore,
    NodeParts,
    NodeTimers,
)
from trefoilhinge.node.desk import CallDesk
from trefoilhinge.node.exchange import PeerExchanger
from trefoilhinge.node.handover import HandoverSender
from trefoilhinge.node.observations import Observations
from trefoilhinge.node.passing import DocumentPasses
from trefoilhinge.node.reads import make_document_reads
from trefoilhinge.node.schedule import make_jittered_timer
from trefoilhinge.node.tables import CallTable
from trefoilhinge.orders.steward import make_read_back_steward
from trefoilhinge.retries.ledger import make_owned_key_ledger
from trefoilhinge.retries.policy import make_budgeted_retry_policy
from trefoilhinge.routing.router import make_balanced_router

EXCHANGE_SPREAD = 0.25


def make_parts(
    identity: InstanceIdentity,
    address: str,
    failure_domain: str,
    secret: str,
    seeds: tuple[str, ...],
    seed: int,
    life: str = 'l',
) -> NodeParts:
    """Return the cores that an instance runs by default.

    :param identity: name and incarnation of the instance.
    :param address: ``host:port`` that peers reach it at.
    :param failure_domain: failure domain that it is in.
    :param seeds: addresses of peers to ask at the start.
    :param secret: secret shared by the deployment, which signs keys.
    :param seed: seed of every random choice of its cores.
    :param life: token that no other start of this instance has.
    """
    return NodeParts(
        router=make_balanced_router(identity.name, failure_domain, seed),
        limiter=make_distributed_limiter(),
        ledger=make_owned_key_ledger(identity, secret, life),
        retries=make_budgeted_retry_policy(seed),
        groups=make_chain_group_runner(identity),
        fleet=make_gossip_fleet(identity, address, seeds, seed),
        keeper=NewestDocumentKeeper(),
        steward=make_read_back_steward(identity.name),
    )


def make_node(
    parts: NodeParts,
    start_wait_s: float,
    stop_wait_s: float,
    seed: int = 0,
) -> NodeCore:
    """Return a node of the given cores.

    :param start_wait_s: seconds to ask peers for a newer document.
    :param stop_wait_s: seconds that the balancer takes to notice a stop.
    :param seed: seed of the jitter of its reads.
    """
    table = CallTable()
    desk = CallDesk(
        table,
        parts.router,
        parts.limiter,
        parts.ledger,
        parts.retries,
        parts.groups,
        parts.fleet,
        CallCloser(
            table,
            parts.router,
            parts.limiter,
            parts.ledger,
            parts.groups,
        ),
    )
    observations = Observations()
    exchanger = PeerExchanger(
        parts.fleet,
        parts.router,
        parts.limiter,
        parts.ledger,
        parts.keeper,
        HandoverSender(parts.ledger, parts.fleet),
        DocumentPasses(parts.keeper),
        observations=observations,
    )
    return NodeCore(
        parts,
        desk,
        exchanger,
        start_wait_s,
        stop_wait_s,
        make_document_reads(seed),
        NodeTimers(
            exchange=make_jittered_timer(
                EXCHANGE_INTERVAL_S,
                EXCHANGE_SPREAD,
                seed,
            ),
        ),
        observations=observations,
    )
