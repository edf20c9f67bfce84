"""Tests of a request that crashes the targets of a plain service."""

import asyncio
import random
import time

from tests.gateway.crashing_targets import CrashingFleet
from tests.gateway.fleets import make_call
from tests.gateway.rate_windows import STABLE_S

PEERS = 7
TARGETS = ('d1', 'd2', 'd3')
BAD_BODY = b'crash'
CALLS_PER_S = 12
BAD_SHARE = 0.2
ALLOWED_RETRIES = 3  # that reach targets after the third crash


def is_bad(exchange):
    """Return whether a request crashes the target that runs it."""
    return exchange.body == BAD_BODY


async def call_at_random(instances, until_s, results):
    """Make sound calls, and the bad one again, until a time."""
    chance = random.Random(5)
    tasks = []
    while time.monotonic() < until_s:
        number = len(tasks)
        body = BAD_BODY if chance.random() < BAD_SHARE else b'%d' % number
        path = chance.choice(['/look/1', '/look/1', '/book/1'])
        if body == BAD_BODY:
            path = '/look/1'
        data = make_call(
            path, body=body, X_Request_Id=f'r-{number}', X_Deadline='900'
        )
        instance = chance.choice(instances)
        tasks.append(
            asyncio.ensure_future(_call(instance, data, body, results))
        )
        await asyncio.sleep(chance.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)


async def _call(instance, data, body, results):
    sent_s = time.monotonic()
    answer = await instance.send_raw(data)
    results.append((sent_s, body == BAD_BODY, answer.status))


class TestCrashingRequest:
    def test_request_that_crashes_targets_is_kept_from_them(self):
        """Guards against one request that ends all targets of a service.

        It came again at any instance, which placed it like a new one.
        """
        targets = CrashingFleet(is_bad)
        results = []

        async def make_calls(instances):
            until_s = time.monotonic() + 3 * STABLE_S
            await call_at_random(instances, until_s, results)

        asyncio.run(targets.serve_calls(TARGETS, PEERS, make_calls))
        crashes_s = targets.crash_times_s
        third_s = crashes_s[2] if len(crashes_s) > 2 else crashes_s[-1]
        sent = targets.count_bad_arrivals(third_s + STABLE_S)
        assert sent <= ALLOWED_RETRIES
        sound = [
            status
            for sent_s, bad, status in results
            if not bad and sent_s >= third_s + 1.5 * STABLE_S
        ]
        assert len(sound) >= 20
        assert sound.count(200) / len(sound) > 0.9
