"""Tests of who is shed when an instance holds too much for its callers."""

from trefoilhinge.dispatch.held_bytes import (
    HeldBytes,
    HeldLimits,
    Holder,
    find_held_limits,
)


def make_holders(held, *sizes, organisation='mill'):
    """Return connections of an organisation that hold bytes."""
    holders = []
    for size in sizes:
        holder = Holder(organisation)
        assert not held.add(holder, size)
        holders.append(holder)
    return holders


class TestHeldBytes:
    """Guards against an instance that ends for lack of memory."""

    def test_largest_connection_of_the_largest_organisation_is_shed(self):
        """The largest connection of all may belong to a modest organisation."""
        held = HeldBytes(HeldLimits(100))
        make_holders(held, 40, organisation='modest')
        _, largest = make_holders(held, 25, 30)
        (small,) = make_holders(held, 4)
        assert held.add(small, 5) == [largest]
        assert held.total_bytes == 74

    def test_what_is_shed_counts_no_more(self):
        """Guards against shedding several for what one still releases."""
        held = HeldBytes(HeldLimits(100))
        big, small = make_holders(held, 90, 5)
        assert held.add(small, 10) == [big]
        assert not held.add(small, 1)
        assert not held.add(big, -90)
        assert held.total_bytes == 16

    def test_connection_and_organisation_are_bounded(self):
        held = HeldBytes(HeldLimits(1000, 100, 60))
        first, second = make_holders(held, 50, 45)
        assert held.add(second, 10) == [second]
        assert held.add(first, 11) == [first]
        assert not held.total_bytes

    def test_bytes_count_for_an_organisation_once_it_is_known(self):
        held = HeldBytes(HeldLimits(1000, 100))
        make_holders(held, 60)
        (late,) = make_holders(held, 90, organisation='')
        assert held.set_organisation(late, 'mill') == [late]
        assert held.total_bytes == 60

    def test_nothing_is_shed_where_no_memory_is_known(self):
        limits = find_held_limits(0, has_scarce_room=True)
        held = HeldBytes(limits)
        make_holders(held, 10**12, 10**12)

    def test_single_call_of_the_largest_size_fits(self):
        """The largest answer and the usual limit of bodies, 12 MB together."""
        limits = find_held_limits(200_000_000, has_scarce_room=True)
        assert limits.instance_bytes == 40_000_000
        assert limits.connection_bytes > 4_194_304 + 8_388_608


class TestArrivals:
    """Guards against a crowd that has longer requests of others shed."""

    def test_request_that_stopped_is_shed_before_a_longer_one(self):
        held = HeldBytes(HeldLimits(100))
        stopped = [Holder(is_arriving=True, began_s=0) for _ in range(3)]
        for one in stopped:
            assert not held.add(one, 30, now_s=0)
        longer = Holder(is_arriving=True, began_s=5)
        (shed,) = held.add(longer, 40, now_s=5.1)
        assert shed in stopped

    def test_arriving_request_is_shed_before_one_that_is_served(self):
        held = HeldBytes(HeldLimits(100))
        served = Holder()
        held.add(served, 60, now_s=0)
        arriving = Holder(is_arriving=True, began_s=0)
        assert held.add(arriving, 50, now_s=1) == [arriving]
