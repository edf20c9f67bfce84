"""Target selection by estimated time to first token.

The number of targets that are scored for a call is bounded, so that the cost
of a decision does not grow with the size of the pool.
"""

import itertools
from collections.abc import Iterable, Sequence

from attrs import define, frozen

from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.routing.estimates import Estimator
from trefoilhinge.routing.pools import ServicePool
from trefoilhinge.routing.prefixes import PrefixIndex
from trefoilhinge.routing.states import TargetState

# Pools up to this size are scored in full; larger ones are sampled.
FULL_SCAN_POOL_SIZE = 26
SAMPLE_SIZE = 12
# Holders of the longest cached prefix that are scored besides the sample.
MAXIMUM_SAMPLED_HOLDERS = 4
# Estimates within these margins count as equal: the lag of the load reports
# behind them causes larger errors.
TIE_MARGIN_S = 0.004
TIE_MARGIN_RATIO = 0.02
# Queue wait from which a long call may use a reserved target when the
# document sets ``long_weight`` to 0; a larger weight lowers it in proportion.
MAXIMUM_SPILL_THRESHOLD_S = 12.0
# Longest queue wait of a reserved target that still takes a long call.
MAXIMUM_SPILL_QUEUE_S = 0.5
# 64-bit linear congruential generator with the multiplier and increment of
# Knuth's MMIX.
_LCG_MULTIPLIER = 6364136223846793005
_LCG_INCREMENT = 1442695040888963407
_LCG_MASK = (1 << 64) - 1


@frozen
class Selection:
    """Selected target.

    :ivar state: state of the target.
    :ivar estimated_ttft_s: estimated time to first token, in seconds.
    """

    state: TargetState
    estimated_ttft_s: float


@define
class TargetSelector:
    """Samples targets and selects at random among those near the best score.

    :ivar random_state: state of the linear congruential generator, initially
        derived from the seed.
    """

    random_state: int

    def select(
        self,
        pool: ServicePool,
        prefixes: PrefixIndex,
        profile: CallProfile,
        urgent: bool,
        avoid: frozenset[TargetName],
        now_s: float,
    ) -> Selection | None:
        """Select a target for a call.

        :param urgent: whether the call takes precedence over others at the
            engine.
        :param avoid: targets to use only if no other target is available.
        :param now_s: monotonic seconds.
        :return: selected target, ``None`` if no usable target has capacity.
        """
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
        if (
            best is not None
            and best.state.estimate_queue_wait_s(now_s) < spill_s
        ):
            return best
        lightly_loaded = _list_lightly_loaded(pool, now_s)
        spilled = self._select_best(pool, estimator, lightly_loaded, avoid)
        if best is None or (
            spilled and spilled.estimated_ttft_s < best.estimated_ttft_s
        ):
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
                state
                for state in known
                if state is not None and not state.reserved
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
        usable = [state for state in candidates if state.running < limit]
        if avoid:
            others = [state for state in usable if state.view.name not in avoid]
            usable = others or usable
        if not usable:
            return None
        scores_s = [estimator.score(state) for state in usable]
        best_s = min(scores_s)
        bound_s = best_s * (1 + TIE_MARGIN_RATIO) + TIE_MARGIN_S
        tied = [
            index for index, score in enumerate(scores_s) if score <= bound_s
        ]
        index = tied[self._draw_index(len(tied))]
        # A second draw favours targets of the same failure domain.
        if len(tied) > 1 and not usable[index].local:
            index = tied[self._draw_index(len(tied))]
        selected = usable[index]
        return Selection(selected, estimator.estimate(selected))

    def _draw_index(self, bound: int) -> int:
        self.random_state = (
            self.random_state * _LCG_MULTIPLIER + _LCG_INCREMENT
        ) & _LCG_MASK
        return (self.random_state >> 33) % bound


def _list_lightly_loaded(pool: ServicePool, now_s: float) -> list[TargetState]:
    """Return reserved targets whose queue is short enough for a long call.

    No more than ``SAMPLE_SIZE`` targets are considered.
    """
    considered = pool.reserved[:SAMPLE_SIZE]
    return [
        state
        for state in considered
        if state.estimate_queue_wait_s(now_s) <= MAXIMUM_SPILL_QUEUE_S
    ]
