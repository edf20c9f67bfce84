"""Checks that report problems of a node, most severe first."""

from collections.abc import Callable, Iterator

from trefoilhinge.conf.generated.status import Finding
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.reports import Reservation
from trefoilhinge.node.call_table import CallState
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.observations import PeerObservation

PEER_SILENCE_LIMIT_S = 10.0
# A peer silent for longer has been replaced and is no longer reported.
PEER_RETENTION_S = 600.0
QUEUE_AGE_LIMIT_S = 10.0
RELEASE_DELAY_LIMIT_S = 30.0
UNANSWERED_READS_LIMIT = 3

_SEVERITIES = ('error', 'warning', 'notice')

Check = Callable[[NodeCore, Instant], Iterator[Finding]]


def list_findings(core: NodeCore, now: Instant) -> tuple[Finding, ...]:
    """Return the problems of a node, errors first.

    :param core: node to check; it is not modified.
    """
    found = [one for check in _CHECKS for one in check(core, now)]
    return tuple(sorted(found, key=lambda one: _SEVERITIES.index(one.severity)))


def _check_document(core: NodeCore, now: Instant) -> Iterator[Finding]:
    if core.parts.document_replica.document is None:
        yield _report(
            'error',
            'no_document',
            'No document is in force, so calls are refused. Check the '
            'configuration service and the log event document_refused.',
        )


def _check_revision(core: NodeCore, now: Instant) -> Iterator[Finding]:
    document_replica = core.parts.document_replica
    own_version = (document_replica.revision, document_replica.digest)
    for peer in _list_peers(core, now):
        if (peer.revision, peer.digest) > own_version:
            yield _report(
                'warning',
                'revision_behind',
                f'Revision {document_replica.revision} is in force here, but '
                f'{peer.revision} at {peer.name}.',
            )
            return


def _check_targets(core: NodeCore, now: Instant) -> Iterator[Finding]:
    document = core.parts.document_replica.document
    for service in document.services if document else ():
        targets = core.parts.fleet.list_targets(service.name)
        remaining = [one for one in targets if not one.leaving]
        if not targets:
            yield _report(
                'error',
                'no_targets',
                f'The service {service.name} has no target.',
            )
        elif not remaining:
            yield _report(
                'error',
                'all_targets_leaving',
                f'Every target of the service {service.name} is leaving.',
            )


def _check_answers(core: NodeCore, now: Instant) -> Iterator[Finding]:
    document = core.parts.document_replica.document
    observed = core.observations.targets
    for service in document.services if document else ():
        silent = [
            one.name
            for one in core.parts.fleet.list_targets(service.name)
            if one.name in observed
            and observed[one.name].unanswered >= UNANSWERED_READS_LIMIT
        ]
        if silent:
            yield _report(
                'warning',
                'targets_unanswering',
                f'{len(silent)} targets of the service {service.name} did not '
                f'answer recent load reads: {", ".join(silent[:5])}.',
            )


def _check_peers(core: NodeCore, now: Instant) -> Iterator[Finding]:
    for peer in _list_peers(core, now):
        age_s = now.monotonic_s - peer.received_s
        if age_s > PEER_SILENCE_LIMIT_S and not peer.stopping:
            yield _report(
                'warning',
                'peer_silent',
                f'No message from {peer.name} for {age_s:.0f} s.',
            )
    expected = core.parts.fleet.count_expected()
    live = len(core.parts.fleet.list_live(now))
    if live < expected:
        yield _report(
            'warning',
            'instances_missing',
            f'{live} of {expected} instances are live, this one included.',
        )


def _check_queue(core: NodeCore, now: Instant) -> Iterator[Finding]:
    ages = [
        now.monotonic_s - one.profile.received_s
        for one in core.call_coordinator.table.list_records()
        if one.state is CallState.QUEUED
    ]
    if ages and max(ages) > QUEUE_AGE_LIMIT_S:
        yield _report(
            'warning',
            'queue_old',
            f'{len(ages)} calls are queued, the oldest for {max(ages):.0f} s.',
        )


def _check_reservations(core: NodeCore, now: Instant) -> Iterator[Finding]:
    overdue: list[Reservation] = [
        reservation
        for observed in core.observations.targets.values()
        for reservation in observed.reservations
        if now.wall_s - reservation.expires_wall_s > RELEASE_DELAY_LIMIT_S
    ]
    if overdue:
        tokens = sum(one.tokens for one in overdue)
        yield _report(
            'error',
            'held_past_expiry',
            f'{tokens} tokens of KV memory are held past their expiry by '
            f'{", ".join(sorted({one.owner for one in overdue})[:5])}.',
        )


def _check_lifecycle(core: NodeCore, now: Instant) -> Iterator[Finding]:
    if core.stopping_since_s is not None:
        waited_s = now.monotonic_s - core.stopping_since_s
        yield _report(
            'notice',
            'stopping',
            f'The instance has been stopping for {waited_s:.0f} s.',
        )
    elif not core.ready and core.parts.document_replica.document is not None:
        yield _report('notice', 'starting', 'The instance is starting.')


def _list_peers(core: NodeCore, now: Instant) -> Iterator[PeerObservation]:
    for peer in core.observations.peers.values():
        if now.monotonic_s - peer.received_s < PEER_RETENTION_S:
            yield peer


def _report(severity: str, code: str, message: str) -> Finding:
    return Finding(severity=severity, code=code, message=message)


_CHECKS: tuple[Check, ...] = (
    _check_document,
    _check_targets,
    _check_reservations,
    _check_revision,
    _check_answers,
    _check_peers,
    _check_queue,
    _check_lifecycle,
)
