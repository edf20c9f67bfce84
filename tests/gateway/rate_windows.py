"""Count of the requests that a limited target gets in any window."""

STABLE_S = 3.0  # from the first naming until the limit has to hold
WINDOW_S = 4.0


def count_most(times_s, begin_s=float('-inf')):
    """Return the most times within a window that begins after a time."""
    counted = [at_s for at_s in times_s if at_s >= begin_s]
    return max(
        (
            sum(at_s <= other_s < at_s + WINDOW_S for other_s in counted)
            for at_s in counted
        ),
        default=0,
    )


def compute_allowed(rate):
    """Return the most requests that a limited target may get in a window."""
    return 1.5 * rate * WINDOW_S + 5
