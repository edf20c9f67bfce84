"""Encoding of the messages about waiting calls, as lists of fields."""

from collections.abc import Sequence

from attrs import frozen

from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall
from trefoilhinge.dispatch.message_checks import (
    MAXIMUM_DURATION_S,
    check_origin,
    check_range,
)

ADMISSION_KINDS = frozenset(('cw', 'ce', 'ca'))
# In one message, so that it fits a packet: a call takes 80 bytes at most with
# a service name of 32 characters.
MAXIMUM_CALLS = 12
MAXIMUM_NUMBERS = 64
MAXIMUM_ALIVE_NUMBERS = 200


@frozen
class CallsWaiting:
    """Calls wait for capacity at an instance, or still do.

    :ivar now_s: monotonic seconds of this instance.
    """

    calls: tuple[WaitingCall, ...]
    now_s: float

    @property
    def origin(self) -> str:
        """Return the incarnation of the instance that holds the calls."""
        return self.calls[0].origin


@frozen
class WaitsEnded:
    """Calls no longer wait, without having been placed."""

    origin: str
    numbers: tuple[int, ...]


@frozen
class RunsAlive:
    """Runs of an instance that have not ended.

    A lost announcement of an end would otherwise take a slot from all
    decisions until the latest possible end of the run.

    :ivar latest: highest number that the instance has given to a run.
    """

    origin: str
    latest: int
    numbers: tuple[int, ...]


AdmissionMessage = CallsWaiting | WaitsEnded | RunsAlive


def split_calls(
    calls: Sequence[WaitingCall], now_s: float
) -> list[CallsWaiting]:
    """Return messages that announce the calls of one instance."""
    return [
        CallsWaiting(tuple(calls[start : start + MAXIMUM_CALLS]), now_s)
        for start in range(0, len(calls), MAXIMUM_CALLS)
    ]


def list_admission_fields(message: AdmissionMessage) -> list[object]:
    """Return the fields of a message, the first one its kind."""
    match message:
        case CallsWaiting(calls, now_s):
            entries = [_list_call(call, now_s) for call in calls]
            return ['cw', calls[0].origin, entries]
        case WaitsEnded(origin, numbers):
            return ['ce', origin, list(numbers[:MAXIMUM_NUMBERS])]
        case RunsAlive(origin, latest, numbers):
            return ['ca', origin, latest, list(numbers)]


def decode_admission_message(fields: object, now_s: float) -> AdmissionMessage:
    """Decode the fields of a message.

    :param now_s: monotonic seconds of arrival, from which durations count.
    :raises ValueError: the fields are of unexpected number, type or value.
    """
    match fields:
        case ['cw', str(origin), list(entries)] if entries:
            checked = check_origin(origin)
            calls = tuple(
                _decode_call(checked, entry, now_s)
                for entry in entries[:MAXIMUM_CALLS]
            )
            return CallsWaiting(calls, now_s)
        case ['ce', str(origin), list(numbers)]:
            return WaitsEnded(origin, tuple(map(int, numbers)))
        case ['ca', str(origin), int(latest), list(numbers)]:
            return RunsAlive(origin, latest, tuple(map(int, numbers)))
        case _:
            raise ValueError('waiting calls with unexpected fields')


def _list_call(call: WaitingCall, now_s: float) -> list[object]:
    return [
        call.number,
        call.service,
        call.priority,
        call.organisation,
        call.memory_tokens,
        call.weight,
        call.stamp,
        min(max(0, now_s - call.since_s), MAXIMUM_DURATION_S),
        min(max(0, call.on_time_s - now_s), MAXIMUM_DURATION_S),
        min(max(0, call.latest_s - now_s), MAXIMUM_DURATION_S),
    ]


def _decode_call(origin: str, fields: object, now_s: float) -> WaitingCall:
    match fields:
        case [
            int(number),
            str(service),
            int(priority),
            int(organisation),
            int(memory_tokens),
            int() | float() as weight,
            int(stamp),
            int() | float() as waited_s,
            int() | float() as on_time_left_s,
            int() | float() as left_s,
        ] if memory_tokens >= 0:
            return WaitingCall(
                origin,
                number,
                service,
                priority,
                organisation,
                memory_tokens,
                check_range(weight),
                stamp,
                now_s - check_range(waited_s),
                now_s + check_range(on_time_left_s),
                now_s + check_range(left_s),
            )
        case _:
            raise ValueError('waiting call with unexpected fields')
