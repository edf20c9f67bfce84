"""Checks of numbers in messages between instances."""

# Longest duration that a message may state, and the largest factor.
MAXIMUM_DURATION_S = 3_600.0


def check_range(number: float) -> float:
    """Return a duration or a factor if it is within bounds.

    :raises ValueError: it is negative, above ``MAXIMUM_DURATION_S`` or not a
        number.
    """
    if not 0 <= number <= MAXIMUM_DURATION_S:
        raise ValueError(
            f'duration or factor {number} is not within 0 to'
            f' {MAXIMUM_DURATION_S}'
        )
    return number
