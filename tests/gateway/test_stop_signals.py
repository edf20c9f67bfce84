"""Tests of signals and disruptions beside the order to stop."""

import asyncio
import os
import signal
import time

import pytest

from tests.gateway.fleets import make_call
from tests.gateway.stop_checks import (
    AT_ONCE_S,
    check_failed,
    check_refused,
)
from tests.gateway.stop_moments import (
    KNOWN,
    SENT,
    Moment,
    play_all,
)
from tests.gateway.stop_networks import (
    ANSWER_MARGIN_S,
    EXIT_S,
    GRACE_S,
    run_stopping,
)
from tests.gateway.targets import never_answer
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE
from trefoilhinge.platform.standins import formats

SIGNAL_INTERVAL_S = 0.5
STOP_LIMIT_S = 2 * GRACE_S  # on a starved machine
LONG_GRACE_S = 60
CALLS = 30
# Seconds before the exit at which the event loop is blocked, and for how long:
# it wakes between the exit and the kill, or after it.
BLOCKED_BEFORE_S = 0.2
BLOCKS_S = (0.5, 1.5)


def write_settings(folder, fleet):
    """Write settings of an instance that allow more time for a stop."""
    path = folder / 'settings.json'
    path.write_text(
        formats.encode_settings(
            'entry',
            fleet.settings.ip,
            f'{fleet.settings.store[0]}:{fleet.settings.store[1]}',
            [],
            fleet.settings.first_port,
            graceS=LONG_GRACE_S,
        )
    )
    return str(path)


class TestSignals:
    @pytest.mark.parametrize('interval_s', [0, SIGNAL_INTERVAL_S])
    def test_further_signals_change_nothing(
        self, monkeypatch, tmp_path, interval_s
    ):
        """Guards against a stop that begins anew, or lasts past the kill.

        Settings that are read after the order to stop allow more time.

        :param interval_s: seconds from the order to the next signal.
        """

        async def run():
            handlers = {'d1': never_answer}
            async with run_stopping(handlers=handlers) as stopping:
                monkeypatch.setenv(
                    SETTINGS_PATH_VARIABLE,
                    write_settings(tmp_path, stopping.fleet),
                )
                call = stopping.call()
                await stopping.fleet.wait_for(stopping.list_requests)
                stopping.order(lambda: os.kill(os.getpid(), signal.SIGTERM))
                if interval_s:
                    await asyncio.sleep(interval_s)
                os.kill(os.getpid(), signal.SIGHUP)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
                os.kill(os.getpid(), signal.SIGTERM)
                async with asyncio.timeout(STOP_LIMIT_S):
                    result = await call
                    await stopping.ending
                check_failed(result.answer)
                assert result.at_s >= EXIT_S - ANSWER_MARGIN_S
                assert result.turns_s < GRACE_S
                assert stopping.list_lines('reloaded')
                assert len(stopping.list_lines('stopped')) == 1

        asyncio.run(run())


def take_store_away(moment):
    """Return a moment at which the store is away."""

    async def prepare(stopping, stack):
        await moment.prepare(stopping, stack)
        stopping.fleet.store.is_down = True

    return Moment(
        moment.handlers,
        moment.path,
        moment.headers,
        prepare,
        moment.is_reached,
        options=moment.options,
    )


STORELESS = {
    name: take_store_away(moment)
    for name, moment in {**KNOWN, 'unsafe': SENT['unsafe']}.items()
}


@pytest.fixture(scope='module')
def storeless():
    """Play stops while the store is away."""
    return asyncio.run(play_all(STORELESS))


class TestStore:
    """Guards against a stop that waits for the store."""

    @pytest.mark.parametrize('name', KNOWN)
    def test_call_that_cannot_end_is_refused_at_once(self, storeless, name):
        result, _ = storeless[name]
        assert (result.answer.status, result.answer.is_complete) == (503, True)
        assert b'"not_run"' in result.answer.content
        assert result.turns_s <= AT_ONCE_S

    def test_call_that_was_sent_gets_an_answer(self, storeless):
        result, _ = storeless['unsafe']
        check_failed(result.answer)


class TestLateWakening:
    @pytest.mark.parametrize('block_s', BLOCKS_S)
    def test_calls_are_answered_before_their_sockets_close(self, block_s):
        """Guards against an exit that has no time left for its answers."""

        async def run():
            handlers = {'d1': never_answer, 'm1': never_answer}
            async with run_stopping(handlers=handlers) as stopping:
                calls = [
                    stopping.call(path, X_Request_Id=f'r-{number}')
                    for number in range(CALLS)
                    for path in ('/book/1', '/stream/1')
                ]
                part = stopping.send(make_call()[:-1])
                await stopping.fleet.wait_for(
                    lambda: len(stopping.list_requests()) >= len(calls)
                )
                stopping.order()
                await stopping.wait_until(EXIT_S - BLOCKED_BEFORE_S)
                time.sleep(block_s)
                async with asyncio.timeout(STOP_LIMIT_S):
                    for result in await asyncio.gather(*calls):
                        check_failed(result.answer)
                    check_refused((await part).answer)

        asyncio.run(run())
