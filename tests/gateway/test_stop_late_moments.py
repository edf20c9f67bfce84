"""Tests of answers, refusals and streams shortly before an instance ends."""

import asyncio
import re

import pytest

from tests.gateway.stop_checks import (
    AT_ONCE_S,
    check_failed,
    check_refused,
)
from tests.gateway.stop_late_moments import (
    DELIVERED,
    ENDLESS,
    LOST,
    REFUSED,
    REFUSED_S,
    SERVED,
)
from tests.gateway.stop_moments import SENT, play_all
from tests.gateway.stop_networks import (
    ANSWER_MARGIN_S,
    EXIT_S,
    make_call,
    run_stopping,
)

STOP_PATTERN = re.compile('stop|exit|cut')


@pytest.fixture(scope='module')
def outcomes():
    """Play all moments at a time, as each lasts until the exit."""
    moments = {name: moment for name, (moment, _) in DELIVERED.items()}
    served = {f'served_{name}': SERVED[name] for name in SERVED}
    return asyncio.run(
        play_all({**moments, **served, **REFUSED, **LOST, **ENDLESS})
    )


@pytest.fixture
def outcome(outcomes, name):
    """Return the result of one call, and its instance."""
    if isinstance(outcomes[name], Exception):
        raise outcomes[name]
    return outcomes[name]


class TestAnswers:
    @pytest.mark.parametrize('name', DELIVERED)
    def test_answer_before_the_exit_is_delivered(self, outcome, name):
        """Guards against targets that are given up for their silence."""
        result, _ = outcome
        assert result.answer.is_complete
        assert result.answer.content.endswith(DELIVERED[name][1])

    @pytest.mark.parametrize('name', LOST)
    def test_call_that_may_have_run_is_not_refused(self, outcome, name):
        """Guards against REFUSED: a retry that the exit comes before."""
        result, stopping = outcome
        check_failed(result.answer)
        assert len(stopping.list_requests()) == 2


class TestShortWaits:
    """Guards against refusing calls that could still be served."""

    @pytest.mark.parametrize('name', [f'served_{name}' for name in SERVED])
    def test_call_that_waits_for_a_short_time_is_served(self, outcome, name):
        result, _ = outcome
        assert (result.answer.status, result.answer.is_complete) == (200, True)


class TestWaits:
    """Guards against LOST: short waits that the exit comes before."""

    def test_call_that_was_refused_is_not_kept(self, outcomes):
        result, _ = outcomes['refused']
        check_refused(result.answer)
        assert result.turns_s <= REFUSED_S + AT_ONCE_S

    @pytest.mark.parametrize('name', ['rest', 'cold'])
    def test_call_that_would_wait_past_the_exit_is_refused_at_once(
        self, outcome, name
    ):
        result, _ = outcome
        check_refused(result.answer)
        assert result.turns_s <= AT_ONCE_S


@pytest.mark.parametrize('name', ENDLESS)
class TestStreams:
    """Guards against MIXED: a stream that is cut and looks complete."""

    def test_stream_that_goes_on_looks_incomplete(self, outcome, name):
        result, _ = outcome
        assert result.answer.status == 200
        assert not result.answer.is_complete
        assert result.at_s >= EXIT_S - ANSWER_MARGIN_S

    def test_log_says_that_the_stop_cut_it(self, outcome, name):
        _, stopping = outcome
        (line,) = stopping.list_lines('call_ended')
        fields = [line[key] for key in line.keys() - {'instance', 'event'}]
        assert any(STOP_PATTERN.search(text) for text in fields), line


class TestDepartures:
    def test_caller_that_leaves_is_logged_as_gone(self):
        """Guards against departures that are taken for cuts of the stop."""

        async def run():
            handlers = SENT['unsafe'].handlers
            async with run_stopping(handlers=handlers) as stopping:
                entry = stopping.fleet.settings.entry
                _, writer = await asyncio.open_connection(*entry)
                writer.write(make_call('/book/1'))
                await stopping.fleet.wait_for(stopping.list_requests)
                stopping.order()
                await asyncio.sleep(0.2)
                writer.transport.abort()
                await stopping.fleet.wait_for(
                    lambda: stopping.list_lines('call_ended')
                )
                (line,) = stopping.list_lines('call_ended')
                assert line['outcome'] == 'caller_gone'

        asyncio.run(run())
