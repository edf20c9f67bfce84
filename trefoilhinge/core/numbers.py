"""Numbers in text from outside."""

MAXIMUM_DIGITS = 18  # of a number that a signed integer of 64 bits holds


def parse_count(text: str) -> int | None:
    """Parse a decimal number without a sign.

    :return: none for what is no such number, or has more than
        ``MAXIMUM_DIGITS`` digits. ``int`` also reads digits of other scripts,
        and raises ``ValueError`` for some and for very long numbers.
    """
    is_short = len(text) <= MAXIMUM_DIGITS
    if not is_short or not text.isascii() or not text.isdecimal():
        return None
    return int(text)
