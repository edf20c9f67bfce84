"""Checks of what callers of a stopping instance get."""

import asyncio

from tests.gateway.stop_networks import POLL_S

# Seconds for a refusal that is known at once, and its longest Retry-After.
AT_ONCE_S = 0.3


async def wait_at_once(task):
    """Return the result of a call that must come at once.

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


def check_failed(answer):
    """Check that an answer promises nothing about the call."""
    assert answer.status in {502, 504}
    assert answer.is_complete
    assert b'"may_have_run"' in answer.content
