"""Patience of callers: when they abandon a stream."""

MINIMUM_PATIENCE_S = 2.0
PATIENCE_SLO_FACTOR = 4  # times the objective for the first event
PATIENCE_GAP_FACTOR = 8  # times the objective for the gaps


def compute_patience_s(slo_s: float, gap_slo_s: float) -> float:
    """Return the silence after which callers abandon a stream, in seconds.

    It holds before the first event and between two events.

    :param slo_s: objective for the first event, seconds; zero if it is not
        known, which gives the least patience.
    :param gap_slo_s: objective for the gaps, seconds.
    """
    return max(
        MINIMUM_PATIENCE_S,
        PATIENCE_SLO_FACTOR * slo_s,
        PATIENCE_GAP_FACTOR * gap_slo_s,
    )
