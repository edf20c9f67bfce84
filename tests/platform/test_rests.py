"""Tests of the header in which a target asks for rest."""

import pytest

from trefoilhinge.dispatch.rests import MAXIMUM_REST_S
from trefoilhinge.platform.responses import decode_response_head

DATE = (b'Date', b'Fri, 04 Dec 2026 15:00:00 GMT')


def decode_rest(status, headers):
    """Return the rest that a response asks for, and why it cannot be read."""
    head = decode_response_head(status, headers)
    return head.rest_s, head.rest_problem


class TestRest:
    @pytest.mark.parametrize(
        ('value', 'rest_s'),
        [
            (b'3', 3),
            (b' 0.25 ', 0.25),
            (b'.5', 0.5),
            (b'0', 0),
            (b'3600', MAXIMUM_REST_S),
            (b'Fri, 04 Dec 2026 15:00:02 GMT', 2),
            (b'Fri, 04 Dec 2026 14:00:00 GMT', 0),
        ],
    )
    def test_seconds_and_dates_are_read(self, value, rest_s):
        headers = [DATE, (b'Retry-After', value)]
        assert decode_rest(503, headers) == (rest_s, '')

    @pytest.mark.parametrize(
        'value', [b'', b'-3', b'soon', b'1e3', b'inf', b'nan', b'3 s', b'\xff']
    )
    def test_anything_else_is_a_problem(self, value):
        rest_s, problem = decode_rest(503, [DATE, (b'Retry-After', value)])
        assert rest_s == 0
        assert 'neither seconds nor a date' in problem

    def test_date_needs_the_date_of_the_response(self):
        headers = [(b'Retry-After', b'Fri, 04 Dec 2026 15:00:02 GMT')]
        assert decode_rest(503, headers)[1]

    def test_other_statuses_ask_for_nothing(self):
        assert decode_rest(429, [(b'Retry-After', b'3')]) == (0, '')
        assert decode_rest(503, [DATE]) == (0, '')
