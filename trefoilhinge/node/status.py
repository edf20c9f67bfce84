"""Status report of a node for operators, read from its cores."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Protocol, runtime_checkable

from trefoilhinge.conf.generated.status import (
    Count,
    NodeStatus,
    PeerStatus,
    TargetStatus,
)
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.node.call_table import IN_FLIGHT, CallRecord, CallState
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.findings import PEER_RETENTION_S, list_findings
from trefoilhinge.node.observations import TargetObservation


@runtime_checkable
class SupportsListEjected(Protocol):
    """Router that ejects targets after repeated failures."""

    def list_ejected(self, now: Instant) -> frozenset[TargetName]:
        """Return the targets that currently receive no new calls."""
        ...


def describe_node(core: NodeCore, now: Instant) -> NodeStatus:
    """Return the status of a node, including its problems.

    :param core: node to describe; it is not modified.
    :param now: current monotonic and wall time.
    """
    parts = core.parts
    records = core.call_coordinator.table.list_records()
    queued_records = [one for one in records if one.state is CallState.QUEUED]
    identity = core.identity
    return NodeStatus(
        instance=identity.name if identity else '',
        incarnation=identity.incarnation if identity else 0,
        ready=core.ready,
        stopping=core.stopping_since_s is not None,
        revision=parts.document_replica.revision,
        digest=parts.document_replica.digest,
        calls=len(records),
        queued=parts.limiter.count_queued(),
        findings=list_findings(core, now),
        peers=_describe_peers(core, now),
        targets=_describe_targets(core, records, now),
        calls_by_state=_count_names(one.state for one in records),
        queue_by_organisation=_count_names(
            one.profile.organisation for one in queued_records
        ),
        queue_by_prompt_tokens=_count_by_prompt_tokens(queued_records),
        held_by_owner=_sum_reservations(core.observations.targets),
        refusals=_rank_counts(core.observations.refusals),
    )


def _describe_peers(core: NodeCore, now: Instant) -> tuple[PeerStatus, ...]:
    peers = core.observations.peers.values()
    return tuple(
        PeerStatus(
            name=one.name,
            incarnation=one.incarnation,
            revision=one.revision,
            heard_age_s=round(now.monotonic_s - one.received_s, 3),
            stopping=one.stopping,
        )
        for one in sorted(peers, key=lambda one: one.name)
        if now.monotonic_s - one.received_s < PEER_RETENTION_S
    )


def _describe_targets(
    core: NodeCore,
    records: Iterable[CallRecord],
    now: Instant,
) -> tuple[TargetStatus, ...]:
    document = core.parts.document_replica.document
    if document is None:
        return ()
    router = core.parts.router
    ejected: frozenset[TargetName] = frozenset()
    if isinstance(router, SupportsListEjected):
        ejected = router.list_ejected(now)
    calls = Counter(
        one.target.name
        for one in records
        if one.target is not None and one.state in IN_FLIGHT
    )
    observed = core.observations.targets
    return tuple(
        _describe_target(
            target,
            observed.get(target.name, TargetObservation()),
            target.name in ejected,
            calls[target.name],
            now,
        )
        for service in document.services
        for target in core.parts.fleet.list_targets(service.name)
    )


def _describe_target(
    target: TargetView,
    observed: TargetObservation,
    ejected: bool,
    calls: int,
    now: Instant,
) -> TargetStatus:
    load = observed.load
    age_s = (
        None
        if load is None
        else round(now.monotonic_s - observed.measured_s, 3)
    )
    return TargetStatus(
        name=target.name,
        service=target.service,
        failure_domain=target.failure_domain,
        leaving=target.leaving,
        ejected=ejected,
        calls=calls,
        queued_tokens=None if load is None else load.queued_tokens,
        running=None if load is None else load.running,
        free_tokens=None if load is None else load.free_tokens,
        report_age_s=age_s,
    )


def _count_names(names: Iterable[str]) -> tuple[Count, ...]:
    return _rank_counts(Counter(str(name) for name in names))


def _count_by_prompt_tokens(records: Iterable[CallRecord]) -> tuple[Count, ...]:
    # Counts by the largest power of ten that is not above the prompt's tokens.
    decades = Counter(
        10 ** (len(str(max(1, one.profile.prompt_tokens))) - 1)
        for one in records
    )
    return tuple(
        Count(name=str(decade), value=decades[decade])
        for decade in sorted(decades)
    )


def _sum_reservations(
    observed: Mapping[TargetName, TargetObservation],
) -> tuple[Count, ...]:
    tokens_by_owner: Counter[str] = Counter()
    for target in observed.values():
        for reservation in target.reservations:
            tokens_by_owner[reservation.owner] += reservation.tokens
    return _rank_counts(tokens_by_owner)


def _rank_counts(counts: Mapping[Any, int]) -> tuple[Count, ...]:
    ranked = sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))
    return tuple(Count(name=str(name), value=value) for name, value in ranked)
