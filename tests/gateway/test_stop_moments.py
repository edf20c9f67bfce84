"""Tests of calls that are at each of their moments when an instance stops."""

import asyncio

import pytest
from attrs import evolve

from tests.gateway.stop_checks import (
    AT_ONCE_S,
    check_failed,
    check_refused,
)
from tests.gateway.stop_moments import (
    KNOWN,
    REQUEST_ID,
    SENT,
    UNKNOWN,
    play_all,
)
from tests.gateway.stop_networks import (
    ANSWER_MARGIN_S,
    EXIT_S,
)
from tests.gateway.test_reservations import sort_orders

LATE_CALL_S = 1.0  # after the order to stop


def call_late(moments):
    """Return moments whose calls are made after the order to stop."""
    return {
        f'{name}_late': evolve(moment, called_s=LATE_CALL_S)
        for name, moment in moments.items()
    }


ALL_KNOWN = {**KNOWN, **call_late(KNOWN)}
ALL_UNKNOWN = {**UNKNOWN, **call_late(UNKNOWN)}


@pytest.fixture(scope='module')
def outcomes():
    """Play all moments at a time, as each lasts until the exit."""
    return asyncio.run(play_all({**ALL_KNOWN, **ALL_UNKNOWN, **SENT}))


@pytest.fixture
def outcome(outcomes, name):
    """Return the result of one call, and its instance."""
    if isinstance(outcomes[name], Exception):
        raise outcomes[name]
    return outcomes[name]


def list_observed(stopping):
    """Return the requests of the observed call that targets received."""
    return [
        exchange
        for exchange in stopping.list_requests()
        if exchange.headers['x-request-id'] == REQUEST_ID
    ]


class TestUnsentCalls:
    """Guards against LOST: calls that wait until the exit, and are cut."""

    @pytest.mark.parametrize('name', ALL_KNOWN)
    def test_call_that_cannot_end_is_refused_at_once(self, outcome, name):
        result, stopping = outcome
        check_refused(result.answer)
        assert result.turns_s <= AT_ONCE_S
        assert not list_observed(stopping)

    @pytest.mark.parametrize('name', ALL_UNKNOWN)
    def test_call_is_refused_before_the_exit(self, outcome, name):
        result, stopping = outcome
        check_refused(result.answer)
        assert not list_observed(stopping)


@pytest.mark.parametrize('name', SENT)
class TestSentCalls:
    """Guards against LOST and REFUSED: calls that targets have at the exit."""

    def test_call_gets_an_answer_that_promises_nothing(self, outcome, name):
        result, _ = outcome
        check_failed(result.answer)

    def test_call_is_not_given_up_sooner_than_the_exit(self, outcome, name):
        result, _ = outcome
        assert result.at_s >= EXIT_S - ANSWER_MARGIN_S

    def test_call_that_may_run_once_is_sent_once(self, outcome, name):
        _, stopping = outcome
        assert SENT[name].path != '/book/1' or (
            len(list_observed(stopping)) == 1
        )


@pytest.mark.parametrize('name', ['group', 'reserving'])
class TestReservations:
    """Guards against memory that stays reserved after the process ended."""

    def test_memory_is_released_before_the_exit(self, outcome, name):
        _, stopping = outcome
        reserved, released = sort_orders(stopping.fleet)
        assert reserved
        assert reserved.keys() <= released.keys()


@pytest.mark.parametrize('name', [*ALL_KNOWN, *ALL_UNKNOWN, *SENT])
class TestLog:
    """Guards against a log that says that callers went who were cut."""

    def test_end_of_the_call_is_logged_with_its_cause(self, outcome, name):
        _, stopping = outcome
        lines = stopping.list_lines('call_ended')
        assert 'caller_gone' not in {line['outcome'] for line in lines}
        assert not stopping.list_lines('call_crashed')
        ended = lines + stopping.list_lines('call_refused')
        assert REQUEST_ID in {line['request'] for line in ended}
