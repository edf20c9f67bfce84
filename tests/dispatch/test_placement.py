"""Tests of the placement of calls."""

from tests.dispatch.samples import (
    ENGINE_PROFILE,
    LONG_ROUTE,
    make_loads,
    make_record,
    make_records,
    make_route,
    make_short,
    make_size,
)
from trefoilhinge.dispatch.group_placement import MAXIMUM_HELPERS
from trefoilhinge.dispatch.loads import LoadTable, Run, RunPart
from trefoilhinge.dispatch.placement import (
    list_candidates,
    place_plain_call,
    place_prompt,
)
from trefoilhinge.dispatch.placement_requests import (
    USABLE_MEMORY_SHARE,
    PlacementRequest,
)


def place(loads, size, route=LONG_ROUTE, count=14, now_s=0):
    """Return the placement of a prompt on a number of targets."""
    candidates = list_candidates(make_records(count), loads)
    return place_prompt(
        candidates,
        PlacementRequest(ENGINE_PROFILE, route, size, now_s, route.timeout_s),
    )


class TestPlainCalls:
    def test_least_used_target_is_taken(self):
        loads = make_loads({'t00': 2, 't01': 1})
        chosen = place_plain_call(make_records(2), loads, 'a')
        assert chosen.name == 't01'

    def test_near_target_is_taken_among_equals(self):
        records = [
            make_record('t00', failure_domain='b'),
            make_record('t01', failure_domain='a'),
        ]
        assert place_plain_call(records, LoadTable(), 'a').name == 't01'

    def test_no_target_gives_no_placement(self):
        assert place_plain_call([], LoadTable(), 'a') is None


class TestShortPrompts:
    def test_is_packed_onto_targets_with_short_streams(self):
        loads = make_loads({'t00': 4})
        placement = place(loads, make_size(5000), make_route(), now_s=0.5)
        assert placement.parts[0].target == 't00'

    def test_avoids_the_last_slot_as_loads_may_be_stale(self):
        loads = make_loads({'t00': 7})
        placement = place(loads, make_size(5000), make_route())
        assert placement.parts[0].target != 't00'

    def test_avoids_a_target_that_prefills_a_long_prompt(self):
        loads = make_loads({'t00': 3})
        prefill = RunPart('t00', 2.0, 0, has_slot=False)
        loads.record_start(Run('me', 99, (prefill,), 0, 0, 0, 0), 10, 0)
        placement = place(loads, make_size(5000), make_route())
        assert placement.parts[0].target != 't00'

    def test_burst_never_exceeds_the_slots_of_a_target(self):
        """A burst has 2.5 times the usual short calls and no long ones."""
        loads = LoadTable()
        for number in range(14 * ENGINE_PROFILE.slots):
            placement = place(loads, make_size(5000), make_route())
            run = make_short(number, placement.parts[0].target)
            loads.record_start(run, 10, 0)
        most = max(load.running for load in loads.targets.values())
        assert most <= ENGINE_PROFILE.slots

    def test_late_call_takes_the_shortest_wait(self):
        """A call that is late at each target still goes where it is served first.

        Without a price of the wait past the SLO, late calls would all go to the
        first target.
        """
        loads = LoadTable()
        for number in range(14):
            part = RunPart(f't{number:02}', 2 - number / 10, 0, has_slot=False)
            loads.record_start(Run('me', number, (part,), 0, 0, 0, 0), 10, 0)
        placement = place(loads, make_size(5000), make_route())
        assert placement.first_event_s > make_route().slo_s
        assert placement.parts[0].target == 't13'

    def test_has_no_helpers(self):
        placement = place(LoadTable(), make_size(5000), make_route())
        assert len(placement.parts) == 1


class TestLongPrompts:
    def test_is_prefilled_by_several_targets(self):
        placement = place(LoadTable(), make_size(133_000))
        assert len(placement.parts) > 1
        assert placement.first_event_s < LONG_ROUTE.slo_s

    def test_is_delayed_by_the_backlog_of_its_targets(self):
        """Engines prefill the newest prompt first.

        A prompt that is sent too early would delay the ones in progress.
        """
        loads = LoadTable()
        parts = tuple(
            RunPart(f't{number:02}', 1.0, 0, has_slot=number == 0)
            for number in range(14)
        )
        loads.record_start(Run('me', 1, parts, 0, 0, 1, 0), 10, 0)
        placement = place(loads, make_size(133_000), now_s=0.4)
        assert round(placement.send_delay_s, 6) == 0.6

    def test_is_sent_at_once_to_idle_targets(self):
        assert place(LoadTable(), make_size(133_000)).send_delay_s == 0

    def test_avoids_targets_with_short_streams(self):
        loads = make_loads({'t00': 7, 't01': 7, 't02': 7})
        placement = place(loads, make_size(133_000))
        used = {part.target for part in placement.parts}
        assert not used & {'t00', 't01', 't02'}


class TestPromptsBeyondOneTarget:
    def test_is_stored_at_more_than_one_target(self):
        placement = place(LoadTable(), make_size(300_000))
        assert len(placement.reserved_tokens) >= 2
        assert sum(placement.reserved_tokens) >= 301_300

    def test_each_reservation_fits_its_target(self):
        loads = make_loads({f't{number:02}': 7 for number in range(7)})
        placement = place(loads, make_size(600_000))
        for part, reserved in zip(placement.parts, placement.reserved_tokens):
            free = (
                ENGINE_PROFILE.memory_tokens * USABLE_MEMORY_SHARE
                - loads.get(part.target).memory_tokens
            )
            assert reserved <= free

    def test_no_reservation_is_empty(self):
        """Engines refuse a reservation of zero tokens."""
        full = RunPart('t00', 0, 222_000, has_slot=True)
        loads = LoadTable()
        for number in range(12):
            part = RunPart(f't{number:02}', 0, 222_000, has_slot=True)
            loads.record_start(Run('me', number, (part,), 0, 0, 1, 0), 10, 0)
        assert full.memory_tokens == 222_000
        placement = place(loads, make_size(300_000))
        assert placement is not None
        assert min(placement.reserved_tokens) > 0

    def test_has_no_more_helpers_than_the_platform_accepts(self):
        """The platform refuses a header with 17 entries."""
        placement = place(LoadTable(), make_size(280_000), count=23)
        assert len(placement.reserved_tokens) >= 2
        assert len(placement.parts) <= MAXIMUM_HELPERS

    def test_is_not_placed_if_all_memory_is_in_use(self):
        loads = LoadTable()
        for number in range(3):
            part = RunPart(f't{number:02}', 0, 200_000, has_slot=True)
            loads.record_start(Run('me', number, (part,), 0, 0, 1, 0), 10, 0)
        assert place(loads, make_size(300_000), count=3) is None
