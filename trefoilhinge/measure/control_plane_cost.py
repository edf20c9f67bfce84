"""Control-plane cost by size: documents, idempotency keys, timers and calls.

CPU time or memory is measured at three sizes or more, so that the cost at
another size can be extrapolated from the slope.
"""

import json
import pathlib
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

from attrs import evolve, frozen

from trefoilhinge.conf.deltas import (
    canonicalise_text,
    encode_deltas,
    make_delta,
)
from trefoilhinge.conf.document_replica import NewestDocumentReplica
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Dispatch, Effect
from trefoilhinge.core.events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptOutcome,
    CallReceived,
    DocumentRead,
    FirstTokenSeen,
    TimerFired,
)
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    InstanceName,
    RequestId,
    StreamId,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.exceptions import DocumentInvalid
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.timers import TICK_INTERVAL_S
from trefoilhinge.retries.ledger import make_owned_key_ledger

# Numbers of organisations and targets.
DOCUMENT_SIZES = ((10, 28), (200, 500), (800, 2000), (1600, 4000))
KEY_COUNTS = (1000, 5000, 20000)
TIMER_DURATION_S = 20
CALLS = 400
PROMPT_TOKENS = 4000
OUTPUT_TOKENS = 200
SECRET = 'a secret of the measured deployment'
START_INSTANT = Instant(1, 1_800_000_000)
_IDENTITY = InstanceIdentity(InstanceName('entry-0'), 1)

Fields = dict[str, Any]


@frozen
class DocumentSizeCost:
    """Cost of a document of one size for an instance.

    :ivar document_bytes: size of the canonical text of the document.
    :ivar delta_bytes: size of the delta of one changed limit.
    :ivar accept_ms: CPU milliseconds to accept the full document.
    :ivar delta_ms: CPU milliseconds to accept a delta to it.
    :ivar memory_kb: kilobytes in use after the document is accepted.
    """

    organisations: int
    targets: int
    document_bytes: int
    delta_bytes: int
    accept_ms: float
    delta_ms: float
    memory_kb: float


@frozen
class KeyCost:
    """Cost of idempotency keys in the ledger.

    :ivar keys: number of keys.
    :ivar claim_us: CPU microseconds to mint and claim a key, record its intent
        and settle it.
    :ivar bytes_a_key: memory of one stored key.
    """

    keys: int
    claim_us: float
    bytes_a_key: float


@frozen
class NodeCost:
    """Cost of a node's core, without the relay of tokens.

    :ivar idle_core_share: CPU seconds per second of the timer alone.
    :ivar call_us: CPU microseconds of all decisions for one call.
    """

    organisations: int
    targets: int
    idle_core_share: float
    call_us: float


@frozen
class ControlPlaneCosts:
    """Results of one run."""

    documents: tuple[DocumentSizeCost, ...]
    keys: tuple[KeyCost, ...]
    nodes: tuple[NodeCost, ...]


def measure_control_plane(document_file: pathlib.Path) -> ControlPlaneCosts:
    """Measure every size.

    :param document_file: document that is enlarged to each size.
    """
    fields = json.loads(document_file.read_text(encoding='utf-8'))
    return ControlPlaneCosts(
        tuple(_measure_document(fields, *size) for size in DOCUMENT_SIZES),
        tuple(_measure_keys(count) for count in KEY_COUNTS),
        tuple(_measure_node(fields, *size) for size in DOCUMENT_SIZES),
    )


def grow_document(fields: Fields, organisations: int, targets: int) -> str:
    """Return the text of a document with many organisations and targets.

    :param fields: document whose first organisation and first target are
        replicated.
    """
    organisation_template = fields['organisations'][0]
    service = fields['services'][0]
    target = service['targets'][0]
    enlarged_service = {
        **service,
        'minimum_ready': 1,
        'targets': [
            {
                **target,
                'name': f'engine-{number}',
                'address': _make_address(number),
            }
            for number in range(targets)
        ],
    }
    return json.dumps(
        {
            **fields,
            'organisations': [
                {
                    **organisation_template,
                    'name': f'org-{number}',
                    'keys': [_make_api_key(number)],
                }
                for number in range(organisations)
            ],
            'services': [enlarged_service, *fields['services'][1:]],
        }
    )


def _measure_document(
    fields: Fields,
    organisations: int,
    targets: int,
) -> DocumentSizeCost:
    text = canonicalise_text(grow_document(fields, organisations, targets))
    changed = json.loads(text)
    changed['revision'] += 1
    changed['organisations'][0]['tokens_per_s'] += 1
    delta = encode_deltas(
        (make_delta(text, canonicalise_text(json.dumps(changed))),),
    )
    traced_replica = NewestDocumentReplica()
    tracemalloc.start()
    traced_replica.merge_text(text, 'measure', START_INSTANT)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    replica = NewestDocumentReplica()
    accept_cpu_s = _measure_cpu_s(
        lambda: replica.merge_text(text, 'measure', START_INSTANT)
    )
    delta_cpu_s = _measure_cpu_s(
        lambda: replica.merge_deltas(delta, 'measure', START_INSTANT)
    )
    if replica.revision != changed['revision']:
        raise DocumentInvalid(
            'delta to an enlarged document was not accepted: revision '
            f'{replica.revision}, expected {changed["revision"]}'
        )
    return DocumentSizeCost(
        organisations,
        targets,
        len(text),
        len(delta),
        round(accept_cpu_s * 1000, 2),
        round(delta_cpu_s * 1000, 2),
        round(memory_bytes / 1000, 1),
    )


