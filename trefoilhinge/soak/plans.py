"""The faults and planned work of one soak, drawn from its seed."""

import enum

import numpy as np
from attrs import frozen

WARM_UP_S = 3.0  # of calm, so that all instances are ready
EVENT_INTERVALS_S = (0.3, 1.8)  # between two entries; their ends may overlap
DURATIONS_S = (0.5, 3.0)
EVENTS_PER_ROUND = 6  # entries, after which there is time for bounds to hold
ROUND_PAUSE_S = 7.0
MAINTENANCE_SHARE = 0.4  # of the entries


class FaultKind(enum.Enum):
    """What happens to an instance, a target, the store or connections."""

    kill = 'kill'
    pause = 'pause'
    store_down = 'store_down'
    reset_links = 'reset_links'
    silence_links = 'silence_links'
    cut_one_way = 'cut_one_way'
    delay_links = 'delay_links'
    lose_answers = 'lose_answers'
    tear_streams = 'tear_streams'
    stay_mute = 'stay_mute'
    refuse = 'refuse'


class MaintenanceKind(enum.Enum):
    """Planned work of operators."""

    stop = 'stop'
    reload = 'reload'
    change_document = 'change_document'
    revoke_key = 'revoke_key'
    drain_target = 'drain_target'


@frozen
class PlannedEvent:
    """One thing that happens.

    :ivar at_s: seconds from the start of traffic.
    :ivar draw: number from 0 to 1 that chooses where.
    """

    at_s: float
    duration_s: float
    kind: FaultKind | MaintenanceKind
    selector: float


def generate_plan(seed: int, seconds: float) -> list[PlannedEvent]:
    """Return what happens in a soak, in its order."""
    generator = np.random.default_rng(seed)
    entries: list[PlannedEvent] = []
    at_s = WARM_UP_S
    while at_s < seconds:
        category: type[FaultKind] | type[MaintenanceKind] = (
            MaintenanceKind
            if generator.uniform() < MAINTENANCE_SHARE
            else FaultKind
        )
        choices: list[FaultKind | MaintenanceKind] = list(category)
        kind = choices[int(generator.integers(len(choices)))]
        duration_s = float(generator.uniform(*DURATIONS_S))
        entries.append(
            PlannedEvent(at_s, duration_s, kind, float(generator.uniform()))
        )
        at_s += float(generator.uniform(*EVENT_INTERVALS_S))
        if len(entries) % EVENTS_PER_ROUND == 0:
            at_s += ROUND_PAUSE_S
    return entries
