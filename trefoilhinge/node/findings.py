"""Finds what is wrong at a node, the worst first."""

from collections.abc import Callable, Iterator

from trefoilhinge.conf.generated.status import Finding
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.reports import Reservation
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.observations import HeardPeer
from trefoilhinge.node.tables import CallState

SILENT_PEER_S = 10.0
# A peer that was replaced is told of no longer after this.
FORGET_PEER_S = 600.0
OLD_QUEUE_S = 10.0
LATE_RELEASE_S = 30.0
UNANSWERED_READS = 3

_ORDER = ('error', 'warning', 'notice')

Search = Callable[[NodeCore, Instant], Iterator[Finding]]


def find_faults(core: NodeCore, now: Instant) -> tuple[Finding, ...]:
    """Return what is wrong at a node, errors first.

    :param core: the node; it is only read.
    """
    found = [one for search in _SEARCHES for one in search(core, now)]
    return tuple(sorted(found, key=lambda one: _ORDER.index(one.severity)))


def _search_document(core: NodeCore, now: Instant) -> Iterator[Finding]:
    if core.parts.keeper.document is None:
        yield _report(
            'error',
            'no_document',
            'There is no document in force: no call is taken. Look at the '
            'configuration service and the log event document_refused.',
        )


def _search_revision(core: NodeCore, now: Instant) -> Iterator[Finding]:
    keeper = core.parts.keeper
    ours = (keeper.revision, keeper.digest)
    for peer in _list_peers(core, now):
        if (peer.revision, peer.digest) > ours:
            yield _report(
                'warning',
                'revision_behind',
                f'Revision {keeper.revision} is in force here, and '
                f'{peer.revision} at {peer.name}.',
            )
            return


def _search_targets(core: NodeCore, now: Instant) -> Iterator[Finding]:
    document = core.parts.keeper.document
    for service in document.services if document else ():
        targets = core.parts.fleet.list_targets(service.name)
        staying = [one for one in targets if not one.leaving]
        if not targets:
            yield _report(
                'error',
                'no_targets',
                f'The service {service.name} has no target.',
            )
        elif not staying:
            yield _report(
                'error',
                'all_targets_leaving',
                f'Every target of the service {service.name} is leaving.',
            )


def _search_answers(core: NodeCore, now: Instant) -> Iterator[Finding]:
    document = core.parts.keeper.document
    seen = core.observations.targets
    for service in document.services if document else ():
        silent = [
            one.name
            for one in core.parts.fleet.list_targets(service.name)
            if one.name in seen
            and seen[one.name].unanswered >= UNANSWERED_READS
        ]
        if silent:
            yield _report(
                'warning',
                'targets_unanswering',
                f'{len(silent)} targets of the service {service.name} do not '
                f'answer reads of their load: {", ".join(silent[:5])}.',
            )


def _search_peers(core: NodeCore, now: Instant) -> Iterator[Finding]:
    for peer in _list_peers(core, now):
        age_s = now.monotonic_s - peer.heard_s
        if age_s > SILENT_PEER_S and not peer.stopping:
            yield _report(
                'warning',
                'peer_silent',
                f'{peer.name} was last heard {age_s:.0f} s ago.',
            )
    expected = core.parts.fleet.count_expected()
    live = len(core.parts.fleet.list_live(now))
    if live < expected:
        yield _report(
            'warning',
            'instances_missing',
            f'{live} of {expected} instances are heard, this one included.',
        )


def _search_queue(core: NodeCore, now: Instant) -> Iterator[Finding]:
    ages = [
        now.monotonic_s - one.profile.received_s
        for one in core.desk.table.list_records()
        if one.state is CallState.QUEUED
    ]
    if ages and max(ages) > OLD_QUEUE_S:
        yield _report(
            'warning',
            'queue_old',
            f'{len(ages)} calls wait for a target, one for {max(ages):.0f} s.',
        )


def _search_holdings(core: NodeCore, now: Instant) -> Iterator[Finding]:
    late: list[Reservation] = [
        holding
        for seen in core.observations.targets.values()
        for holding in seen.holdings
        if now.wall_s - holding.expires_wall_s > LATE_RELEASE_S
    ]
    if late:
        tokens = sum(one.tokens for one in late)
        yield _report(
            'error',
            'held_past_expiry',
            f'{tokens} tokens of KV memory are held past their expiry by '
            f'{", ".join(sorted({one.owner for one in late})[:5])}.',
        )


def _search_stop(core: NodeCore, now: Instant) -> Iterator[Finding]:
    if core.stopping_since_s is not None:
        waited_s = now.monotonic_s - core.stopping_since_s
        yield _report(
            'notice',
            'stopping',
            f'The instance has been stopping for {waited_s:.0f} s.',
        )
    elif not core.ready and core.parts.keeper.document is not None:
        yield _report('notice', 'starting', 'The instance is starting.')


def _list_peers(core: NodeCore, now: Instant) -> Iterator[HeardPeer]:
    for peer in core.observations.peers.values():
        if now.monotonic_s - peer.heard_s < FORGET_PEER_S:
            yield peer


def _report(severity: str, code: str, message: str) -> Finding:
    return Finding(severity=severity, code=code, message=message)


_SEARCHES: tuple[Search, ...] = (
    _search_document,
    _search_targets,
    _search_holdings,
    _search_revision,
    _search_answers,
    _search_peers,
    _search_queue,
    _search_stop,
)
