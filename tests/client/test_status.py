import json

import cattrs
import pytest

from trefoilhinge.client.commands import run_command_line
from trefoilhinge.conf.generated.status import Finding, NodeStatus, TargetStatus
from trefoilhinge.standins.servers import start_server

STATUS = NodeStatus(
    instance='entry-1',
    incarnation=7,
    ready=True,
    stopping=False,
    revision=3,
    digest='a' * 64,
    calls=0,
    queued=0,
    targets=(
        TargetStatus(
            name='writer-0', service='writer', failure_domain='k', leaving=True
        ),
    ),
)


@pytest.fixture
def serve():
    servers = []

    def start(body, status='200 OK'):
        def application(environ, start_response):
            assert environ['PATH_INFO'] == '/status'
            start_response(status, [('Content-Length', str(len(body)))])
            return [body]

        servers.append(start_server(application))
        return servers[-1].address

    yield start
    for server in servers:
        server.stop()


def encode(status, **extra_fields):
    return json.dumps({**cattrs.unstructure(status), **extra_fields}).encode()


def make_finding(severity):
    return Finding(severity=severity, code=f'a_{severity}', message='See.')


class TestStatus:
    def test_healthy_instance(self, serve, capsys):
        address = serve(encode(STATUS))
        assert run_command_line(['status', f'http://{address}/']) == 0
        output = capsys.readouterr().out
        assert output.startswith('Nothing is wrong.\n')
        assert 'entry-1: ready' in output
        assert 'writer/writer-0: leaving, no load report' in output

    def test_unknown_field_of_a_newer_instance_is_ignored(self, serve):
        assert (
            run_command_line(['status', serve(encode(STATUS, colour='green'))])
            == 0
        )

    def test_notice_requires_no_action(self, serve):
        body = encode(
            STATUS, findings=[cattrs.unstructure(make_finding('notice'))]
        )
        assert run_command_line(['status', serve(body)]) == 0

    def test_most_severe_finding_is_shown_first(self, serve, capsys):
        bodies = [
            encode(
                STATUS, findings=[cattrs.unstructure(make_finding(severity))]
            )
            for severity in ('warning', 'error')
        ]
        urls = ','.join(serve(body) for body in bodies)
        assert run_command_line(['status', urls]) == 1
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith('ERROR')
        assert lines[1].startswith('WARNING')

    @pytest.mark.parametrize(
        ('body', 'status'),
        [
            (b'{}', '200 OK'),
            (b'[' * 100_000, '200 OK'),
            (b'\xff', '200 OK'),
            (encode(STATUS), '503 Service Unavailable'),
        ],
    )
    def test_invalid_status_is_reported(self, serve, capsys, body, status):
        assert run_command_line(['status', serve(body, status)]) == 2
        assert capsys.readouterr().err

    def test_unreachable_instance(self, capsys):
        assert run_command_line(['status', '127.0.0.1:1', '--format=json']) == 2
        captured = capsys.readouterr()
        assert json.loads(captured.out)[0]['status'] is None
        assert 'no answer' in captured.err
