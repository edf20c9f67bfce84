"""Tests of few readers of the store, without a network."""

import msgpack
import pytest
from attrs import evolve

from tests.dispatch.store_fleets import measure_loss_of_readers, run_day
from tests.gateway.documents import make_settings
from trefoilhinge.dispatch.evacuations import DomainMark
from trefoilhinge.dispatch.message_codec import (
    MAXIMUM_DATAGRAM_BYTES,
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.store_read_codec import (
    StoreRead,
    TargetRemoved,
    split_read,
)
from trefoilhinge.dispatch.store_readers import (
    CHECK_INTERVAL_S,
    DOCUMENT_WAIT_S,
    FRESH_S,
    SILENT_READER_S,
    LOOKOUTS,
    HeardReads,
    ReaderTable,
    ReadReason,
    Role,
    is_lookout,
    uses_store_readers,
)
from trefoilhinge.dispatch.targets import TargetRecord

LIMIT_S = 3.0
NOW_S = 100.0
IPS = [f'10.0.0.{number}' for number in range(1, 20)]


def make_record(number):
    """Return a record of ordinary size."""
    return TargetRecord(
        f'engine-{number}', 'model', f'10.0.0.{number % 250}:8000', 'a', 16,
        False, 1_700_000_000_000, 5, number, 2.5,
    )  # fmt: skip


def removed(*revisions):
    """Return removals at revisions."""
    return tuple(TargetRemoved(f'm{number}', number) for number in revisions)


def find_reason(heard, revision, now_s, read_s=NOW_S):
    """Return why a follower reads the store by a time."""
    read = heard.find_own_read(revision, read_s, 1.2, 0)
    return read.reason if read.at_s <= now_s else None


class TestFleets:
    def test_calls_to_the_store_fall_to_a_quarter(self):
        """Guards against the price of a store that each instance watches."""
        calls = [
            run_day(91, has_readers=has_readers).calls
            for has_readers in (False, True)
        ]
        assert calls[1] < 0.25 * calls[0]

    @pytest.mark.parametrize('loss', (0.01, 0.2))
    def test_changes_are_in_force_in_time_with_messages_lost(self, loss):
        """Guards against a change that is lost on the way to some."""
        fleet = run_day(91, loss, duration_s=20)
        assert max(fleet.list_delays_s()) < LIMIT_S

    @pytest.mark.parametrize('fault', ('killed', 'frozen', 'cut'))
    def test_change_is_in_force_though_all_readers_fail(self, fault):
        """Guards against followers that wait for readers that are away."""
        for seed in range(3):
            delay_s = measure_loss_of_readers(48, fault, 0.2, seed)
            assert delay_s < LIMIT_S

    def test_large_fleet_loses_its_readers(self):
        """Guards against bounds that hold in the smaller fleet only."""
        assert measure_loss_of_readers(410, 'killed') < LIMIT_S


class TestRoles:
    def test_silent_reader_is_replaced_until_it_tells_a_read(self):
        """Guards against a failure domain whose readers are cut or frozen."""
        table = ReaderTable(IPS[0])
        readers = set(table.list_readers(IPS, NOW_S))
        if IPS[0] in readers:
            readers.remove(IPS[0])
        silent = readers.pop()
        late_s = NOW_S + SILENT_READER_S + 0.1
        for ip in readers:
            table.record_told(ip, late_s)
        assert silent not in table.list_readers(IPS, late_s)
        table.record_told(silent, late_s)
        assert silent in table.list_readers(IPS, late_s)

    def test_all_instances_select_the_same_two(self):
        """Guards against a failure domain in which many read, or none."""
        tables = [ReaderTable(ip) for ip in IPS]
        assert len({table.list_readers(IPS, NOW_S) for table in tables}) == 1
        roles = [table.find_role(IPS, NOW_S) for table in tables]
        assert roles.count(Role.reader) == 2

    @pytest.mark.parametrize(
        ('fields', 'instances', 'expected'),
        [
            ({'has_scarce_room': True}, 16, True),
            ({'has_scarce_room': True}, 15, False),
            ({}, 91, False),
            (
                {'has_scarce_room': True, 'allows_store_readers': False},
                91,
                False,
            ),
        ],
    )
    def test_switch(self, fields, instances, expected):
        """Guards against a change of deployments that did not ask for it."""
        settings = evolve(make_settings(1), **fields)
        assert uses_store_readers(settings, None, instances) is expected


class TestHeardReads:
    def test_gap_is_closed_by_the_read_of_another_reader(self):
        """Guards against own reads for each lost message."""
        heard = HeardReads()
        late = StoreRead(12, 13, 0, 0, removed(13))
        assert heard.record(late, 'a', 10, NOW_S) == ([], 10)
        assert heard.find_gap(10) == evolve(late, changes=())
        other = StoreRead(9, 12, 0, 0, removed(10, 11, 12))
        changes, revision = heard.record(other, 'b', 10, NOW_S + 0.05)
        assert (tuple(changes), revision) == (removed(11, 12, 13), 13)
        assert heard.find_gap(13) is None

    def test_gap_that_stays_is_read_soon(self):
        """Guards against an instance that lacks a change that it missed."""
        heard = HeardReads()
        heard.record(StoreRead(10, 10, 0, 0), 'a', 10, NOW_S)
        heard.record(StoreRead(12, 13, 0, 0, removed(13)), 'a', 10, NOW_S)
        assert find_reason(heard, 10, NOW_S + 0.35, NOW_S - 2) is ReadReason.gap
        heard.record_own(13)
        assert find_reason(heard, 13, NOW_S + 0.35) is None

    def test_read_of_which_a_part_is_lost_is_a_gap(self):
        """Guards against a part that counts as the whole read."""
        heard = HeardReads()
        part = StoreRead(10, 12, 0, 0, removed(12), part=1, parts=2)
        assert heard.record(part, 'a', 10, NOW_S) == ([], 10)
        assert heard.find_gap(10) is not None
        first = evolve(part, changes=removed(11), part=0)
        changes, revision = heard.record(first, 'a', 10, NOW_S)
        assert (tuple(changes), revision) == (removed(11, 12), 12)

    def test_old_read_that_comes_late_proves_nothing_new(self):
        """Guards against a lagging reader that keeps others from the store."""
        heard = HeardReads()
        heard.record(StoreRead(10, 10, 1.5, 0), 'a', 10, NOW_S)
        assert heard.fresh_s == NOW_S - 1.5
        heard.record(StoreRead(8, 9, 0, 0, removed(9)), 'b', 10, NOW_S + 1)
        assert heard.fresh_s == NOW_S - 1.5
        now_s = NOW_S - 1.5 + FRESH_S
        assert find_reason(heard, 10, now_s) is ReadReason.stale

    def test_store_is_checked_though_all_is_heard(self):
        """Guards against a reader that leaves changes out."""
        heard = HeardReads()
        now_s = NOW_S + CHECK_INTERVAL_S
        heard.record(StoreRead(10, 10, 0, 0), 'a', 10, now_s)
        assert find_reason(heard, 10, now_s) is ReadReason.check

    def test_document_that_peers_do_not_deliver_is_read_once(self):
        """Guards against a revoked key that stays in force.

        A forged version must not make an instance read again and again.
        """
        heard = HeardReads()
        heard.record(StoreRead(10, 10, 0, 7), 'a', 10, NOW_S)
        assert heard.find_document_read(7, 0) is None
        assert heard.find_document_read(6, 0).at_s == NOW_S + DOCUMENT_WAIT_S
        heard.record_document()
        heard.record(StoreRead(10, 10, 0, 7), 'a', 10, NOW_S + 1)
        assert heard.find_document_read(6, 0) is None

    def test_forged_reads_do_not_fill_the_memory(self):
        """Guards against an instance that runs out of memory."""
        heard = HeardReads()
        for number in range(500):
            read = StoreRead(20 + number, 30 + number, 0, 0)
            heard.record(read, 'a', 10, NOW_S)
        assert len(heard._pending) <= 32


class TestCodec:
    def test_parts_of_a_read_fit_packets(self):
        """Guards against datagrams that are dropped on the way."""
        changes = (
            *(make_record(number) for number in range(1, 60)),
            *removed(60),
            DomainMark('a', is_evacuated=True, revision=61),
        )
        parts = split_read(StoreRead(0, 61, 0.25, 3, changes))
        assert len(parts) > 1
        decoded = []
        for part in parts:
            data = encode_message(part)
            assert len(data) <= MAXIMUM_DATAGRAM_BYTES
            assert decode_message(data, 0).ok == part
            decoded.extend(part.changes)
        assert tuple(decoded) == changes

    def test_read_of_too_many_changes_is_not_told(self):
        """Guards against a burst of datagrams after a long gap."""
        changes = tuple(make_record(number) for number in range(1, 900))
        assert not split_read(StoreRead(0, 900, 0, 0, changes))

    @pytest.mark.parametrize(
        'fields',
        [
            [5, 4, 0, 1, 0, 1, []],
            [1, 2, -1, 1, 0, 1, []],
            [1, 2, 0, 1, 1, 1, []],
            [1, 2, 0, 1, 0, 99, []],
            [1, 2, 0, -1, 0, 1, []],
            [1, 2, 0, 1, 0, 1, [['r', 'm1', 3]]],
            [1, 2, 0, 1, 0, 1, [['r', 5, 2]]],
            [
                1,
                2,
                0,
                1,
                0,
                1,
                [['t', 'm1', 's', 'x', 'a', 1, False, 0, 0, 2, 0]],
            ],
            [1, 2, 0, 1, 0, 1, [['v', '', True, 2]]],
            [1, 2, 0, 1, 0, 1],
        ],
    )
    def test_malformed_read_is_refused(self, fields):
        """Guards against a message that ends the socket or forges a state."""
        assert decode_message(msgpack.packb(['sr', *fields]), 0).is_error()


class TestLookouts:
    """Guards against a lost answer that no instance notices soon."""

    @pytest.mark.parametrize('count', [1, 3, 8, 9, 16, 61, 195])
    def test_eight_instances_notice_it(self, count):
        ips = [f'10.0.{number}' for number in range(count)]
        lookouts = [ip for ip in ips if is_lookout(ip, set(ips) - {ip})]
        assert len(lookouts) == min(count, LOOKOUTS)
