"""The faults and planned work of one soak, drawn from its seed."""

import enum

import numpy as np
from attrs import frozen

FIRST_S = 3.0  # of calm, so that all instances are ready
PAUSES_S = (0.3, 1.8)  # between two entries; their ends may overlap
LASTS_S = (0.5, 3.0)
CALM_EACH = 6  # entries, after which there is time for bounds to hold
CALM_S = 7.0
PLANNED_SHARE = 0.4  # of the entries


class Trouble(enum.Enum):
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


class Work(enum.Enum):
    """Planned work of operators."""

    stop = 'stop'
    reload = 'reload'
    change_document = 'change_document'
    revoke_key = 'revoke_key'
    drain_target = 'drain_target'


@frozen
class Entry:
    """One thing that happens.

    :ivar at_s: seconds from the start of traffic.
    :ivar draw: number from 0 to 1 that chooses where.
    """

    at_s: float
    lasts_s: float
    what: Trouble | Work
    draw: float


def draw_plan(seed: int, seconds: float) -> list[Entry]:
    """Return what happens in a soak, in its order."""
    random = np.random.default_rng(seed)
    entries: list[Entry] = []
    at_s = FIRST_S
    while at_s < seconds:
        kind: type[Trouble] | type[Work] = (
            Work if random.uniform() < PLANNED_SHARE else Trouble
        )
        choices: list[Trouble | Work] = list(kind)
        what = choices[int(random.integers(len(choices)))]
        lasts_s = float(random.uniform(*LASTS_S))
        entries.append(Entry(at_s, lasts_s, what, float(random.uniform())))
        at_s += float(random.uniform(*PAUSES_S))
        if len(entries) % CALM_EACH == 0:
            at_s += CALM_S
    return entries
