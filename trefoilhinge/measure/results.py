"""Figures of one policy under one load."""

from attrs import field, frozen
from hdrh.histogram import HdrHistogram

HISTOGRAM_SCALE = 1_000_000
MAXIMUM_UNITS = 3_600 * HISTOGRAM_SCALE
SIGNIFICANT_DIGITS = 3


class Distribution:
    """Counts values in a histogram of bounded relative error."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(1, MAXIMUM_UNITS, SIGNIFICANT_DIGITS)

    def add(self, value: float, count: int = 1) -> None:
        """Count a value, in seconds or as a ratio."""
        units = max(1, min(MAXIMUM_UNITS, round(value * HISTOGRAM_SCALE)))
        self._histogram.record_value(units, count)

    def find_percentile(self, percent: float) -> float | None:
        """Return a percentile, none if nothing was counted."""
        if not self._histogram.get_total_count():
            return None
        units = self._histogram.get_value_at_percentile(percent)
        return float(units) / HISTOGRAM_SCALE


@frozen
class Percentiles:
    """Three percentiles of one distribution, in its unit."""

    p50: float | None
    p95: float | None
    p99: float | None


def summarise(distribution: Distribution) -> Percentiles:
    """Return the percentiles that a report shows."""
    return Percentiles(
        distribution.find_percentile(50),
        distribution.find_percentile(95),
        distribution.find_percentile(99),
    )


@frozen
class CellResult:
    """What one policy did under one load.

    :ivar load: offered work as a share of capacity.
    :ivar short_slowdown_p50: time to first token of short prompts beside
        others, over that of the same requests without others.
    :ivar long_ttft_p95_s: of prompts over the document's ``long_tokens``.
    :ivar ttft_s: percentiles by decade of prompt tokens.
    :ivar goodput_tokens_per_s: tokens of requests answered whole, in time and
        within the load.
    :ivar cache_hit_share_of_ideal: prompt tokens found in caches, over those
        that perfect knowledge of every cache would have found.
    :ivar refused: refusals by verdict.
    :ivar admitted_late: admitted requests that did not end in their time.
    :ivar ran_twice: non-idempotent requests that ran more than once.
    :ivar limit_overshoot: most that an organisation was admitted beyond its
        rate and burst over the load, as a share of them.
    :ivar inter_token_p95_s: gaps between tokens of one stream.
    :ivar wasted_tokens: prompt tokens worked on for answers not given whole.
    :ivar deadline_misses: requests refused because their time had passed.
    :ivar unanswered: requests whose instance died.
    :ivar requests: requests offered.
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
    """Every cell of one run of the command.

    :ivar default_policy: policy that instances run by default.
    """

    default_policy: str
    results: tuple[CellResult, ...] = field(default=())
