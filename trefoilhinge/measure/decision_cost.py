"""Cost of one routing decision by number of targets."""

import pathlib
import time

from attrs import evolve, frozen

from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import AttemptId, TargetName
from trefoilhinge.core.reports import LoadReport
from trefoilhinge.exceptions import DocumentInvalid
from trefoilhinge.measure.workload import (
    Arrival,
    find_service,
    make_workload_generator,
)
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import TargetPlacement
from trefoilhinge.routing.router import BalancedRouter, make_balanced_router

TARGET_COUNTS = (25, 250, 1000, 4000)
DECISIONS = 2000
DECISION_INTERVAL_S = 0.001
REQUESTS_PER_S = 100
QUEUED_TOKENS_STEP = 4000


@frozen
class DecisionCost:
    """CPU time of routing decisions.

    :ivar targets: number of targets of the service.
    :ivar decisions: number of calls placed.
    :ivar place_us: CPU time to place one call, microseconds.
    :ivar charge_us: CPU time to charge one call and to record its first
        token, microseconds.
    """

    targets: int
    decisions: int
    place_us: float
    charge_us: float


def measure_decisions(document_file: pathlib.Path) -> tuple[DecisionCost, ...]:
    """Measure the decision at each number of targets.

    :param document_file: document whose model service is enlarged.
    :raises DocumentInvalid: the document is invalid.
    """
    parsed = parse_document(document_file.read_text(encoding='utf-8'))
    if parsed.is_error():
        raise DocumentInvalid(f'{document_file}: {parsed.error[0]}')
    document = parsed.ok
    duration_s = 2 * DECISIONS / REQUESTS_PER_S
    calls = make_workload_generator(document, 1).generate_arrivals(
        REQUESTS_PER_S, duration_s
    )
    model_calls = [call for call in calls if call.profile.model]
    return tuple(
        _measure_count(document, count, model_calls[:DECISIONS])
        for count in TARGET_COUNTS
    )


def _measure_count(
    document: Document,
    count: int,
    calls: list[Arrival],
) -> DecisionCost:
    router = _make_loaded_router(document, count)
    place_cpu_s: float = 0
    charge_cpu_s: float = 0
    attempts: list[AttemptId] = []
    for number, call in enumerate(calls):
        now = Instant(1 + number * DECISION_INTERVAL_S, 0)
        profile = evolve(call.profile, received_s=now.monotonic_s)
        started_s = time.process_time()
        placement = router.place(profile, frozenset(), now)
        placed_at_s = time.process_time()
        if isinstance(placement, TargetPlacement):
            attempt = AttemptId(profile.request_id, 1)
            router.charge(attempt, profile, (placement.target.name,), now)
            attempts.append(attempt)
            router.note_first_token(attempt, now)
        place_cpu_s += placed_at_s - started_s
        charge_cpu_s += time.process_time() - placed_at_s
    return DecisionCost(
        count,
        len(calls),
        round(place_cpu_s / len(calls) * 1_000_000, 1),
        round(charge_cpu_s / len(calls) * 1_000_000, 1),
    )


def _make_loaded_router(document: Document, count: int) -> BalancedRouter:
    service = find_service(document, 'model')
    router = make_balanced_router('entry-0', '', 1)
    router.configure(document)
    views = tuple(
        TargetView(
            TargetName(f'engine-{number}'), '', str(number % 3), service.name
        )
        for number in range(count)
    )
    router.update_targets(service.name, views, Instant(0, 0))
    for index, view in enumerate(views):
        queued_tokens = index % 7 * QUEUED_TOKENS_STEP
        report = LoadReport(
            view.name, queued_tokens, index % 5, service.memory_tokens
        )
        router.note_load(view.name, report, Instant(1, 0))
    return router
