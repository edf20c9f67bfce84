"""Tests of the rules for connections that are kept."""

import pytest
from attrs import evolve

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.connections.bounds import (
    CLOSE_SPREAD_S,
    MAXIMUM_PER_TARGET,
    compute_close_delay_s,
    compute_maximum_idle,
    compute_share,
)
from trefoilhinge.dispatch.connections.fitness import (
    MAXIMUM_EXCHANGES,
    CloseReason,
    Exchange,
    find_unfitness,
)
from trefoilhinge.dispatch.connections.idle_table import (
    IdleConnection,
    IdleTable,
)
from trefoilhinge.dispatch.connections.idle_times import compute_idle_s
from trefoilhinge.dispatch.targets import TargetRecord

INSTANCES = 66
DESCRIPTORS = 4_100
MEMORY_BYTES = 200 * 1024 * 1024


def make_record(started_ms=1, address='127.0.0.1:80'):
    return TargetRecord('d1', 'desk', address, 'a', 8, False, started_ms, 1, 1)


def make_idle(number, started_ms=1, expires_s=10, carried=()):
    return IdleConnection(
        number, ('d1', started_ms), '127.0.0.1:80', 0, expires_s, carried
    )


HEAD = AnswerHead(200, 'r-1', True, False, '', ())
EXCHANGE = Exchange(HEAD, True, False, 0, False, 1)  # nothing irregular


class TestFitness:
    """Guards against a connection that carries a refusal to a later call."""

    @pytest.mark.parametrize(
        ('head', 'fields', 'reason'),
        [
            ({}, {}, None),
            ({'status': 404}, {}, None),
            ({'not_run': True}, {}, CloseReason.refusal),
            ({'request_id': ''}, {}, CloseReason.unidentified),
            ({'status': 500}, {}, CloseReason.failure),
            ({'ends_with_connection': True}, {}, CloseReason.ended),
            ({'is_leaving': True}, {}, CloseReason.ended),
            ({}, {'is_whole': False}, CloseReason.ended),
            ({}, {'is_ended': True}, CloseReason.ended),
            ({}, {'unread_bytes': 1}, CloseReason.irregular),
            ({}, {'has_interim': True}, CloseReason.irregular),
            ({}, {'number': MAXIMUM_EXCHANGES}, CloseReason.worn),
        ],
    )
    def test_anything_irregular_makes_it_unfit(self, head, fields, reason):
        exchange = evolve(EXCHANGE, head=evolve(HEAD, **head), **fields)
        assert find_unfitness(exchange) is reason


class TestIdleTimes:
    @pytest.mark.parametrize(
        ('keep_alive', 'idle_s'),
        [
            (None, 3),
            (b'', 3),
            (b'soon', 3),
            (b'timeout=-4', 3),
            (b'timeout=5, max=100', 4),
            (b'max=9,Timeout = "6"', 5),
            (b'timeout=1', 0),
            (b'timeout=0', 0),
            (b'timeout=999999999', 30),
        ],
    )
    def test_is_shorter_than_that_of_the_target(self, keep_alive, idle_s):
        assert compute_idle_s(keep_alive) == idle_s


class TestBounds:
    @pytest.mark.parametrize('limit', [1, 64, 66, 100, 200, 400])
    def test_shares_stay_within_the_limit_of_a_target(self, limit):
        """Guards against instances that together take all connections."""
        ips = [f'10.0.0.{number}' for number in range(INSTANCES)]
        for target in ('d1', 'd2', 'd3'):
            total = sum(
                compute_share(limit, target, own, set(ips) - {own})
                for own in ips
            )
            assert total == min(limit, INSTANCES * MAXIMUM_PER_TARGET)

    @pytest.mark.parametrize(
        ('descriptors', 'memory_bytes', 'maximum'),
        [
            (0, 0, 64),
            (200, 0, 0),
            (100, 0, 0),
            (DESCRIPTORS, 0, 487),
            (DESCRIPTORS, MEMORY_BYTES, 256),
        ],
    )
    def test_limits_of_the_process(self, descriptors, memory_bytes, maximum):
        assert compute_maximum_idle(descriptors, memory_bytes) == maximum

    def test_closes_of_a_target_are_spread(self):
        """Guards against hundreds of connections that close at once."""
        delays = [
            compute_close_delay_s(f'10.0.0.{ip}', number)
            for ip in range(INSTANCES)
            for number in range(4)
        ]
        slots = [int(delay / CLOSE_SPREAD_S * 10) for delay in delays]
        assert max(map(slots.count, range(10))) < 2 * len(delays) / 10
        assert 0 <= min(delays) <= max(delays) < CLOSE_SPREAD_S


class TestIdleTable:
    def test_the_connection_used_last_is_taken(self):
        table = IdleTable()
        for number in range(3):
            table.add(make_idle(number))
        assert table.take(make_record(), 7, 1).number == 2
        assert len(table) == table.count_at('d1') == 2

    @pytest.mark.parametrize(
        ('record', 'idle'),
        [
            (make_record(), make_idle(1, expires_s=1)),
            (make_record(), make_idle(1, carried={7})),
            (make_record(started_ms=2), make_idle(1)),
            (make_record(address='127.0.0.1:81'), make_idle(1)),
        ],
    )
    def test_unfit_one_is_not_taken(self, record, idle):
        table = IdleTable()
        table.add(idle)
        assert table.take(record, 7, 1) is None

    @pytest.mark.parametrize(
        ('record', 'now_s', 'reasons'),
        [
            (make_record(), 1, []),
            (make_record(), 10, [CloseReason.expired]),
            (make_record(started_ms=2), 1, [CloseReason.departed]),
            (None, 1, [CloseReason.departed]),
        ],
    )
    def test_unusable_ones_are_removed(self, record, now_s, reasons):
        table = IdleTable()
        table.add(make_idle(1))
        removed = table.remove_unusable(lambda _: record, now_s)
        assert [reason for _, reason in removed] == reasons
        assert len(table) == 1 - len(reasons)
        assert not table.remove(make_idle(2))
