"""Builds a node from the cores of the apps."""

from trefoilhinge.conf.document_replica import NewestDocumentReplica
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.groups.runner import make_chain_group_runner
from trefoilhinge.limits.limiter import make_distributed_limiter
from trefoilhinge.membership.fleet import make_gossip_fleet
from trefoilhinge.node.call_coordinator import CallCoordinator
from trefoilhinge.node.call_table import CallTable
from trefoilhinge.node.closing import CallCloser
from trefoilhinge.node.core import (
    EXCHANGE_INTERVAL_S,
    NodeCore,
    NodeParts,
    NodeTimers,
)
from trefoilhinge.node.document_polling import make_document_poller
from trefoilhinge.node.document_transfers import DocumentTransfers
from trefoilhinge.node.exchange import PeerExchanger
from trefoilhinge.node.handover import HandoverSender
from trefoilhinge.node.observations import Observations
from trefoilhinge.node.timers import make_jittered_timer
from trefoilhinge.orders.reconciler import make_read_back_reconciler
from trefoilhinge.retries.ledger import make_owned_key_ledger
from trefoilhinge.retries.policy import make_budgeted_retry_policy
from trefoilhinge.routing.router import make_balanced_router

EXCHANGE_JITTER = 0.25


def make_parts(
    identity: InstanceIdentity,
    address: str,
    failure_domain: str,
    secret: str,
    seeds: tuple[str, ...],
    seed: int,
    start_token: str = 'l',
) -> NodeParts:
    """Return the default cores of an instance.

    :param identity: name and incarnation of the instance.
    :param address: ``host:port`` at which peers reach the instance.
    :param failure_domain: failure domain of the instance.
    :param secret: secret shared by the deployment, used to sign keys.
    :param seeds: ``host:port`` of peers to contact at startup.
    :param seed: seed of the random generators of the cores.
    :param start_token: token unique to this start of the instance.
    """
    return NodeParts(
        router=make_balanced_router(identity.name, failure_domain, seed),
        limiter=make_distributed_limiter(),
        ledger=make_owned_key_ledger(identity, secret, start_token),
        retries=make_budgeted_retry_policy(seed),
        groups=make_chain_group_runner(identity),
        fleet=make_gossip_fleet(identity, address, seeds, seed),
        document_replica=NewestDocumentReplica(),
        reconciler=make_read_back_reconciler(identity.name),
    )


def make_node(
    parts: NodeParts,
    start_wait_s: float,
    stop_wait_s: float,
    seed: int = 0,
) -> NodeCore:
    """Return a node composed of the given cores.

    :param start_wait_s: seconds after startup during which peers are asked
        for a newer document, before the instance reports ready.
    :param stop_wait_s: seconds that the load balancer takes to notice that
        the instance is stopping.
    :param seed: seed of the jitter of document reads and exchanges.
    """
    table = CallTable()
    call_coordinator = CallCoordinator(
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
        parts.document_replica,
        HandoverSender(parts.ledger, parts.fleet),
        DocumentTransfers(parts.document_replica),
        observations=observations,
    )
    return NodeCore(
        parts,
        call_coordinator,
        exchanger,
        start_wait_s,
        stop_wait_s,
        make_document_poller(seed),
        NodeTimers(
            exchange=make_jittered_timer(
                EXCHANGE_INTERVAL_S,
                EXCHANGE_JITTER,
                seed,
            ),
        ),
        observations=observations,
    )
