"""Statistics of the logarithm of a quantity, whose samples lose weight."""

import math
from collections.abc import Iterable

from attrs import define, frozen

HALF_LIFE_S = 10.0  # of the weight of a sample
# Number of samples that the estimate of a wider group of calls counts as.
PRIOR_WEIGHT = 6.0
# Largest deviation of a sample from the estimate, as a logarithm: a wrong or
# forged sample must not move the estimate by an arbitrary factor.
MAXIMUM_DEVIATION = math.log(5)
MAXIMUM_VARIANCE = 1.5 * 1.5  # calls of one group differ less in practice
MINIMUM_WEIGHT = 0.02  # a group with less is treated as unknown


@frozen
class Distribution:
    """Estimated distribution of a logarithm.

    :ivar samples: decayed number of samples in the smallest known group.
    """

    mean: float
    variance: float
    samples: float = 0

    def clip(self, logarithm: float) -> float:
        """Return a sample with its deviation bounded."""
        deviation = logarithm - self.mean
        return self.mean + min(
            MAXIMUM_DEVIATION, max(-MAXIMUM_DEVIATION, deviation)
        )


@define
class LogStatistic:
    """Weighted mean and variance of the samples of one group.

    :ivar weight: decayed number of samples at ``updated_s``.
    :ivar updated_s: monotonic seconds of the last sample.
    """

    mean: float = 0
    variance: float = 0
    weight: float = 0
    updated_s: float = 0

    def decay_weight(self, now_s: float) -> float:
        """Return the decayed number of samples."""
        age_s = max(0, now_s - self.updated_s)
        return self.weight * 2 ** (-age_s / HALF_LIFE_S)

    def add(self, logarithm: float, now_s: float) -> None:
        """Add one sample."""
        self.merge(Distribution(logarithm, 0, 1), now_s)

    def merge(self, other: Distribution, now_s: float) -> None:
        """Add several samples, of which mean and variance are known."""
        weight = self.decay_weight(now_s)
        total = weight + other.samples
        share = other.samples / total
        deviation = other.mean - self.mean if weight else 0
        if not weight:
            self.mean = other.mean
        self.mean += share * deviation
        self.variance = min(
            MAXIMUM_VARIANCE,
            (1 - share) * self.variance
            + share * other.variance
            + share * (1 - share) * deviation * deviation,
        )
        self.weight = total
        self.updated_s = now_s


def combine(
    prior: Distribution, groups: Iterable[LogStatistic | None], now_s: float
) -> Distribution:
    """Return the distribution of a call that belongs to several groups.

    Each group refines the estimate of the wider one before it, the more, the
    more samples it has.

    :param groups: statistics from the widest group to the smallest; none for
        a group without samples.
    """
    mean, variance, samples = prior.mean, prior.variance, prior.samples
    for group in groups:
        weight = 0 if group is None else group.decay_weight(now_s)
        if group is None or weight < MINIMUM_WEIGHT:
            continue
        share = weight / (weight + PRIOR_WEIGHT)
        deviation = group.mean - mean
        mean += share * deviation
        variance = (
            (1 - share) * variance
            + share * group.variance
            + share * (1 - share) * deviation * deviation
        )
        samples = weight
    return Distribution(mean, min(variance, MAXIMUM_VARIANCE), samples)
