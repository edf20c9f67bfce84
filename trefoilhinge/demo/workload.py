"""Mixed workload of the demo: prompts of all sizes, lookups, bookings."""

import enum
import itertools
from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

BYTES_PER_TOKEN = 4
SHORT_TOKENS = 1_000
SHORT_CALLS = 30
OUTPUT_TOKENS = 24
LOOKUPS = 6
BOOKINGS = 8
SENDS_PER_REQUEST = 2
# Length of the prompt in tokens, and number of calls.
LONG_PROMPTS = (
    (10_000, 8),
    (100_000, 4),
    (300_000, 2),
    (1_000_000, 1),
)


class CallKind(enum.StrEnum):
    """Kind of a call in the workload."""

    SHORT_ALONE = 'short alone'
    SHORT_BESIDE = 'short beside long'
    LONG = 'long'
    LOOKUP = 'lookup, sent twice'
    BOOKING = 'booking, sent twice'


@frozen
class PlannedCall:
    """One call of the workload.

    :ivar tokens: approximate length of the prompt, in tokens.
    :ivar reference: identifies the request among those of its kind; the same
        for both sendings of a lookup or a booking.
    :ivar send_index: zero for the first sending, one for the second.
    """

    kind: CallKind
    service: str
    tokens: int = 0
    reference: str = ''
    send_index: int = 0

    @property
    def is_model(self) -> bool:
        """Return whether the call goes to a model service."""
        return self.kind not in {CallKind.LOOKUP, CallKind.BOOKING}

    def make_prompt(self) -> str:
        """Return a prompt of the planned length with a unique prefix."""
        start = f'{self.kind} {self.reference} '
        return start.ljust(self.tokens * BYTES_PER_TOKEN, 'x')


def plan_isolated(document: Mapping[str, Any]) -> tuple[PlannedCall, ...]:
    """Return the short calls that run without other load."""
    service = find_service(document, 'model')
    return tuple(_plan_short(service, CallKind.SHORT_ALONE))


def plan_mixed(document: Mapping[str, Any]) -> tuple[PlannedCall, ...]:
    """Return long calls, then short ones, lookups and bookings."""
    model = find_service(document, 'model')
    plain = find_service(document, 'plain')
    long_calls = [
        PlannedCall(CallKind.LONG, model, tokens, f'{tokens}-{number}')
        for tokens, count in reversed(LONG_PROMPTS)
        for number in range(count)
    ]
    short_calls = _plan_short(model, CallKind.SHORT_BESIDE)
    lookups = _plan_repeated(plain, CallKind.LOOKUP, LOOKUPS)
    bookings = _plan_repeated(plain, CallKind.BOOKING, BOOKINGS)
    return tuple(itertools.chain(long_calls, short_calls, lookups, bookings))


def find_service(document: Mapping[str, Any], kind: str) -> str:
    """Return the name of the first service of a kind."""
    names = [
        str(one['name']) for one in document['services'] if one['kind'] == kind
    ]
    return names[0]


def _plan_repeated(
    service: str,
    kind: CallKind,
    count: int,
) -> Iterator[PlannedCall]:
    for number in range(count * SENDS_PER_REQUEST):
        reference = f'{kind}-{number // SENDS_PER_REQUEST}'
        yield PlannedCall(
            kind, service, 0, reference, number % SENDS_PER_REQUEST
        )


def _plan_short(service: str, kind: CallKind) -> Iterator[PlannedCall]:
    for number in range(SHORT_CALLS):
        yield PlannedCall(kind, service, SHORT_TOKENS, str(number))
