"""Interval of the reports of runs that go on."""

# Each instance takes a report from each other one. Decoding and applying one
# takes about 0.1 ms of processor time.
MAXIMUM_REPORTS_PER_S = 20
MINIMUM_REPORT_INTERVAL_S = 1.0
# A run whose end was lost takes a slot from all decisions for this long.
MAXIMUM_REPORT_INTERVAL_S = 5.0


def compute_report_interval_s(instances: int) -> float:
    """Return seconds between two reports of one instance."""
    return min(
        MAXIMUM_REPORT_INTERVAL_S,
        max(MINIMUM_REPORT_INTERVAL_S, instances / MAXIMUM_REPORTS_PER_S),
    )
