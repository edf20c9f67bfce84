"""Tests of the traits that are kept from targets."""

from trefoilhinge.dispatch.quarantine import (
    MAXIMUM_PROBES,
    MAXIMUM_QUARANTINED,
    PROBE_DELAYS_S,
    QUARANTINE_EXPIRY_S,
    QuarantineTable,
)

BAD = 'part/bad'


def make_table():
    table = QuarantineTable()
    assert table.record(BAD, 3, crashed_s=9, now_s=10)
    return table


class TestProbes:
    def test_probes_are_delayed_and_bounded(self):
        table = make_table()
        granted = [
            at_s for at_s in range(10, 2000) if table.grant_probe(BAD, at_s)
        ]
        first_s = 10 + PROBE_DELAYS_S[0]
        assert granted == [first_s, first_s + PROBE_DELAYS_S[1]]
        assert len(granted) == MAXIMUM_PROBES

    def test_probes_of_other_instances_count(self):
        table = make_table()
        table.record(BAD, 3, 9, 11, probes=MAXIMUM_PROBES)
        assert not table.grant_probe(BAD, 2000)

    def test_wait_until_the_next_probe_is_known(self):
        entry = make_table().get(BAD)
        assert entry.estimate_wait_s(10) == PROBE_DELAYS_S[0]
        assert entry.estimate_wait_s(100) == 0
        entry.record_probes(1, 100)
        assert entry.estimate_wait_s(101) == PROBE_DELAYS_S[1] - 1
        entry.record_probes(MAXIMUM_PROBES, 120)
        assert entry.estimate_wait_s(1000) is None

    def test_unknown_trait_is_not_probed(self):
        assert not QuarantineTable().grant_probe(BAD, 20)


class TestEnd:
    def test_answer_after_the_last_crash_frees_a_trait(self):
        table = make_table()
        assert table.free(BAD, 8.5) is None
        assert table.free(BAD, 9.5).trait == BAD
        assert table.is_empty

    def test_crash_that_is_heard_of_later_counts(self):
        table = make_table()
        table.record(BAD, 4, crashed_s=12, now_s=13)
        assert table.free(BAD, 9.5) is None

    def test_trait_that_no_call_has_expires(self):
        table = make_table()
        assert not table.expire(10 + QUARANTINE_EXPIRY_S)
        table.find([BAD])[0].seen_s = 100
        assert not table.expire(11 + QUARANTINE_EXPIRY_S)
        assert [entry.trait for entry in table.expire(1000)] == [BAD]

    def test_number_of_traits_is_bounded(self):
        table = make_table()
        for number in range(MAXIMUM_QUARANTINED * 2):
            table.record(f'part/{number}', 3, 9, 11 + number)
        assert len(table.list_all()) == MAXIMUM_QUARANTINED
        assert table.get(BAD) is None
