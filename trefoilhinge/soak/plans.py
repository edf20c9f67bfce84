"""Random plans of faults and maintenance for a soak."""

import numpy as np
from attrs import frozen

from trefoilhinge.soak.event_kinds import (
    ColdKind,
    CrashKind,
    CrowdKind,
    DemandKind,
    EntryKind,
    EvacuationKind,
    EventKind,
    ExpiryKind,
    FaultKind,
    MaintenanceKind,
    NeedKind,
    OutageKind,
    ReaderKind,
    RetryKind,
    SilenceKind,
    StopKind,
    StreamKind,
)

WARM_UP_S = 3.0  # without events, until all instances are ready
EVENT_INTERVALS_S = (0.3, 1.8)  # between two starts; events may overlap
DURATIONS_S = (0.5, 3.0)  # of faults
EVENTS_PER_ROUND = 6
ROUND_PAUSE_S = 7.0  # without events, so that time limits can be checked
MAINTENANCE_SHARE = 0.4  # of the events
# Durations of limits: longer than the time in which they need not hold yet.
LIMIT_DURATIONS_S = (8.0, 12.0)
LIMIT_INTERVALS_S = (4.0, 9.0)  # between two targets that name a limit
# Of requests that crash targets: longer than these may reach any.
CRASH_DURATIONS_S = (9.0, 12.0)
CRASH_PAUSES_S = (3.0, 9.0)  # between the end of one kind and the next
ENTRY_DURATIONS_S = (4.0, 10.0)  # of cuts of waiting watches
ENTRY_INTERVALS_S = (2.0, 5.0)
READER_INTERVALS_S = (6.0, 18.0)
EXPIRY_INTERVALS_S = (4.0, 12.0)
OUTAGE_INTERVALS_S = (8.0, 30.0)
COLD_INTERVALS_S = (4.0, 12.0)  # between two targets that turn cold
COLD_SERVICE_INTERVALS_S = (8.0, 30.0)
SWITCH_INTERVALS_S = (12.0, 40.0)
RETRY_INTERVALS_S = (4.0, 16.0)
CROWD_INTERVALS_S = (15.0, 45.0)
SILENCE_INTERVALS_S = (6.0, 18.0)
SPOIL_INTERVALS_S = (4.0, 12.0)
EVACUATION_INTERVALS_S = (10.0, 30.0)

# Events with random numbers of their own, by the number of their series.
SERIES: dict[int, tuple[EventKind, tuple[float, float]]] = {
    4: (ReaderKind.stop, READER_INTERVALS_S),
    5: (ExpiryKind.target, EXPIRY_INTERVALS_S),
    6: (OutageKind.restart, OUTAGE_INTERVALS_S),
    7: (ColdKind.target, COLD_INTERVALS_S),
    8: (ColdKind.service, COLD_SERVICE_INTERVALS_S),
    9: (EvacuationKind.cut, EVACUATION_INTERVALS_S),
    10: (EvacuationKind.restart, EVACUATION_INTERVALS_S),
    11: (DemandKind.switch, SWITCH_INTERVALS_S),
    12: (RetryKind.at_once, RETRY_INTERVALS_S),
    17: (CrowdKind.bodies, CROWD_INTERVALS_S),
    18: (CrowdKind.chunks, CROWD_INTERVALS_S),
    19: (CrowdKind.connections, CROWD_INTERVALS_S),
    20: (SilenceKind.removal, SILENCE_INTERVALS_S),
    21: (SilenceKind.revocation, SILENCE_INTERVALS_S),
    22: (StreamKind.spoil, SPOIL_INTERVALS_S),
}
# Planned work, in a plan without faults.
STOP_INTERVALS_S = (17.0, 20.0)  # more than such an event lasts
WORK_INTERVALS_S = (1.0, 3.0)


@frozen
class PlannedEvent:
    """One event of a plan.

    :ivar at_s: seconds from the start of traffic.
    :ivar duration_s: seconds until a fault is undone.
    :ivar selector: number in [0, 1) that selects the affected instance,
        target, proxy or caller.
    """

    at_s: float
    duration_s: float
    kind: EventKind
    selector: float


