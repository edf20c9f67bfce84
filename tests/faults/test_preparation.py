"""Tests of the measurement of prefill times."""

from trefoilhinge.faults.preparation import measure_prefill


class TestPrefillTimes:
    """Time to the first token of a huge prompt."""

    def test_group_takes_about_as_long_as_one_engine(self):
        """Reservations and KV transfers add less than 5 % to the prefill."""
        measured = measure_prefill(460_000)
        assert (
            measured.single_engine_s
            < measured.group_s
            < 1.05 * measured.single_engine_s
        )