def _measure_keys(count: int) -> KeyCost:
    ledger = make_owned_key_ledger(_IDENTITY, SECRET, 'life')

    def claim_keys() -> None:
        for number in range(count):
            key = ledger.mint_key('org-0', START_INSTANT)
            profile = _make_call(number, 'org-0', 'desk', key)
            ledger.claim(profile, START_INSTANT)
            ledger.record_intent(
                profile,
                AttemptId(profile.request_id, 1),
                START_INSTANT,
            )
            ledger.settle(profile, Verdict.RAN, START_INSTANT)

    cpu_s = _measure_cpu_s(claim_keys)
    ledger = make_owned_key_ledger(_IDENTITY, SECRET, 'life')
    tracemalloc.start()
    claim_keys()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return KeyCost(
        count,
        round(cpu_s / count * 1_000_000, 1),
        round(memory_bytes / count, 1),
    )


def _measure_node(
    fields: Fields,
    organisations: int,
    targets: int,
) -> NodeCost:
    core = _make_node(grow_document(fields, organisations, targets))
    service = fields['services'][0]['name']
    ticks = int(TIMER_DURATION_S / TICK_INTERVAL_S)
    timer_cpu_s = _measure_cpu_s(lambda: _run_timer(core, range(1, ticks)))
    now = START_INSTANT.shift(TIMER_DURATION_S)
    calls = [
        evolve(
            _make_call(number, f'org-{number % organisations}', service, ''),
            received_s=now.monotonic_s,
            deadline_s=now.monotonic_s + 100,
        )
        for number in range(CALLS)
    ]
    calls_cpu_s = _measure_cpu_s(lambda: _run_calls(core, calls, now))
    return NodeCost(
        organisations,
        targets,
        round(timer_cpu_s / TIMER_DURATION_S, 5),
        round(calls_cpu_s / CALLS * 1_000_000, 1),
    )


def _make_node(text: str) -> NodeCore:
    parts = make_parts(_IDENTITY, '127.0.0.1:1', 'kandy', SECRET, (), 1)
    core = make_node(parts, 0, 0)
    core.handle(DocumentRead(text), START_INSTANT)
    core.handle(TimerFired(), START_INSTANT)
    return core


def _run_timer(core: NodeCore, ticks: Iterable[int]) -> None:
    for number in ticks:
        core.handle(TimerFired(), START_INSTANT.shift(number * TICK_INTERVAL_S))


def _run_calls(
    core: NodeCore,
    calls: Iterable[CallProfile],
    now: Instant,
) -> None:
    for profile in calls:
        _run_call(core, profile, now)


def _run_call(core: NodeCore, profile: CallProfile, now: Instant) -> None:
    effects: list[Effect] = core.handle(CallReceived(profile), now)
    for effect in effects:
        if isinstance(effect, Dispatch):
            attempt = effect.attempt
            stream_id = StreamId(str(attempt))
            core.handle(AttemptAccepted(attempt, stream_id), now)
            core.handle(FirstTokenSeen(attempt), now)
            core.handle(
                AttemptEnded(
                    attempt,
                    AttemptOutcome.FINISHED,
                    prompt_tokens=PROMPT_TOKENS,
                    output_tokens=OUTPUT_TOKENS,
                ),
                now,
            )


def _make_call(
    number: int,
    organisation: str,
    service: str,
    key: str,
) -> CallProfile:
    return CallProfile(
        request_id=RequestId(f'r{number}'),
        organisation=organisation,
        service=service,
        model=not key,
        path='/v1/completions',
        idempotent=not key,
        key=key,
        body_digest='',
        prompt_tokens=PROMPT_TOKENS,
        output_tokens=OUTPUT_TOKENS,
        prefix_digests=(),
        priority=5,
        deadline_s=START_INSTANT.monotonic_s + 100,
        received_s=START_INSTANT.monotonic_s,
    )


def _measure_cpu_s(function: Callable[[], object]) -> float:
    started_s = time.process_time()
    function()
    return time.process_time() - started_s


def _make_address(number: int) -> str:
    network, host = divmod(number, 250)
    return f'10.{100 + network // 250}.{network % 250}.{host + 1}:8000'


def _make_api_key(number: int) -> Fields:
    return {
        'identifier': f'{number:012x}',
        'salt': '0' * 32,
        'digest': f'{number:064x}',
    }
