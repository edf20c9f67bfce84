"""Encoding of the messages about limited targets, as lists of fields."""

from trefoilhinge.dispatch.message_checks import (
    MAXIMUM_DURATION_S,
    MAXIMUM_TRANSIT_S,
    check_origin,
    check_range,
)
from trefoilhinge.dispatch.messages import (
    PermitMessage,
    TargetOrdered,
    TargetRateNamed,
)
from trefoilhinge.dispatch.permits import (
    PermitDecision,
    PermitRequest,
    PermitVerdict,
)
from trefoilhinge.dispatch.rate_limits import (
    MINIMUM_REQUESTS_PER_S,
    RATE_UNITS,
    NamedRate,
)

PERMIT_KINDS = frozenset('toqd')


def list_permit_fields(message: PermitMessage) -> list[object]:
    """Return the fields of a message, the first one its kind."""
    match message:
        case TargetRateNamed(named, now_s):
            return [
                't',
                named.target,
                named.started_ms,
                _encode_rate(named.requests_per_s),
                min(now_s - named.earliest_s, MAXIMUM_DURATION_S),
                min(now_s - named.latest_s, MAXIMUM_DURATION_S),
            ]
        case TargetOrdered(name):
            return ['o', name]
        case PermitRequest():
            return [
                'q',
                message.origin,
                message.number,
                message.target,
                message.started_ms,
                message.priority,
                message.patience_s,
            ]
        case PermitDecision():
            return [
                'd',
                message.origin,
                message.number,
                message.target,
                message.verdict.value,
                min(message.wait_s, MAXIMUM_DURATION_S),
            ]


def decode_permit_message(fields: object, now_s: float) -> PermitMessage:
    """Decode the fields of a message.

    :param now_s: monotonic seconds of arrival, from which ages count.
    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case ['o', str(name)]:
            return TargetOrdered(name)
        case ['t', *rate]:
            return _decode_named_rate(rate, now_s)
    return _decode_permit(fields)


def _decode_named_rate(fields: list[object], now_s: float) -> TargetRateNamed:
    match fields:
        case [
            str(target),
            int(started_ms),
            (None | int()) as rate,
            int() | float() as earliest_age_s,
            int() | float() as latest_age_s,
        ]:
            earliest_s = now_s - check_range(earliest_age_s)
            named = NamedRate(
                target,
                started_ms,
                _decode_rate(rate),
                earliest_s - MAXIMUM_TRANSIT_S,
                now_s - check_range(latest_age_s),
            )
            return TargetRateNamed(named, now_s)
        case _:
            raise ValueError('limit of a target with unexpected fields')


def _decode_permit(fields: object) -> PermitRequest | PermitDecision:
    match fields:
        case [
            'q',
            str(origin),
            int(number),
            str(target),
            int(started_ms),
            int(priority),
            int() | float() as patience_s,
        ]:
            return PermitRequest(
                check_origin(origin),
                number,
                target,
                started_ms,
                priority,
                check_range(patience_s),
            )
        case [
            'd',
            str(origin),
            int(number),
            str(target),
            str(verdict),
            int() | float() as wait_s,
        ]:
            return PermitDecision(
                origin,
                number,
                target,
                PermitVerdict(verdict),
                check_range(wait_s),
            )
        case _:
            raise ValueError('permit with unexpected fields')


def _encode_rate(requests_per_s: float | None) -> int | None:
    """Return a rate as an integer; a float loses digits in a message."""
    if requests_per_s is None:
        return None
    return round(requests_per_s * RATE_UNITS)


def _decode_rate(rate: int | None) -> float | None:
    """Return a rate in requests per second.

    :raises ValueError: it is too low to be kept.
    """
    if rate is None:
        return None
    requests_per_s = rate / RATE_UNITS
    if requests_per_s < MINIMUM_REQUESTS_PER_S:
        raise ValueError(f'rate {requests_per_s} is not a limit')
    return requests_per_s
