"""Estimates, and the features of a call that they depend on."""

import math

from attrs import frozen

# One call in ten is beyond the mean by more than this many standard deviations.
UPPER_DEVIATIONS = 1.2816


@frozen
class Estimate:
    """Estimate of a quantity that varies from call to call.

    :ivar mean: expected value, for load balancing.
    :ivar upper: value that about one call in ten exceeds, for memory and
        admission.
    :ivar samples: decayed number of samples behind it; zero if it is a hint
        or a published value.
    """

    mean: float
    upper: float
    samples: float

    def limit(self, lowest: float, highest: float) -> 'Estimate':
        """Return the estimate with both values within a range."""
        return Estimate(
            min(max(self.mean, lowest), highest),
            min(max(self.upper, lowest), highest),
            self.samples,
        )


@frozen
class CallFeatures:
    """What is known of a call before it runs.

    :ivar route: name of its route.
    :ivar organisation: name of the caller's organisation, or empty.
    :ivar prompt_tokens: length of the prompt, zero for a plain call.
    :ivar hinted_tokens: the caller's estimate of the generated tokens.
    :ivar maximum_tokens: limit on the generated tokens.
    """

    route: str
    organisation: str
    prompt_tokens: int = 0
    hinted_tokens: int = 0
    maximum_tokens: int = 0


def make_estimate(log_mean: float, variance: float, samples: float) -> Estimate:
    """Return the estimate of a quantity with a log-normal distribution.

    :param log_mean: mean of its logarithm.
    :param variance: variance of its logarithm.
    """
    mean = math.exp(log_mean + variance / 2)
    upper = math.exp(log_mean + UPPER_DEVIATIONS * math.sqrt(variance))
    return Estimate(mean, max(mean, upper), samples)
