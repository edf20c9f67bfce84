"""Durations of the cold phase, as targets and their entries state them."""

MAXIMUM_COLD_S = 600.0  # a longer one is taken for an error of its writer
MS_PER_S = 1000


def parse_cold_s(milliseconds: object) -> float | None:
    """Return seconds for which a target stays cold.

    :param milliseconds: a number, or the bytes of a header.
    :return: at most ``MAXIMUM_COLD_S``; none for what is no duration.
    """
    if isinstance(milliseconds, bytes) and milliseconds.strip().isdigit():
        milliseconds = int(milliseconds[:12])
    if isinstance(milliseconds, bool) or not isinstance(
        milliseconds, int | float
    ):
        return None
    return min(max(0, milliseconds / MS_PER_S), MAXIMUM_COLD_S)
