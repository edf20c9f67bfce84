"""Tests of prompts with a part that crashes targets."""

import asyncio
import itertools
import random
import time

from tests.gateway.crashing_targets import CrashingFleet
from tests.gateway.rate_windows import STABLE_S

PEERS = 7
TARGETS = tuple(f'm{number}' for number in range(10, 20))
BAD_PART = 'bad0bad0'
SHARED_PARTS = ('aa00:40', 'cc00:700')
CALLS_PER_S = 24
BAD_SHARE = 0.2
ALLOWED_REQUESTS = 3  # that reach targets after the fifth crash

_numbers = itertools.count()


def is_bad(headers):
    """Return whether a request has the part that crashes targets."""
    return BAD_PART in headers.get('x-prompt-prefix', '')


def make_prefix(*parts):
    """Return the header of a prompt whose last part is its own."""
    own = f'{next(_numbers):x}ee:300'
    return ','.join((*SHARED_PARTS, *parts, own))


async def call_at_random(instances, until_s, results):
    """Make sound and bad calls at all instances until a time."""
    chance = random.Random(5)
    tasks = []
    while time.monotonic() < until_s:
        parts = [f'{BAD_PART}:90'] if chance.random() < BAD_SHARE else []
        tasks.append(
            asyncio.ensure_future(
                _call(chance.choice(instances), make_prefix(*parts), results)
            )
        )
        await asyncio.sleep(chance.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)


async def _call(instance, prefix, results):
    request_id = f'r-{next(_numbers)}'
    sent_s = time.monotonic()
    answer = await instance.call(
        X_Request_Id=request_id, X_Prompt_Prefix=prefix, X_Deadline='2900'
    )
    results.append((sent_s, request_id, BAD_PART in prefix, answer))


class TestCrashingPart:
    def test_part_that_crashes_targets_is_kept_from_them(self):
        """Guards against requests with one part that crash all targets.

        Each instance placed them like any others, with retries, and nothing
        was kept of what a target ran when it ended.
        """
        targets = CrashingFleet(lambda exchange: is_bad(exchange.headers))
        results = []

        async def make_calls(instances):
            until_s = time.monotonic() + 3 * STABLE_S
            await call_at_random(instances, until_s, results)

        asyncio.run(targets.serve_calls(TARGETS, PEERS, make_calls))
        crashes_s = targets.crash_times_s
        fifth_s = crashes_s[4] if len(crashes_s) > 4 else crashes_s[-1]
        sent = targets.count_bad_arrivals(fifth_s + STABLE_S)
        assert sent <= ALLOWED_REQUESTS
        sound = [
            request_id in targets.begun
            for sent_s, request_id, bad, _ in results
            if not bad and sent_s >= fifth_s + 1.5 * STABLE_S
        ]
        assert len(sound) >= 20
        assert sum(sound) / len(sound) > 0.9
