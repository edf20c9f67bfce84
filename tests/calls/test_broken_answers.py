"""Tests of what callers get of answers that break off at a target or a peer."""

from types import SimpleNamespace

import pytest

from tests.calls import support
from tests.targets.broken_answers import serve_broken
from trefoilhinge.calls import forward_client
from trefoilhinge.demo.callers import CallOutcome, DemoCallers
from trefoilhinge.demo.workload import CallKind, PlannedCall
from trefoilhinge.targets import engine_client, http_requests, plain_client

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
ANSWER = HEAD + b'Content-Length: 6\r\n\r\nbooked'
PADDED_CHUNKS = (
    HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'00000004\r\nbook\r\n00000002\r\ned\r\n00000000\r\n\r\n'
)
CUTS = {
    'within the status line': (ANSWER, 14),
    'after the status line': (ANSWER, ANSWER.index(b'\n') + 1),
    'within a header': (ANSWER, len(HEAD) - 9),
    'before the length': (ANSWER, len(HEAD)),
    'within the length': (ANSWER, len(HEAD) + 16),
    'before the blank line': (ANSWER, ANSWER.index(b'\r\n\r\n') + 2),
    'within the blank line': (ANSWER, ANSWER.index(b'\r\n\r\n') + 3),
    'within a size': (PADDED_CHUNKS, PADDED_CHUNKS.index(b'00000002') + 3),
    'within the last size': (PADDED_CHUNKS, len(PADDED_CHUNKS) - 8),
}


@pytest.fixture(scope='module')
def deployment():
    running = support.start(instances=2)
    yield running
    running.stop()


@pytest.fixture(params=CUTS)
def broken_address(request):
    """Return the address of a server whose answers are cut."""
    content, cut = CUTS[request.param]
    with serve_broken(content) as (answers, address):
        answers.cut = cut
        yield address


def redirect(monkeypatch, module, address):
    """Let the requests of a client go to another address."""

    def send(method, _, *arguments, **options):
        return http_requests.send_request(
            method, address, *arguments, **options
        )

    monkeypatch.setattr(module, 'send_request', send)


def book(deployment, key, instance=0):
    return support.post(
        deployment,
        '/services/desk/bookings',
        {'seats': 2},
        instance,
        **{'X-Time-Limit-S': '2', 'Idempotency-Key': key},
    )


class TestBrokenAnswers:
    """Guards against an empty or short 200 that is framed as whole."""

    def test_of_a_plain_service_is_no_success(
        self, deployment, monkeypatch, broken_address
    ):
        redirect(monkeypatch, plain_client, broken_address)
        answer = book(deployment, support.mint_key(deployment))
        assert answer.status in {502, 504}
        assert answer.json()['error']['verdict'] == 'may_have_run'

    def test_of_a_peer_is_no_success(
        self, deployment, monkeypatch, broken_address
    ):
        redirect(monkeypatch, forward_client, broken_address)
        key = support.mint_key(deployment, instance=0)
        answer = book(deployment, key, instance=1)
        assert answer.json()['error']['code'] == 'key_owner_gone'
        assert answer.json()['error']['verdict'] == 'may_have_run'
        assert answer.status == 409

    def test_of_an_engine_is_no_success(
        self, deployment, monkeypatch, broken_address
    ):
        redirect(monkeypatch, engine_client, broken_address)
        answer = support.complete(
            deployment, stream=False, **{'X-Time-Limit-S': '1'}
        )
        assert answer.status in {502, 504}
        assert answer.json()['error']['verdict'] == 'may_have_run'


class TestDemoCallers:
    def test_broken_answer_counts_as_cut_off(self, broken_address):
        """Guards against bookings that the demo counts though they failed."""
        deployment = SimpleNamespace(key='k', urls=[f'http://{broken_address}'])
        call = PlannedCall(CallKind.LOOKUP, 'desk', reference='r-1')
        (result,) = DemoCallers(deployment).send_all((call,))
        assert result.outcome == CallOutcome.CUT_OFF