def generate_plan(seed: int, seconds: float) -> list[PlannedEvent]:
    """Return the random events of a soak, ordered by time.

    :param seconds: duration of the traffic.
    """
    generator = np.random.default_rng(seed)
    events: list[PlannedEvent] = []
    at_s = WARM_UP_S
    while at_s < seconds:
        category: type[FaultKind] | type[MaintenanceKind] = (
            MaintenanceKind
            if generator.uniform() < MAINTENANCE_SHARE
            else FaultKind
        )
        choices: list[EventKind] = list(category)
        kind = choices[int(generator.integers(len(choices)))]
        duration_s = float(generator.uniform(*DURATIONS_S))
        events.append(
            PlannedEvent(at_s, duration_s, kind, float(generator.uniform()))
        )
        at_s += float(generator.uniform(*EVENT_INTERVALS_S))
        if len(events) % EVENTS_PER_ROUND == 0:
            at_s += ROUND_PAUSE_S
    events.extend(_generate_limits(seed, seconds))
    events.extend(_generate_crashes(seed, seconds))
    events.extend(_generate_entry_events(seed, seconds))
    for series, (kind, intervals_s) in SERIES.items():
        events.extend(
            _generate_series(seed, series, seconds, kind, intervals_s)
        )
    return sorted(events, key=lambda one: one.at_s)


def generate_planned_work(seed: int, seconds: float) -> list[PlannedEvent]:
    """Return stops under load, reloads and new documents, and no faults.

    Calls that last longer than a stop can be checked only in such a plan:
    faults are too frequent in others.

    :param seconds: duration of the traffic.
    """
    events = [
        *_generate_series(
            seed, 14, seconds, MaintenanceKind.reload, WORK_INTERVALS_S
        ),
        *_generate_series(
            seed, 15, seconds, MaintenanceKind.change_document, WORK_INTERVALS_S
        ),
    ]
    generator = np.random.default_rng((seed, 16))
    kinds = list(StopKind)
    at_s = 1.0
    while at_s < seconds:
        kind = kinds[int(generator.integers(len(kinds)))]
        events.append(PlannedEvent(at_s, 0, kind, float(generator.uniform())))
        at_s += float(generator.uniform(*STOP_INTERVALS_S))
    return sorted(events, key=lambda one: one.at_s)


def _generate_limits(seed: int, seconds: float) -> list[PlannedEvent]:
    """Return the limits that targets name.

    They have random numbers of their own, so that the other events of a seed
    are the same as before targets named limits.
    """
    generator = np.random.default_rng((seed, 1))
    events: list[PlannedEvent] = []
    at_s = float(generator.uniform(*LIMIT_INTERVALS_S))
    while at_s < seconds:
        events.append(
            PlannedEvent(
                at_s,
                float(generator.uniform(*LIMIT_DURATIONS_S)),
                NeedKind.name_limit,
                float(generator.uniform()),
            )
        )
        at_s += float(generator.uniform(*LIMIT_INTERVALS_S))
    return events


def _generate_crashes(seed: int, seconds: float) -> list[PlannedEvent]:
    """Return the times in which requests crash targets.

    They have random numbers of their own, as limits do.
    """
    generator = np.random.default_rng((seed, 2))
    kinds = list(CrashKind)
    events: list[PlannedEvent] = []
    at_s = float(generator.uniform(*CRASH_PAUSES_S))
    while at_s < seconds:
        duration_s = float(generator.uniform(*CRASH_DURATIONS_S))
        kind = kinds[int(generator.integers(len(kinds)))]
        events.append(
            PlannedEvent(at_s, duration_s, kind, float(generator.uniform()))
        )
        at_s += duration_s + float(generator.uniform(*CRASH_PAUSES_S))
    return events


def _generate_entry_events(seed: int, seconds: float) -> list[PlannedEvent]:
    """Return cuts of watches, and targets that leave without a word.

    They have random numbers of their own, as limits do.
    """
    generator = np.random.default_rng((seed, 3))
    kinds = list(EntryKind)
    events: list[PlannedEvent] = []
    at_s = float(generator.uniform(*ENTRY_INTERVALS_S))
    while at_s < seconds:
        kind = kinds[int(generator.integers(len(kinds)))]
        duration_s = float(generator.uniform(*ENTRY_DURATIONS_S))
        events.append(
            PlannedEvent(at_s, duration_s, kind, float(generator.uniform()))
        )
        at_s += float(generator.uniform(*ENTRY_INTERVALS_S))
    return events


def _generate_series(
    seed: int,
    series: int,
    seconds: float,
    kind: EventKind,
    intervals_s: tuple[float, float],
) -> list[PlannedEvent]:
    """Return events of one kind, with random numbers of their own.

    :param series: number of the series of random numbers.
    """
    generator = np.random.default_rng((seed, series))
    events: list[PlannedEvent] = []
    at_s = float(generator.uniform(*intervals_s))
    while at_s < seconds:
        duration_s = float(generator.uniform(*DURATIONS_S))
        events.append(
            PlannedEvent(at_s, duration_s, kind, float(generator.uniform()))
        )
        at_s += float(generator.uniform(*intervals_s))
    return events
