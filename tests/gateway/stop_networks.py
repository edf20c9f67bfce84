"""Instances that stop while calls are at each of their moments."""

import asyncio
import contextlib

from tests.gateway.documents import make_document, make_route
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream
from trefoilhinge.dispatch.loads import Run, RunPart

# Seconds for a refusal that is known at once, and its longest Retry-After.
AT_ONCE_S = 0.3
POLL_S = 0.01
# Longer than any grace of these tests.
TIMEOUT_S = 14
# A prompt that exceeds the memory of one target, so that a group takes it.
GROUP_PROMPT = '300000,700'


def make_patient_document(**fields):
    """Return a document whose routes allow more time than the grace.

    :param fields: fields of all routes.
    """
    shared = {'timeoutMs': TIMEOUT_S * 1000, **fields}
    return make_document(
        routes=[
            make_route(
                'stream', 'stream', 'model', 300, resumable=True, **shared
            ),
            make_route(
                'book',
                'non_idempotent',
                'desk',
                100,
                **{'attempts': 1, **shared},
            ),
            make_route('look', 'idempotent', 'desk', 100, **shared),
        ]
    )


def add_backlog(state, names, backlog_s):
    """Let another instance's prompt occupy a group of targets."""
    now_s = state.get_now_s()
    parts = tuple(RunPart(name, backlog_s, 0, has_slot=False) for name in names)
    run = Run('other', state.make_run_number(), parts, 1000, 1, 0, now_s)
    state.record_run(run, now_s + 2 * backlog_s)


@contextlib.asynccontextmanager
async def run_busy_group(backlog_s, grace_s=8):
    """Run an instance whose group of targets prefills another prompt."""
    handlers = {f'm{number}': stream() for number in range(1, 4)}
    async with run_fleet(
        make_patient_document(), bounds={'grace_s': grace_s}, **handlers
    ) as fleet:
        add_backlog(fleet.state, handlers, backlog_s)
        yield fleet


def call_group(fleet, **headers):
    """Start a call whose prompt takes a group of targets."""
    return asyncio.ensure_future(
        fleet.call(
            X_Token_Count=GROUP_PROMPT,
            X_Deadline=str(TIMEOUT_S * 1000),
            **headers,
        )
    )


async def wait_at_once(task):
    """Return the answer of a call that must come at once.

    Turns are counted, as on a starved machine the time might pass before any
    message is read.

    :raises AssertionError: the call is still open.
    """
    for _ in range(round(AT_ONCE_S / POLL_S)):
        if task.done():
            break
        await asyncio.sleep(POLL_S)
    assert task.done(), 'the call got no answer at once'
    return await task


def check_refused(answer):
    """Check that an answer lets its caller go elsewhere at once."""
    assert (answer.status, answer.is_complete) == (503, True)
    assert b'"not_run"' in answer.content
    assert 0 < float(answer.headers['retry-after']) <= AT_ONCE_S
