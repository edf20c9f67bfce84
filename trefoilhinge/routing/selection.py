"""Chooses among targets by estimates, with a bounded number of looks."""

import itertools
from collections.abc import Iterable, Sequence

from attrs import define, frozen

from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.routing.estimates import Estimator
from trefoilhinge.routing.pools import ServicePool
from trefoilhinge.routing.prefixes import PrefixIndex
from trefoilhinge.routing.states import TargetState

# A pool this small is looked at whole, and a larger one by sampling.
FULL_SCAN_POOL_SIZE = 26
SAMPLE_SIZE = 12
MAXIMUM_SAMPLED_HOLDERS = 4
# Estimates this close are equal: the reports behind them lag by more.
TIE_MARGIN_S = 0.004
TIE_MARGIN_RATIO = 0.02
# Wait for a long call beyond which it may use a reserved target, for a
# document that gives long prompts no weight.
MAXIMUM_SPILL_THRESHOLD_S = 12.0
MAXIMUM_SPILL_QUEUE_S = 0.5
_LCG_MULTIPLIER = 6364136223846793005
_LCG_INCREMENT = 1442695040888963407
_LCG_MASK = (1 << 64) - 1


@frozen
class Selection:
    """A target and the seconds to the first token expected there."""

    state: TargetState
    seconds: float


@define
class TargetSelector:
    """Draws targets to look at and picks one that is nearly the best.

    :ivar state: state of a linear congruential generator, from the seed.
    """

    state: int

    def select(
        self,
        pool: ServicePool,
        prefixes: PrefixIndex,
        profile: CallProfile,
        urgent: bool,
        avoid: frozenset[TargetName],
        now_s: float,
    ) -> Selection | None:
        """Return the target of a call, none if all are full or left."""
        longest_match, holders = prefixes.find_longest_match(
            profile.prefix_digests
        )
        estimator = Estimator(
            prefixes,
            profile,
            urgent,
            pool.preferred_target,
            longest_match,
            now_s,
        )
        candidates = self._list_candidates(pool, urgent, holders)
        best = self._select_best(pool, estimator, candidates, avoid)
        if urgent or not pool.reserved:
            return best
        spill_s = MAXIMUM_SPILL_THRESHOLD_S * (1 - pool.long_weight)
        if best is not None and best.state.estimate_wait_s(now_s) < spill_s:
            return best
        unloaded = _list_lightly_loaded(pool, now_s)
        spilled = self._select_best(pool, estimator, unloaded, avoid)
        if best is None or (spilled and spilled.seconds < best.seconds):
            return spilled
        return best

    def _list_candidates(
        self,
        pool: ServicePool,
        urgent: bool,
        holders: Iterable[TargetName],
    ) -> Sequence[TargetState]:
        regular = pool.regular
        drawn = list(self._sample(regular, SAMPLE_SIZE))
        if len(drawn) < len(regular):
            names = itertools.islice(holders, MAXIMUM_SAMPLED_HOLDERS)
            known = (pool.states.get(name) for name in names)
            drawn.extend(
                one for one in known if one is not None and not one.reserved
            )
        if urgent:
            drawn.extend(self._sample(pool.reserved, SAMPLE_SIZE))
        return drawn

    def _sample(
        self,
        targets: Sequence[TargetState],
        count: int,
    ) -> Sequence[TargetState]:
        if len(targets) <= FULL_SCAN_POOL_SIZE:
            return targets
        return [targets[self._draw_index(len(targets))] for _ in range(count)]

    def _select_best(
        self,
        pool: ServicePool,
        estimator: Estimator,
        candidates: Sequence[TargetState],
        avoid: frozenset[TargetName],
    ) -> Selection | None:
        limit = pool.service.maximum_running
        usable = [one for one in candidates if one.running < limit]
        if avoid:
            others = [one for one in usable if one.view.name not in avoid]
            usable = others or usable
        if not usable:
            return None
        seconds = [estimator.score(one) for one in usable]
        least = min(seconds)
        bound = least * (1 + TIE_MARGIN_RATIO) + TIE_MARGIN_S
        near = [place for place, one in enumerate(seconds) if one <= bound]
        place = near[self._draw_index(len(near))]
        if len(near) > 1 and not usable[place].local:
            place = near[self._draw_index(len(near))]
        chosen = usable[place]
        return Selection(chosen, estimator.estimate(chosen))

    def _draw_index(self, bound: int) -> int:
        self.state = (self.state * _LCG_MULTIPLIER + _LCG_INCREMENT) & _LCG_MASK
        return (self.state >> 33) % bound


def _list_lightly_loaded(pool: ServicePool, now_s: float) -> list[TargetState]:
    """Return reserved targets without a long prompt in their queue."""
    few = pool.reserved[:SAMPLE_SIZE]
    return [
        one
        for one in few
        if one.estimate_wait_s(now_s) <= MAXIMUM_SPILL_QUEUE_S
    ]
