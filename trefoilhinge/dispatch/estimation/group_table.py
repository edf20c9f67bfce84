"""Statistics of all groups of calls, bounded in number."""

import functools
from collections.abc import Sequence

import xxhash
from attrs import define, field, frozen

from trefoilhinge.dispatch.estimation.log_statistics import (
    MINIMUM_WEIGHT,
    Distribution,
    LogStatistic,
    combine,
)

MAXIMUM_GROUPS = 1_000  # about 0.3 MB
EVICTED_SHARE = 8  # one in so many groups is evicted when the table is full
# Samples that all summaries of peers together count as in a group: what this
# instance sees itself soon prevails over them.
SUMMARY_WEIGHT = 3.0
MAXIMUM_LOGARITHM = 20.0  # of a quantity that a summary may state
MAXIMUM_SUMMARY_GROUPS = 45  # fits one datagram

GroupKey = int


@frozen
class GroupSummary:
    """Samples of one group, as one instance tells another."""

    key: GroupKey
    distribution: Distribution


@functools.lru_cache(maxsize=MAXIMUM_GROUPS)
def make_key(*names: object) -> GroupKey:
    """Return the key of a group, which is the same at all instances."""
    text = '\n'.join(str(name) for name in names)
    return int(xxhash.xxh64_intdigest(text.encode()))


@define
class GroupTable:
    """Statistics by group.

    :ivar now_s: monotonic seconds to which the weights are decayed.
    """

    now_s: float = float('-inf')
    _groups: dict[GroupKey, LogStatistic] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of groups."""
        return len(self._groups)

    def estimate(
        self, prior: Distribution, keys: Sequence[GroupKey]
    ) -> Distribution:
        """Return the distribution of calls that are in all given groups.

        :param keys: groups from the widest to the smallest.
        """
        found = (self._groups.get(key) for key in keys)
        return combine(prior, found, self.now_s)

    def record(
        self, prior: Distribution, keys: Sequence[GroupKey], logarithm: float
    ) -> None:
        """Add a sample to each of its groups."""
        clipped = self.estimate(prior, keys).clip(logarithm)
        for key in keys:
            self._get(key).add(clipped, self.now_s)

    def summarise(self) -> tuple[GroupSummary, ...]:
        """Return the groups with the most samples, these first."""
        weights = [
            (group.decay_weight(self.now_s), key)
            for key, group in self._groups.items()
        ]
        weights.sort(reverse=True)
        return tuple(
            GroupSummary(
                key,
                Distribution(
                    self._groups[key].mean, self._groups[key].variance, weight
                ),
            )
            for weight, key in weights[:MAXIMUM_SUMMARY_GROUPS]
            if weight >= MINIMUM_WEIGHT
        )

    def merge(self, summaries: Sequence[GroupSummary]) -> None:
        """Add what another instance knows where little is known here."""
        for summary in summaries[:MAXIMUM_SUMMARY_GROUPS]:
            known = self._groups.get(summary.key)
            weight = 0 if known is None else known.decay_weight(self.now_s)
            told = summary.distribution
            added = min(told.samples, SUMMARY_WEIGHT - weight)
            if added > MINIMUM_WEIGHT and abs(told.mean) <= MAXIMUM_LOGARITHM:
                self._get(summary.key).merge(
                    Distribution(told.mean, told.variance, added), self.now_s
                )

    def _get(self, key: GroupKey) -> LogStatistic:
        group = self._groups.get(key)
        if group is None:
            if len(self._groups) >= MAXIMUM_GROUPS:
                self._evict()
            group = LogStatistic(updated_s=self.now_s)
            self._groups[key] = group
        return group

    def _evict(self) -> None:
        """Remove the groups that had no samples for the longest time."""
        oldest = sorted(
            self._groups, key=lambda key: self._groups[key].updated_s
        )
        for key in oldest[: MAXIMUM_GROUPS // EVICTED_SHARE]:
            self._groups.pop(key)
