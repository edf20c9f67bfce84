"""Remaining duration of work that has been running for some time."""

import math

MINIMUM_SHARE = 1e-9  # of work that is expected to run longer


def estimate_remaining(median: float, deviation: float, done: float) -> float:
    """Return the expected remainder of a log-normal quantity.

    :param deviation: standard deviation of its logarithm.
    :param done: what is done already, in the unit of ``median``.
    """
    if done <= 0:
        return median * math.exp(deviation * deviation / 2)
    if deviation <= 0:
        return max(0, median - done)
    beyond = math.log(median / done) / deviation
    share = _compute_share(beyond)
    if share < MINIMUM_SHARE:
        # Far beyond the usual, the remainder is about this part of it.
        return done * deviation / max(1, -beyond)
    mean = median * math.exp(deviation * deviation / 2)
    return max(0, mean * _compute_share(beyond + deviation) / share - done)


def estimate_remaining_of_mean(
    mean: float, deviation: float, done: float
) -> float:
    """Return the expected remainder of a quantity whose mean is known."""
    median = mean * math.exp(-deviation * deviation / 2)
    return estimate_remaining(max(median, MINIMUM_SHARE), deviation, done)


def _compute_share(deviations: float) -> float:
    """Return the share of a normal distribution below so many deviations."""
    return math.erfc(-deviations / math.sqrt(2)) / 2
