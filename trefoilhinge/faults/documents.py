"""Configuration document of the deployment that faults are injected into."""

from typing import Any

ENGINES = ('writer-0', 'writer-1', 'writer-2', 'writer-3')
PLAIN_TARGETS = ('desk-0', 'desk-1')
FAILURE_DOMAINS = ('kandy', 'nuwara')
ORGANISATIONS = ('hostesses', 'hotel-desk', 'halls')
ENGINE_MEMORY_TOKENS = 100_000
PREFILL_TOKENS_PER_S = 100_000.0


def make_document(revision: int) -> dict[str, Any]:
    """Return a revision of the configuration document as JSON fields.

    Odd revisions desire version ``v1`` of the model, even ones ``v2``.
    """
    return {
        'revision': revision,
        'deployment': 'faults',
        'failure_domains': [
            {'name': name, 'region': 'hill'} for name in FAILURE_DOMAINS
        ],
        'organisations': [
            {
                'name': name,
                'keys': [],
                'requests_per_s': 1000.0,
                'tokens_per_s': 100_000_000.0,
                'services': ['writer', 'desk'],
            }
            for name in ORGANISATIONS
        ],
        'models': [{'name': 'open-large', 'versions': ['v1', 'v2']}],
        'services': [
            {
                'name': 'writer',
                'kind': 'model',
                'targets': [make_target_entry(name) for name in ENGINES],
                'paths': [{'path': '/v1/', 'idempotent': True}],
                'memory_tokens': ENGINE_MEMORY_TOKENS,
                'prefill_tokens_per_s': PREFILL_TOKENS_PER_S,
                'maximum_running': 4,
                'loads_per_minute': 60.0,
                'fences': 'honoured',
                'desired': {
                    'model': 'open-large',
                    'version': 'v2' if revision % 2 == 0 else 'v1',
                },
            },
            {
                'name': 'desk',
                'kind': 'plain',
                'targets': [make_target_entry(name) for name in PLAIN_TARGETS],
                'paths': [
                    {'path': '/lookup', 'idempotent': True},
                    {'path': '/bookings', 'idempotent': False},
                ],
            },
        ],
        'time_limits': {
            'default_s': 20.0,
            'maximum_s': 60.0,
            'silence_s': 2.0,
        },
        'balance': {'long_weight': 0.5},
    }


def find_failure_domain(target: str) -> str:
    """Return the failure domain of a target.

    The last engine and the last plain target are in the second domain, all
    others in the first.
    """
    return FAILURE_DOMAINS[target in {ENGINES[-1], PLAIN_TARGETS[-1]}]


def make_target_entry(name: str) -> dict[str, str]:
    """Return the entry of a target in the document."""
    number = (*ENGINES, *PLAIN_TARGETS).index(name)
    return {
        'name': name,
        'address': f'10.0.0.{number}:8000',
        'failure_domain': find_failure_domain(name),
    }
