"""Tests of the timeline of one request."""

from trefoilhinge.client.commands import run_command_line
from trefoilhinge.client.request_timeline import describe_cause, parse_timeline

LINES = [
    '  1.0 n2 at=12.5 instance=n2 event=call_ended request=r1 outcome=failed '
    'status=502 code=answer_lost verdict=may_have_run',
    'at=12.0 instance=n1 event=call_accepted request=r1 route=book',
    'at=12.1 instance=n1 event=call_accepted request=r2 route=book',
    'at=12.3 instance=n1 event=offer_broken request=r1 target=t1 '
    'problem="the connection ended"',
    'no pairs at all',
]


class TestTimeline:
    def test_lines_of_other_requests_are_excluded(self):
        timeline = parse_timeline(LINES, 'r1')
        assert [entry.event for entry in timeline] == [
            'call_accepted',
            'offer_broken',
            'call_ended',
        ]

    def test_cause_includes_target_and_problem(self):
        cause = describe_cause(parse_timeline(LINES, 'r1'))
        assert cause.startswith('answer_lost:')
        assert 'target t1: the connection ended' in cause

    def test_cause_includes_the_limits_that_refused_it(self):
        lines = [
            'at=1.0 instance=n1 event=permit_refused request=r3 target=t1 '
            'rate=1.2 owner=10.0.0.2 waits_s=4.1',
            'at=1.1 instance=n1 event=call_ended request=r3 outcome=failed '
            'status=503 code=targets_limited verdict=not_run',
        ]
        cause = describe_cause(parse_timeline(lines, 'r3'))
        assert cause.startswith('targets_limited:')
        assert cause.endswith('limited: t1 at 1.2 a second')

    def test_unfinished_request_is_reported(self):
        assert describe_cause(parse_timeline(LINES, 'r2')).startswith(
            'not ended'
        )


class TestExplain:
    def test_prints_cause_first(self, tmp_path, capsys):
        file = tmp_path / 'log'
        file.write_text('\n'.join(LINES))
        assert run_command_line(['explain', 'r1', str(file)]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith('answer_lost')
        assert len(lines) == 4

    def test_unknown_request(self, tmp_path, capsys):
        file = tmp_path / 'log'
        file.write_text('')
        assert run_command_line(['explain', 'r9', str(file)]) == 1
        assert 'r9' in capsys.readouterr().out
