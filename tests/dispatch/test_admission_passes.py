"""Tests of what bounds the processor time of admission."""

import pytest
from attrs import evolve

from tests.dispatch.samples import (
    ENGINE_PROFILE,
    make_loads,
    make_records,
    make_short,
)
from tests.dispatch.test_admission import CALL, make_rooms
from trefoilhinge.dispatch.admission.allotment import allot
from trefoilhinge.dispatch.admission.bursts import BurstTable
from trefoilhinge.dispatch.admission.order import rank_queue
from trefoilhinge.dispatch.admission.pacing import (
    MAXIMUM_PASSES_PER_S,
    PassPacer,
)
from trefoilhinge.dispatch.admission.renewals import compute_report_interval_s
from trefoilhinge.dispatch.admission.rooms import ServiceRooms
from trefoilhinge.dispatch.admission.waiting import WaitingTable


class TestPace:
    """Guards against a pass for each message of a busy service."""

    def test_passes_are_bounded_in_any_second(self):
        pacer = PassPacer()
        times_s = []
        now_s = 0
        while now_s < 5:
            now_s = max(now_s + 0.001, pacer.find_time_s(now_s))
            pacer.record(now_s)
            times_s.append(now_s)
        for begin_s in times_s:
            within = [one for one in times_s if 0 <= one - begin_s < 1]
            assert len(within) <= MAXIMUM_PASSES_PER_S

    def test_first_passes_are_not_delayed(self):
        pacer = PassPacer()
        pacer.record(1)
        assert pacer.find_time_s(1.002) == 1.002

    @pytest.mark.parametrize(
        ('instances', 'interval_s'), [(8, 1), (91, 4.55), (410, 5)]
    )
    def test_reports_of_runs_are_spread(self, instances, interval_s):
        assert compute_report_interval_s(instances) == interval_s


class TestRooms:
    """Guards against rooms that are outdated, or all made anew."""

    def test_only_the_room_of_a_changed_target_is_made_anew(self):
        loads = make_loads({'t00': 8, 't01': 8})
        rooms = ServiceRooms()
        rooms.list_targets(make_records(3), loads, 0)
        rooms.refresh(ENGINE_PROFILE, None, set())
        before = dict(rooms.rooms)
        version = rooms.version
        assert [room.slots for room in before.values()] == [0, 0, 8]
        loads.record_end(('me', 1), 1)
        rooms.refresh(ENGINE_PROFILE, None, set())
        assert rooms.rooms['t00'].slots == 1
        assert rooms.rooms['t01'] is before['t01']
        assert rooms.version == version + 1
        loads.record_start(make_short(99, 't00'), 10, 1)
        rooms.refresh(ENGINE_PROFILE, None, set())
        assert rooms.rooms['t00'].slots == 0
        assert rooms.version == version + 1

    def test_full_target_has_no_slot_until_it_is_not_full(self):
        rooms = ServiceRooms()
        rooms.list_targets(make_records(1), make_loads({}), 0)
        rooms.refresh(ENGINE_PROFILE, None, {'t00'})
        assert rooms.rooms['t00'].slots == 0
        rooms.refresh(ENGINE_PROFILE, None, set())
        assert rooms.rooms['t00'].slots == 8

    def test_target_that_is_not_usable_has_no_room(self):
        rooms = ServiceRooms()
        rooms.list_targets(make_records(2), make_loads({}), 0)
        rooms.refresh(ENGINE_PROFILE, None, set())
        rooms.list_targets(make_records(1), make_loads({}), 1)
        rooms.refresh(ENGINE_PROFILE, None, set())
        assert list(rooms.rooms) == ['t00']


class TestRanking:
    def test_calls_are_ranked_as_far_as_slots_are_free(self):
        """Guards against a pass over all calls for each end of a run."""
        table = WaitingTable()
        for number in range(100):
            table.add(evolve(CALL, number=number, stamp=number + 1), 0)
        queue = table.get_queue(CALL.service)
        found = allot(
            rank_queue(queue, table.usage, 1), make_rooms(9e4, 9e4), 1
        )
        assert list(found.positions.values()) == [0, 1]
        assert queue.count == 100

    def test_removed_calls_are_not_ranked(self):
        table = WaitingTable()
        calls = [
            evolve(CALL, number=number, stamp=1, organisation=number % 2)
            for number in range(6)
        ]
        for call in calls:
            table.add(call, 0)
        for call in calls[:5]:
            table.remove(call.key)
        queue = table.get_queue(CALL.service)
        assert list(rank_queue(queue, table.usage, 1)) == calls[5:]
        table.remove(calls[5].key)
        assert not table.get_queue(CALL.service).count


class TestGroupAllotment:
    """Guards against memory of a group that calls behind it take."""

    def test_group_takes_the_memory_that_it_needs(self):
        large = evolve(CALL, memory_tokens=300_000)
        middle = evolve(CALL, number=2, stamp=2, memory_tokens=150_000)
        rooms = make_rooms(190_000, 190_000, 190_000)
        found = allot([large, middle], rooms, 1)
        assert set(found.targets) == {large.key, middle.key}
        assert found.targets[middle.key] == 't2'
        assert not allot([large, middle], rooms[:2], 1).targets.get(middle.key)

    def test_group_without_a_free_slot_waits(self):
        large = evolve(CALL, memory_tokens=300_000)
        assert not allot(
            [large], make_rooms(190_000, 190_000, slots=0), 1
        ).targets


class TestBursts:
    def test_calls_beyond_the_part_of_an_instance_are_announced(self):
        """Guards against bursts that fill the same slots at all instances."""
        bursts = BurstTable()
        assert bursts.count_part('model', 10, 0) == 10
        bursts.record('model', 0)
        assert bursts.count_part('model', 10, 0.001) == 19
        assert bursts.count_part('model', 10, 1) == 10
        assert bursts.count_ample('model', None, 1) == float('inf')
