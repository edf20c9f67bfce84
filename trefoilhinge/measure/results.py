"""Metrics of one policy under one load."""

from attrs import field, frozen
from hdrh.histogram import HdrHistogram

HISTOGRAM_SCALE = 1_000_000  # values are recorded in millionths
MAXIMUM_UNITS = 3_600 * HISTOGRAM_SCALE
SIGNIFICANT_DIGITS = 3


class Distribution:
    """Histogram with bounded relative error."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(1, MAXIMUM_UNITS, SIGNIFICANT_DIGITS)

    def add(self, value: float, count: int = 1) -> None:
        """Record a value in seconds, or a ratio."""
        units = max(1, min(MAXIMUM_UNITS, round(value * HISTOGRAM_SCALE)))
        self._histogram.record_value(units, count)

    def find_percentile(self, percent: float) -> float | None:
        """Return a percentile; none if no value was recorded."""
        if not self._histogram.get_total_count():
            return None
        units = self._histogram.get_value_at_percentile(percent)
        return float(units) / HISTOGRAM_SCALE


@frozen
class Percentiles:
    """Percentiles of one distribution, in its unit."""

    p50: float | None
    p95: float | None
    p99: float | None


def summarise(distribution: Distribution) -> Percentiles:
    """Return the percentiles that are reported."""
    return Percentiles(
        distribution.find_percentile(50),
        distribution.find_percentile(95),
        distribution.find_percentile(99),
    )


@frozen
class CellResult:
    """Metrics of one policy under one load.

    :ivar load: offered load as a share of capacity.
    :ivar short_slowdown_p50: time to first token of short prompts in the full
        workload, divided by that of the same requests without the others.
    :ivar short_slowdown_p95: 95th percentile of the same ratio.
    :ivar long_ttft_p95_s: time to first token of prompts longer than the
        document's ``long_tokens``, seconds.
    :ivar ttft_s: percentiles of the time to first token, by decade of prompt
        tokens.
    :ivar goodput_tokens_per_s: tokens of requests that were answered
        completely, in time and before the load ended.
    :ivar cache_hit_share_of_ideal: prompt tokens found in prefix caches,
        divided by those that a policy with complete knowledge of every cache
        would have found.
    :ivar refused: number of refusals by verdict.
    :ivar admitted_late: admitted requests that did not end by their deadline.
    :ivar ran_twice: non-idempotent requests that ran more than once.
    :ivar limit_overshoot: maximum over the organisations of the tokens
        admitted beyond rate and burst, as a share of that allowance.
    :ivar inter_token_p95_s: gap between tokens of one stream, seconds.
    :ivar wasted_tokens: prompt tokens processed for incomplete answers.
    :ivar deadline_misses: requests refused because their deadline had passed.
    :ivar unanswered: requests whose instance failed or that found no ready
        instance.
    :ivar requests: number of requests sent.
    """

    policy: str
    load: float
    short_slowdown_p50: float | None
    short_slowdown_p95: float | None
    long_ttft_p95_s: float | None
    ttft_s: dict[str, Percentiles]
    goodput_tokens_per_s: float
    cache_hit_share_of_ideal: float | None
    refused: dict[str, int]
    admitted_late: int
    ran_twice: int
    limit_overshoot: float
    inter_token_p95_s: float | None = None
    wasted_tokens: int = 0
    deadline_misses: int = 0
    unanswered: int = 0
    requests: int = 0


@frozen
class Measurement:
    """Results of one run of the command.

    :ivar default_policy: policy that instances run by default.
    :ivar results: one result for each policy and load.
    """

    default_policy: str
    results: tuple[CellResult, ...] = field(default=())
