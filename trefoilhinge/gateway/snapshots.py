"""Snapshot of an instance's state for its status page."""

from typing import Any

from trefoilhinge.conf.generated.belief import (
    BeliefSnapshot,
    BudgetBelief,
    PeerBelief,
    QuarantineBelief,
    SuspectBelief,
    TargetBelief,
)
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.permits import Permits
from trefoilhinge.gateway.state import GatewayState

MAXIMUM_SUSPECTS_SHOWN = 20


def make_snapshot(
    state: GatewayState, permits: Permits, active_calls: int
) -> BeliefSnapshot:
    """Return the present state of an instance.

    :param active_calls: calls in progress.
    """
    now_s = state.get_now_s()
    directory = state.directory
    return BeliefSnapshot(
        instance=state.settings.instance,
        origin=state.origin,
        ready=state.is_ready,
        stopping=state.is_stopping,
        version=state.document.version if state.document else 0,
        revision=directory.revision,
        calls=active_calls,
        waiting=state.prefill_waiters.count(),
        store_away_s=directory.outages.count_unreachable_s(now_s),
        peers=_list_peers(state, now_s),
        targets=_list_targets(state, permits, now_s),
        budgets=_list_budgets(state, now_s),
        quarantined=_list_quarantined(state, permits, now_s),
        suspects=_list_suspects(state, now_s),
    )


def _list_quarantined(
    state: GatewayState, permits: Permits, now_s: float
) -> tuple[QuarantineBelief, ...]:
    return tuple(
        QuarantineBelief(
            trait=entry.trait,
            crashes=entry.crashes,
            crashed_s=now_s - entry.crashed_s,
            seen_s=now_s - entry.seen_s,
            probes=entry.probes,
            owner=permits.find_owner(entry.trait),
        )
        for entry in state.quarantine.list_all()
    )


def _list_suspects(
    state: GatewayState, now_s: float
) -> tuple[SuspectBelief, ...]:
    suspects = state.crash_evidence.list_suspects()
    return tuple(
        SuspectBelief(
            trait=suspect.trait,
            organisation=suspect.organisation,
            succession=suspect.succession,
            targets=tuple(name for name, _ in suspect.targets),
            crashed_s=now_s - suspect.crashed_s,
        )
        for suspect in suspects[:MAXIMUM_SUSPECTS_SHOWN]
    )


def _list_peers(state: GatewayState, now_s: float) -> tuple[PeerBelief, ...]:
    live_ips = set(state.peers.list_live(now_s))
    return tuple(
        PeerBelief(
            ip=peer.ip,
            origin=peer.origin,
            version=peer.version,
            revision=peer.revision,
            heard_s=now_s - peer.last_heartbeat_s,
        )
        for peer in state.peers.peers.values()
        if peer.ip in live_ips
    )


def _describe_limit(
    state: GatewayState, permits: Permits, record: TargetRecord
) -> dict[str, Any]:
    """Return the fields of a target that named a limit, else none."""
    rate = state.rate_limits.get(record.name, record.started_ms)
    bucket = state.permits.get(record.name, record.started_ms)
    if rate is None or bucket is None:
        return {}
    return {
        'limit_per_s': rate,
        'limit_owner': permits.find_owner(record.name),
        'limit_level': bucket.get_level(state.get_now_s()),
        'limit_waiting': bucket.count_waiting(),
    }


def _list_targets(
    state: GatewayState, permits: Permits, now_s: float
) -> tuple[TargetBelief, ...]:
    directory = state.directory
    usable = set(state.health.list_usable(list(directory.records), now_s))
    found = []
    for name, record in sorted(directory.records.items()):
        load = state.loads.get(name)
        leaving = (name, record.started_ms) in directory.departed
        found.append(
            TargetBelief(
                name=name,
                service=record.service,
                address=record.address,
                leaving=leaving,
                usable=name in usable
                and not leaving
                and not directory.evacuations.is_evacuated(
                    record.failure_domain
                ),
                running=load.running,
                reading_s=load.estimate_backlog_s(now_s),
                memory_tokens=load.memory_tokens,
                pace=state.slowdowns.get(name, now_s),
                **_describe_limit(state, permits, record),
            )
        )
    return tuple(found)


def _list_budgets(
    state: GatewayState, now_s: float
) -> tuple[BudgetBelief, ...]:
    services = state.document.services if state.document else {}
    found = []
    for service in sorted(services):
        first_attempts, retries = state.find_retry_budget(
            service
        ).count_attempts(now_s)
        found.append(
            BudgetBelief(
                service=service, firsts=first_attempts, repeats=retries
            )
        )
    return tuple(found)
