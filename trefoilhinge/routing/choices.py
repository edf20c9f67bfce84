"""Chooses among targets by estimates, with a bounded number of looks."""

import itertools
from collections.abc import Iterable, Sequence

from attrs import define, frozen

from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.routing.estimates import Estimator
from trefoilhinge.routing.pools import ServicePool
from trefoilhinge.routing.prefixes import PrefixGuesses
from trefoilhinge.routing.states import TargetState

# A pool this small is looked at whole, and a larger one by sampling.
SMALL_POOL = 26
MAXIMUM_LOOKS = 12
MAXIMUM_HOLDERS = 4
# Estimates this close are equal: the reports behind them lag by more.
NEAR_S = 0.004
NEAR_SHARE = 0.02
# Wait for a long call beyond which it may use a reserved target, for a
# document that gives long prompts no weight.
LONGEST_SPILL_WAIT_S = 12.0
SHORT_QUEUE_S = 0.5
_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_MASK = (1 << 64) - 1


@frozen
class Choice:
    """A target and the seconds to the first token expected there."""

    state: TargetState
    seconds: float


@define
class Chooser:
    """Draws targets to look at and picks one that is nearly the best.

    :ivar state: state of a linear congruential generator, from the seed.
    """

    state: int

    def choose(
        self,
        pool: ServicePool,
        prefixes: PrefixGuesses,
        profile: CallProfile,
        urgent: bool,
        avoid: frozenset[TargetName],
        now_s: float,
    ) -> Choice | None:
        """Return the target of a call, none if all are full or left."""
        deepest, holders = prefixes.find_deepest(profile.prefix_digests)
        estimator = Estimator(
            prefixes,
            profile,
            urgent,
            pool.home,
            deepest,
            now_s,
        )
        candidates = self._list_candidates(pool, urgent, holders)
        best = self._pick(pool, estimator, candidates, avoid)
        if urgent or not pool.reserved:
            return best
        spill_s = LONGEST_SPILL_WAIT_S * (1 - pool.long_weight)
        if best is not None and best.state.find_wait_s(now_s) < spill_s:
            return best
        unloaded = _list_unloaded(pool, now_s)
        spilled = self._pick(pool, estimator, unloaded, avoid)
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
        drawn = list(self._draw(regular, MAXIMUM_LOOKS))
        if len(drawn) < len(regular):
            names = itertools.islice(holders, MAXIMUM_HOLDERS)
            known = (pool.states.get(name) for name in names)
            drawn.extend(
                one for one in known if one is not None and not one.reserved
            )
        if urgent:
            drawn.extend(self._draw(pool.reserved, MAXIMUM_LOOKS))
        return drawn

    def _draw(
        self,
        targets: Sequence[TargetState],
        count: int,
    ) -> Sequence[TargetState]:
        if len(targets) <= SMALL_POOL:
            return targets
        return [targets[self._next(len(targets))] for _ in range(count)]

    def _pick(
        self,
        pool: ServicePool,
        estimator: Estimator,
        candidates: Sequence[TargetState],
        avoid: frozenset[TargetName],
    ) -> Choice | None:
        limit = pool.service.maximum_running
        usable = [one for one in candidates if one.running < limit]
        if avoid:
            others = [one for one in usable if one.view.name not in avoid]
            usable = others or usable
        if not usable:
            return None
        seconds = [estimator.weigh(one) for one in usable]
        least = min(seconds)
        bound = least * (1 + NEAR_SHARE) + NEAR_S
        near = [place for place, one in enumerate(seconds) if one <= bound]
        place = near[self._next(len(near))]
        if len(near) > 1 and not usable[place].local:
            place = near[self._next(len(near))]
        chosen = usable[place]
        return Choice(chosen, estimator.estimate(chosen))

    def _next(self, bound: int) -> int:
        self.state = (self.state * _MULTIPLIER + _INCREMENT) & _MASK
        return (self.state >> 33) % bound


def _list_unloaded(pool: ServicePool, now_s: float) -> list[TargetState]:
    """Return reserved targets without a long prompt in their queue."""
    few = pool.reserved[:MAXIMUM_LOOKS]
    return [one for one in few if one.find_wait_s(now_s) <= SHORT_QUEUE_S]
