"""How the cost of one routing decision grows with the targets."""

import pathlib
import time

from attrs import evolve, frozen

from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import AttemptId, TargetName
from trefoilhinge.core.reports import LoadReport
from trefoilhinge.exceptions import DocumentInvalid
from trefoilhinge.measure.workload import Arrival, find_service, make_workload
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import TargetPlacement
from trefoilhinge.routing.router import BalancedRouter, make_balanced_router

TARGET_COUNTS = (25, 250, 1000, 4000)
DECISIONS = 2000
DECISION_INTERVAL_S = 0.001
REQUESTS_PER_S = 100
REPORTED_TOKENS = 4000


@frozen
class DecisionCost:
    """Processor time of routing decisions.

    :ivar targets: targets of the service.
    :ivar decisions: calls that were placed.
    :ivar place_us: microseconds of processor time to place one call.
    :ivar charge_us: microseconds to charge and release one.
    """

    targets: int
    decisions: int
    place_us: float
    charge_us: float


def measure_slopes(document_file: pathlib.Path) -> tuple[DecisionCost, ...]:
    """Return the cost at each number of targets.

    :param document_file: document whose model service is grown.
    :raises DocumentInvalid: the document cannot be used.
    """
    parsed = parse_document(document_file.read_text(encoding='utf-8'))
    if parsed.is_error():
        raise DocumentInvalid(f'{document_file}: {parsed.error[0]}')
    document = parsed.ok
    seconds = 2 * DECISIONS / REQUESTS_PER_S
    calls = make_workload(document, 1).make_arrivals(REQUESTS_PER_S, seconds)
    fitting = [one for one in calls if one.profile.model]
    return tuple(
        _measure_count(document, count, fitting[:DECISIONS])
        for count in TARGET_COUNTS
    )


def _measure_count(
    document: Document,
    count: int,
    calls: list[Arrival],
) -> DecisionCost:
    router = _make_loaded_router(document, count)
    place_s: float = 0
    charge_s: float = 0
    attempts: list[AttemptId] = []
    for number, call in enumerate(calls):
        now = Instant(1 + number * DECISION_INTERVAL_S, 0)
        profile = evolve(call.profile, received_s=now.monotonic_s)
        began_s = time.process_time()
        placed = router.place(profile, frozenset(), now)
        placed_s = time.process_time()
        if isinstance(placed, TargetPlacement):
            attempt = AttemptId(profile.request_id, 1)
            router.charge(attempt, profile, (placed.target.name,), now)
            attempts.append(attempt)
            router.note_first_token(attempt, now)
        place_s += placed_s - began_s
        charge_s += time.process_time() - placed_s
    return DecisionCost(
        count,
        len(calls),
        round(place_s / len(calls) * 1_000_000, 1),
        round(charge_s / len(calls) * 1_000_000, 1),
    )


def _make_loaded_router(document: Document, count: int) -> BalancedRouter:
    service = find_service(document, 'model')
    router = make_balanced_router('entry-0', '', 1)
    router.configure(document)
    views = tuple(
        TargetView(TargetName(f'engine-{one}'), '', str(one % 3), service.name)
        for one in range(count)
    )
    router.update_targets(service.name, views, Instant(0, 0))
    for place, view in enumerate(views):
        queued = place % 7 * REPORTED_TOKENS
        report = LoadReport(view.name, queued, place % 5, service.memory_tokens)
        router.note_load(view.name, report, Instant(1, 0))
    return router
