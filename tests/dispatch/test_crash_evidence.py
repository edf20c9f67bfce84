"""Tests of the evidence of which requests crash targets."""

from trefoilhinge.dispatch.crash_evidence import (
    MAXIMUM_CLEARED,
    MAXIMUM_SUSPECTS,
    MAXIMUM_SUSPECTS_PER_ORGANISATION,
    QUARANTINE_CRASHES,
    QUARANTINE_TARGETS,
    CrashEvidence,
    CrashReport,
)

BAD = 'part/bad'
SHARED = 'part/shared'


def report(target, crashed_s, *traits, sent_s=None, organisation='mill'):
    """Return the report of a call that was sent 0.2 s before the crash."""
    sent_s = crashed_s - 0.2 if sent_s is None else sent_s
    return CrashReport(target, 1, organisation, traits, sent_s, crashed_s)


def record_series(evidence, *traits, count, begin_s=10, **fields):
    """Record crashes one after the other; return the last suspects."""
    found = []
    for number in range(count):
        found = evidence.record(
            report(f't{begin_s}-{number}', begin_s + number, *traits, **fields)
        )
    return [suspect.trait for suspect in found]


class TestSuccession:
    def test_trait_of_crashes_in_succession_needs_quarantine(self):
        evidence = CrashEvidence()
        fewer = QUARANTINE_CRASHES - 1
        assert not record_series(evidence, BAD, count=fewer)
        assert record_series(evidence, BAD, count=1, begin_s=20) == [BAD]

    def test_crashes_at_one_time_count_as_one(self):
        """Guards against blame for targets that fail together."""
        evidence = CrashEvidence()
        for number in range(14):
            crash = report(f't{number}', 10 + number / 100, SHARED, sent_s=9)
            assert not evidence.record(crash)
        assert evidence.get(SHARED).succession == 1

    def test_many_crashes_need_only_two_in_succession(self):
        evidence = CrashEvidence()
        for number in range(QUARANTINE_TARGETS - 1):
            evidence.record(report(f't{number}', 10, BAD, sent_s=9))
        assert record_series(evidence, BAD, count=1, begin_s=11) == [BAD]

    def test_crash_that_several_calls_report_counts_once(self):
        evidence = CrashEvidence()
        for second in range(3):
            assert not evidence.record(report('t1', 10 + second / 100, BAD))
            assert not evidence.record(
                report('t1', 10 + second / 100, BAD, sent_s=10)
            )
        assert evidence.get(BAD).succession == 1

    def test_report_that_is_repeated_changes_nothing(self):
        evidence = CrashEvidence()
        crash = report('t1', 10, BAD)
        for _ in range(5):
            assert not evidence.record(crash)
        assert evidence.get(BAD).succession == 1


class TestClearing:
    def test_cleared_trait_begins_anew(self):
        evidence = CrashEvidence()
        record_series(evidence, BAD, SHARED, count=2)
        assert evidence.clear(SHARED, 12)
        assert record_series(evidence, BAD, SHARED, count=1, begin_s=20) == [
            BAD
        ]

    def test_answer_before_the_crash_clears_nothing(self):
        evidence = CrashEvidence()
        record_series(evidence, BAD, count=2)
        assert not evidence.clear(BAD, 10.5)
        assert evidence.get(BAD) is not None

    def test_report_that_arrives_after_the_clearing_is_ignored(self):
        evidence = CrashEvidence()
        evidence.clear(BAD, 10.5)
        evidence.record(report('t1', 10, BAD))
        assert evidence.is_empty

    def test_evidence_is_forgotten(self):
        evidence = CrashEvidence()
        record_series(evidence, BAD, count=2)
        evidence.record(report('t9', 1000, SHARED))
        assert evidence.get(BAD) is None


class TestExplainedCrashes:
    def test_quarantined_trait_explains_the_crash(self):
        """Guards against blame for what bad and sound requests share."""
        evidence = CrashEvidence()
        record_series(evidence, BAD, SHARED, count=2)
        for number in range(5):
            crash = report(f'u{number}', 20 + number, BAD, SHARED)
            found = evidence.record(crash, [BAD])
            assert [one.trait for one in found] == [BAD]
            witness = report(f'u{number}', 20 + number, SHARED)
            assert not evidence.record(witness)
        assert evidence.get(SHARED).succession == 2

    def test_reports_of_other_calls_that_came_first_are_dropped(self):
        evidence = CrashEvidence()
        evidence.record(report('t1', 10, SHARED))
        evidence.record(report('t1', 10, BAD, SHARED), [BAD])
        assert evidence.get(SHARED) is None


class TestBounds:
    def test_ever_new_traits_do_not_displace_evidence(self):
        evidence = CrashEvidence()
        record_series(evidence, BAD, count=2)
        for number in range(MAXIMUM_SUSPECTS * 2):
            traits = (f'part/{number}',)
            evidence.record(
                report('t', 20 + number / 1000, *traits, organisation='other')
            )
        suspects = evidence.list_suspects()
        assert len(suspects) <= MAXIMUM_SUSPECTS_PER_ORGANISATION + 1
        assert record_series(evidence, BAD, count=1, begin_s=30) == [BAD]

    def test_all_organisations_together_are_bounded(self):
        evidence = CrashEvidence()
        for number in range(MAXIMUM_SUSPECTS + 500):
            evidence.record(
                report('t', 20, f'part/{number}', organisation=str(number))
            )
        assert len(evidence.list_suspects()) == MAXIMUM_SUSPECTS

    def test_memory_of_cleared_traits_is_bounded(self):
        evidence = CrashEvidence()
        for number in range(MAXIMUM_CLEARED * 2):
            evidence.clear(f'part/{number}', number)
        assert len(evidence._cleared_s) == MAXIMUM_CLEARED
