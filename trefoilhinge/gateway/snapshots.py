"""What an instance believes now, as one document."""

from trefoilhinge.conf.generated.belief import (
    BeliefSnapshot,
    BudgetBelief,
    PeerBelief,
    TargetBelief,
)
from trefoilhinge.gateway.state import Beliefs


def make_snapshot(beliefs: Beliefs, calls: int) -> BeliefSnapshot:
    """Return what an instance believes.

    :param calls: calls in progress.
    """
    now_s = beliefs.get_now_s()
    directory = beliefs.directory
    away_since_s = directory.away_since_s
    return BeliefSnapshot(
        instance=beliefs.settings.instance,
        origin=beliefs.origin,
        ready=beliefs.is_ready,
        stopping=beliefs.is_stopping,
        version=beliefs.document.version if beliefs.document else 0,
        revision=directory.revision,
        calls=calls,
        waiting=beliefs.turns.count(),
        store_away_s=0 if away_since_s is None else now_s - away_since_s,
        peers=_list_peers(beliefs, now_s),
        targets=_list_targets(beliefs, now_s),
        budgets=_list_budgets(beliefs, now_s),
    )


def _list_peers(beliefs: Beliefs, now_s: float) -> tuple[PeerBelief, ...]:
    listeners = set(beliefs.peers.list_listeners(now_s))
    return tuple(
        PeerBelief(
            ip=peer.ip,
            origin=peer.origin,
            version=peer.version,
            revision=peer.revision,
            heard_s=now_s - peer.heard_s,
        )
        for peer in beliefs.peers.peers.values()
        if peer.ip in listeners
    )


def _list_targets(beliefs: Beliefs, now_s: float) -> tuple[TargetBelief, ...]:
    directory = beliefs.directory
    usable = set(beliefs.health.list_usable(list(directory.records), now_s))
    found = []
    for name, record in sorted(directory.records.items()):
        load = beliefs.loads.find(name)
        leaving = (name, record.born_ms) in directory.left
        found.append(
            TargetBelief(
                name=name,
                service=record.service,
                address=record.address,
                leaving=leaving,
                usable=name in usable and not leaving,
                running=load.running,
                reading_s=load.find_backlog_s(now_s),
                memory_tokens=load.memory_tokens,
                pace=beliefs.paces.find(name, now_s),
            )
        )
    return tuple(found)


def _list_budgets(beliefs: Beliefs, now_s: float) -> tuple[BudgetBelief, ...]:
    services = beliefs.document.services if beliefs.document else {}
    found = []
    for service in sorted(services):
        firsts, repeats = beliefs.find_budget(service).count(now_s)
        found.append(
            BudgetBelief(service=service, firsts=firsts, repeats=repeats)
        )
    return tuple(found)
