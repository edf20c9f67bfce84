"""Choice among nearly equal targets while starts elsewhere are not known yet.

Instances that see the same load choose the same target for a short call. Each
learns of the others' choices only when their announcements arrive, so that at
a high rate several calls take the same last slots. A call then waits for a slot
while other targets have room.
"""

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from attrs import frozen

# Seconds until other instances know of a start, besides the distance: it is
# relayed within a failure domain, and an instance with half a core may be
# placing other calls. With 0.04 s, replays had more late gaps beside groups.
ANNOUNCEMENT_DELAY_S = 0.02
# With 2, calls collided as seldom, but streams had more gaps beside groups.
TARGETS_PER_UNSEEN_START = 3
# At most this share of the targets; more of them would take the room that long
# prompts find where short streams are gathered on a few.
MAXIMUM_TARGET_SHARE = 1 / 3
# Costs that differ by less are nearly equal, in units of a short call's weight.
EQUAL_COST = 0.03
# Share of a call's weight that is lost if starts elsewhere take all free slots:
# some are late, others find a slot that is freed in time. With the full loss of
# a late call, streams spread so far that groups delay more of them.
OVERFLOW_LOSS_SHARE = 0.25
_HASH_VALUES = 2**32
# Odd, near the golden ratio of 2**32: spreads hashes of any interval evenly.
_HASH_FACTOR = 2_654_435_769


class Rated(Protocol):
    """A placement with its cost."""

    @property
    def cost(self) -> float:
        """Return the expected loss, in units of a short call's weight."""
        ...


RatedT = TypeVar('RatedT', bound=Rated)


@frozen
class UnseenStarts:
    """Starts of short calls that this instance does not know of yet.

    :ivar count: expected number, at all targets together.
    :ivar choices: number of targets among which short calls are spread.
    :ivar position: of this call among those that are placed at the same time,
        at least 0 and below 1.
    """

    count: float
    choices: int
    position: float


def estimate_unseen_starts(
    calls_per_s: float, delay_s: float, targets: int, request_hash: int
) -> UnseenStarts:
    """Return the starts that are not known yet when a call is placed.

    :param calls_per_s: rate of the starts of short calls at all instances.
    :param delay_s: largest published one-way delay between failure domains.
    :param targets: number of targets that the call may be placed on.
    :param request_hash: 32-bit hash of the call. A part of its values may have
        been used to choose the service, so that it is hashed again.
    """
    count = calls_per_s * (ANNOUNCEMENT_DELAY_S + delay_s)
    wanted = 1 + math.ceil(TARGETS_PER_UNSEEN_START * count)
    return UnseenStarts(
        count,
        max(1, min(wanted, int(targets * MAXIMUM_TARGET_SHARE))),
        request_hash * _HASH_FACTOR % _HASH_VALUES / _HASH_VALUES,
    )


def estimate_overflow_share(unseen: UnseenStarts, free_slots: int) -> float:
    """Return the probability that unseen starts have taken all free slots.

    They are spread over the choices, so that their number at one target has a
    Poisson distribution.
    """
    mean = unseen.count / unseen.choices
    share = math.exp(-mean)
    fewer = 0.0  # noqa: WPS358
    for count in range(free_slots):
        fewer += share
        share *= mean / (count + 1)
    return max(0, 1 - fewer)


def choose_among_equal(
    placements: Sequence[RatedT], unseen: UnseenStarts
) -> RatedT:
    """Return one of the cheapest placements that are nearly equal.

    :param placements: one for each target, at least one.
    """
    ordered = sorted(placements, key=lambda placement: placement.cost)
    limit = ordered[0].cost + EQUAL_COST
    equal = [one for one in ordered[: unseen.choices] if one.cost <= limit]
    return equal[int(unseen.position * len(equal))]
