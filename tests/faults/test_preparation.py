"""Tests of the measurement of groups."""

from trefoilhinge.faults.preparation import measure_prefill


class TestPreparation:
    """Times to the first token of a huge prompt."""

    def test_group_takes_about_as_long_as_one_engine(self):
        """Reserving and passing KV on costs little beside the prefill."""
        measured = measure_prefill(460_000)
        assert (
            measured.single_engine_s
            < measured.group_s
            < 1.05 * measured.single_engine_s
        )
