"""Comparison of the state that gateway instances hold, from their status."""

from collections.abc import Sequence

import urllib3

from trefoilhinge.client.exit_codes import (
    EXIT_ERROR,
    EXIT_PROBLEM_FOUND,
    EXIT_SUCCESS,
)
from trefoilhinge.client.status_client import STATUS_TIMEOUT_S, fetch_status
from trefoilhinge.conf.generated import belief as classes
from trefoilhinge.conf.generated.belief import BeliefSnapshot
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.structuring import make_strict_decoder

MISSING_VALUE = '-'
# Fields that all instances learn at the same pace; momentary values, such as
# loads, always differ.
COMPARED_TARGET_FIELDS = (
    'service',
    'address',
    'leaving',
    'usable',
    'pace',
    'limit_per_s',
    'limit_owner',
)


def print_beliefs(urls: str) -> int:
    """Print the state of each instance and the differences between them.

    :param urls: URLs of control addresses, separated by commas.
    :return: exit code; ``EXIT_PROBLEM_FOUND`` if instances differ and
        ``EXIT_ERROR`` if one cannot be read.
    """
    snapshots = []
    decode = make_strict_decoder(load_schema('belief'), classes)
    pool = urllib3.PoolManager(retries=False, timeout=STATUS_TIMEOUT_S)
    for url in urls.split(','):
        fetched = fetch_status(pool, url.strip(), decode)
        if fetched.is_error():
            print(f'{url}: {fetched.error}')
            return EXIT_ERROR
        snapshots.append(fetched.ok)
        print(describe_snapshot(fetched.ok))
    differences = list_differences(snapshots)
    for line in differences:
        print(line)
    return EXIT_PROBLEM_FOUND if differences else EXIT_SUCCESS


def describe_snapshot(snapshot: BeliefSnapshot) -> str:
    """Return a one-line summary of an instance's state."""
    usable = sum(target.usable for target in snapshot.targets)
    state = 'ready' if snapshot.ready else 'not ready'
    if snapshot.stopping:
        state = 'stopping'
    quarantine = ''
    if snapshot.quarantined:
        traits = ', '.join(entry.trait for entry in snapshot.quarantined)
        quarantine = f', quarantined: {traits}'
    store_outage = ''
    if snapshot.store_away_s:
        store_outage = f', store unreachable for {snapshot.store_away_s:.1f} s'
    return (
        f'{snapshot.instance}: {state}, document {snapshot.version}, '
        f'{len(snapshot.peers)} peers, {usable} of {len(snapshot.targets)} '
        f'targets usable, {snapshot.calls} calls, '
        f'{snapshot.waiting} waiting{store_outage}{quarantine}'
    )


def list_differences(snapshots: Sequence[BeliefSnapshot]) -> list[str]:
    """Return a line for each field whose value differs between instances."""
    lines = []
    versions = {
        snapshot.instance: str(snapshot.version) for snapshot in snapshots
    }
    if len(set(versions.values())) > 1:
        lines.append(_format_difference('document', versions))
    quarantined = {
        snapshot.instance: ' '.join(
            entry.trait for entry in snapshot.quarantined
        )
        for snapshot in snapshots
    }
    if len(set(quarantined.values())) > 1:
        lines.append(_format_difference('quarantined', quarantined))
    names = {
        target.name for snapshot in snapshots for target in snapshot.targets
    }
    by_instance = {
        snapshot.instance: {target.name: target for target in snapshot.targets}
        for snapshot in snapshots
    }
    for name in sorted(names):
        for field in COMPARED_TARGET_FIELDS:
            values_by_instance = {
                instance: str(getattr(targets.get(name), field, MISSING_VALUE))
                for instance, targets in by_instance.items()
            }
            if len(set(values_by_instance.values())) > 1:
                lines.append(
                    _format_difference(
                        f'target {name} {field}', values_by_instance
                    )
                )
    return lines


def _format_difference(subject: str, values_by_instance: dict[str, str]) -> str:
    values = ', '.join(
        f'{instance}={value}' for instance, value in values_by_instance.items()
    )
    return f'differs: {subject}: {values}'
