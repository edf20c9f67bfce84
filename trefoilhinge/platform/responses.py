"""Decoding of the heads of targets' responses."""

import re
from collections.abc import Iterable

from trefoilhinge.dispatch.calls import AnswerHead, RawHeaders, can_refuse
from trefoilhinge.dispatch.rate_limits import MINIMUM_REQUESTS_PER_S, RATE_UNITS
from trefoilhinge.dispatch.rests import parse_rest
from trefoilhinge.dispatch.warmup.durations import parse_cold_s
from trefoilhinge.platform.headers import HOP_BY_HOP_HEADERS

_RATE_HEADER = b'server-limit'
_RATE_PATTERN = re.compile(rb'\d{1,12}(\.\d{0,12})?|\.\d{1,12}')
MAXIMUM_REQUESTS_PER_S = 100_000  # more than any target serves
_LENGTH_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


def decode_response_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
) -> AnswerHead:
    """Decode the status and headers of a target's response."""
    raw_headers = tuple(headers)
    by_name = {name.lower(): value for name, value in raw_headers}
    requests_per_s, rate_problem = decode_rate(raw_headers)
    rest_s: float = 0
    rest_problem = ''
    if status == 503 and b'retry-after' in by_name:
        rest_s, rest_problem = parse_rest(
            by_name[b'retry-after'], by_name.get(b'date', b'')
        )
    return AnswerHead(
        status=status,
        request_id=_join_values(raw_headers, b'x-request-id'),
        is_signed=b'x-server-seal' in by_name,
        # 421 Misdirected Request: the target did not accept the request.
        not_run=status == 421
        or (b'x-not-run' in by_name and can_refuse(status)),
        at_fault=by_name.get(b'at-server', b'').decode('latin-1'),
        forwarded_headers=tuple(
            (name, value)
            for name, value in raw_headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        ),
        ends_with_connection=not _LENGTH_HEADERS & by_name.keys(),
        requests_per_s=requests_per_s,
        rate_problem=rate_problem,
        rest_s=rest_s,
        rest_problem=rest_problem,
        is_leaving=by_name.get(b'server-leaving', b'').strip() == b'1',
        cold_s=parse_cold_s(by_name.get(b'x-cold-ms')),
    )


def _join_values(raw_headers: RawHeaders, name: bytes) -> str:
    """Return the value of a header, or its different values."""
    values = dict.fromkeys(
        value for other, value in raw_headers if other.lower() == name
    )
    return b','.join(values).decode('latin-1')


def decode_rate(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[float | None, str]:
    """Decode the rate that a target takes from all instances together.

    :return: requests per second, not below ``MINIMUM_REQUESTS_PER_S``, and
        an empty text; or none and why the header cannot be read, empty if
        there is none.
    """
    values = [
        value.strip() for name, value in headers if name.lower() == _RATE_HEADER
    ]
    if not values:
        return None, ''
    text = b', '.join(values)
    if len(values) > 1 or not _RATE_PATTERN.fullmatch(text):
        return None, f'{text[:40]!r} is not one decimal number'
    rate = round(float(text) * RATE_UNITS) / RATE_UNITS
    if rate > MAXIMUM_REQUESTS_PER_S:
        return None, f'{rate} is over {MAXIMUM_REQUESTS_PER_S} a second'
    return max(rate, MINIMUM_REQUESTS_PER_S), ''
