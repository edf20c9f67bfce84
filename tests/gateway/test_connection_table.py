"""Tests of the bound on the connections that a listener keeps open."""

import asyncio

import pytest
from attrs import define

from trefoilhinge.dispatch.caller_bounds import (
    MINIMUM_CALLERS,
    MINIMUM_SERVICE,
    find_connection_bounds,
)
from trefoilhinge.gateway.connection_table import (
    ENDING_MARGIN,
    ConnectionTable,
)
from trefoilhinge.gateway.http_server import HttpResponse, serve_http
from trefoilhinge.gateway.metrics import MetricsRegistry

MAXIMUM = 3


@define(eq=False)
class Connection:
    """A connection that notes what becomes of it."""

    number: int
    made_room: bool = False
    was_closed: bool = False

    def make_room(self):
        self.made_room = True

    def close_refused(self):
        self.was_closed = True


@pytest.fixture
def table():
    return ConnectionTable('callers', MAXIMUM, None, MetricsRegistry())


def fill(table, count=MAXIMUM):
    """Open connections; return them."""
    connections = [Connection(number) for number in range(count)]
    for one in connections:
        assert table.admit()
        table.add(one)
    return connections


class TestAdmission:
    """Guards against connections without a bound."""

    def test_longest_wait_makes_room(self, table):
        first, second, third = fill(table)
        table.begin_call(first)
        table.begin_wait(first)
        assert table.admit()
        assert [one.made_room for one in (first, second, third)] == [
            False,
            True,
            False,
        ]

    def test_refused_make_room_first(self, table):
        """Those whose refusal is written need not wait any longer."""
        first, second, _third = fill(table)
        table.begin_close(second)
        assert table.admit()
        assert second.was_closed
        assert not first.made_room

    def test_calls_in_progress_are_kept(self, table):
        connections = fill(table)
        for one in connections:
            table.begin_call(one)
        assert not table.admit()
        assert not any(one.made_room for one in connections)

    def test_others_wait_while_many_end(self, table):
        """Guards against a burst that is accepted before any other ends."""
        connections = fill(table, MAXIMUM + ENDING_MARGIN)
        assert table.is_ending
        table.remove(connections[0])
        assert not table.is_ending

    def test_ended_connections_leave_room(self, table):
        connections = fill(table)
        table.remove(connections[0])
        assert table.admit()
        assert not any(one.made_room for one in connections)

    def test_report_says_whether_there_was_a_crowd(self, table):
        fill(table)
        assert not table.report()
        table.admit()
        assert table.report()
        assert not table.report()


class TestBounds:
    """Guards against bounds that clients inside the limits meet."""

    # Of the platform's machines: the smallest, and the others.
    @pytest.mark.parametrize(
        ('memory_mb', 'descriptors'),
        [(160, 4100), (200, 4100), (300, 4100), (512, 8192), (552, 8192)],
    )
    def test_machines_have_room_for_their_callers(self, memory_mb, descriptors):
        bounds = find_connection_bounds(descriptors, memory_mb * 1_048_576)
        assert bounds.callers >= 250
        assert bounds.service >= 195

    def test_descriptors_are_left_for_targets_and_others(self):
        bounds = find_connection_bounds(1000, 0)
        assert 2 * bounds.callers + 4 * bounds.service <= 1000

    def test_tiny_limits(self):
        bounds = find_connection_bounds(100, 1_048_576)
        assert bounds.callers == MINIMUM_CALLERS
        assert bounds.service == MINIMUM_SERVICE


class TestServer:
    def test_table_that_is_still_empty_bounds_a_server(self):
        """Guards against a server that takes an empty table for none."""

        async def run():
            table = ConnectionTable('peers', 2)
            server = await serve_http(
                ('127.0.0.1', 0), lambda path: HttpResponse(200), table
            )
            address = server.sockets[0].getsockname()
            opened = [await asyncio.open_connection(*address) for _ in range(6)]
            await asyncio.sleep(0.2)
            assert len(table) == 2
            for _reader, writer in opened:
                writer.close()
            server.close()

        asyncio.run(run())
