"""Rests that targets asked this instance for."""

import re
from email.utils import parsedate_to_datetime

# Longest rest that is kept: a target that recovers sooner cannot say so.
MAXIMUM_REST_S = 300.0
_SECONDS_PATTERN = re.compile(rb'\d{1,12}(\.\d{0,12})?|\.\d{1,12}')


def parse_rest(value: bytes, date: bytes) -> tuple[float, str]:
    """Parse the value of a ``Retry-After`` header.

    A date counts from the date of the same response, as clocks differ.

    :param date: value of the ``Date`` header, empty if there is none.
    :return: seconds, at most ``MAXIMUM_REST_S``, and why the header cannot be
        read, empty if it can.
    """
    if _SECONDS_PATTERN.fullmatch(value.strip()):
        return min(float(value), MAXIMUM_REST_S), ''
    try:
        wait_s = _count_seconds(value, date)
    except (TypeError, ValueError, OverflowError):
        return 0, f'{value[:40]!r} is neither seconds nor a date'
    return min(max(0, wait_s), MAXIMUM_REST_S), ''


def _count_seconds(until: bytes, now: bytes) -> float:
    begin = parsedate_to_datetime(now.decode('latin-1'))
    end = parsedate_to_datetime(until.decode('latin-1'))
    return (end - begin).total_seconds()
