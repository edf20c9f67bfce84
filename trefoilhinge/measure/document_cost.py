"""Cost of one document change for an instance."""

import json
import time

from attrs import frozen

from trefoilhinge.conf.document_replica import NewestDocumentReplica
from trefoilhinge.core.clocks import Instant

ORGANISATIONS = 1600
SERVICES = 25
TARGETS_PER_SERVICE = 160
CHANGES_PER_DAY = 4600
SECONDS_PER_DAY = 86_400
_NOW = Instant(0, 0)


@frozen
class DocumentChangeCost:
    """Cost of one document change.

    :ivar document_bytes: size of the document.
    :ivar delta_bytes: size of the deltas for the change of one organisation.
    :ivar whole_s: CPU seconds to accept the full document.
    :ivar delta_s: CPU seconds to accept the change from deltas.
    :ivar repeated_s: CPU seconds to receive the same document again.
    :ivar delta_bytes_per_s: bytes of deltas per second at the planned rate of
        changes, ``CHANGES_PER_DAY``.
    :ivar core_share: CPU seconds per second at the planned rate of changes.
    """

    document_bytes: int
    delta_bytes: int
    whole_s: float
    delta_s: float
    repeated_s: float
    delta_bytes_per_s: float
    core_share: float


def make_large_document(revision: int) -> str:
    """Return a document of the size planned for in two years.

    The request rate of one organisation depends on the revision, so that two
    revisions differ in one organisation.
    """
    names = [f'service-{number}' for number in range(SERVICES)]
    fields = {
        'revision': revision,
        'deployment': 'large',
        'failure_domains': [
            {'name': f'domain-{number}', 'region': f'region-{number % 4}'}
            for number in range(12)
        ],
        'organisations': [
            _make_organisation(number, names, revision)
            for number in range(ORGANISATIONS)
        ],
        'services': [
            _make_service(number, name) for number, name in enumerate(names)
        ],
        'time_limits': {'default_s': 120, 'maximum_s': 900},
        'balance': {'long_weight': 0.5},
    }
    return json.dumps(fields)


def _make_organisation(
    number: int,
    services: list[str],
    revision: int,
) -> dict[str, object]:
    return {
        'name': f'organisation-{number}',
        'keys': [
            {
                'identifier': f'k{number:07d}',
                'salt': f'{number:032x}',
                'digest': f'{number:064x}',
            },
        ],
        'requests_per_s': 1000 + revision if number == 7 else 1000,
        'tokens_per_s': 1_000_000,
        'services': [services[number % SERVICES]],
    }


def _make_service(number: int, name: str) -> dict[str, object]:
    return {
        'name': name,
        'kind': 'model',
        'minimum_ready': 100,
        'targets': [
            {
                'name': f'{name}-{target_number}',
                'address': f'10.{number}.{target_number}.1:8000',
                'failure_domain': f'domain-{target_number % 12}',
            }
            for target_number in range(TARGETS_PER_SERVICE)
        ],
    }


def measure_document_change() -> DocumentChangeCost:
    """Measure a change of one organisation's request rate."""
    first, second = make_large_document(1), make_large_document(2)
    sender = NewestDocumentReplica()
    sender.merge_text(first, 'service', _NOW)
    base = sender.digest
    started_s = time.process_time()
    sender.merge_text(second, 'service', _NOW)
    whole_s = time.process_time() - started_s
    deltas = sender.find_deltas(base)
    receiver = NewestDocumentReplica()
    receiver.merge_text(first, 'service', _NOW)
    started_s = time.process_time()
    receiver.merge_deltas(deltas, 'peer', _NOW)
    delta_s = time.process_time() - started_s
    if receiver.digest != sender.digest:
        raise RuntimeError(
            'document built from the deltas differs from that of the sender: '
            f'digest {receiver.digest}, expected {sender.digest}'
        )
    started_s = time.process_time()
    receiver.merge_text(second, 'service', _NOW)
    repeated_s = time.process_time() - started_s
    return DocumentChangeCost(
        document_bytes=len(second),
        delta_bytes=len(deltas),
        whole_s=round(whole_s, 4),
        delta_s=round(delta_s, 4),
        repeated_s=round(repeated_s, 4),
        delta_bytes_per_s=round(
            len(deltas) * CHANGES_PER_DAY / SECONDS_PER_DAY, 1
        ),
        core_share=round(delta_s * CHANGES_PER_DAY / SECONDS_PER_DAY, 5),
    )
