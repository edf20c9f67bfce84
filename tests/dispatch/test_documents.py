"""Tests of the rules of routes."""

import pytest

from tests.dispatch.samples import make_route
from trefoilhinge.dispatch.documents import CallKind


class TestRepeatableRoutes:
    @pytest.mark.parametrize(
        ('kind', 'is_resumable', 'is_repeatable'),
        [
            (CallKind.once, True, False),
            (CallKind.once, False, False),
            (CallKind.stream, True, True),
            (CallKind.stream, False, False),
            (CallKind.idempotent, False, True),
        ],
    )
    def test_call_that_must_run_once(self, kind, is_resumable, is_repeatable):
        """Guards against two runs of a call whose route is also resumable."""
        route = make_route(kind=kind, is_resumable=is_resumable)
        assert route.is_repeatable == is_repeatable
