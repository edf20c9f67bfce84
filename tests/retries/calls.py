"""Builders of instants and call profiles for tests."""

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.profiles import CallProfile

START_S = 1000.0
WALL_S = 1_790_000_000.0


def at(seconds, wall_shift_s=0.0):
    return Instant(START_S + seconds, WALL_S + seconds + wall_shift_s)


def make_call(
    key='',
    request_id='r1',
    organisation='hotel',
    body='b' * 64,
    idempotent=False,
    forwarded=False,
    model=False,
    service='desk',
    deadline_s=START_S + 60,
):
    return CallProfile(
        request_id=request_id,
        organisation=organisation,
        service=service,
        model=model,
        path='/bookings',
        idempotent=idempotent,
        key=key,
        body_digest=body,
        prompt_tokens=10,
        output_tokens=0,
        prefix_digests=(),
        priority=5,
        deadline_s=deadline_s,
        received_s=START_S,
        forwarded=forwarded,
    )
