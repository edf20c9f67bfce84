"""Tests of what callers get of answers that break off during an upload."""

import pytest

from tests.calls import support
from tests.calls.test_broken_answers import redirect
from tests.targets.early_answers import PART, UNFRAMED, serve_early
from trefoilhinge.calls import forward_client
from trefoilhinge.targets import plain_client

FILLER = '.' * 6_000_000
DELAYS_S = (0.0, 0.02, 0.2)


@pytest.fixture(scope='module')
def deployment():
    running = support.start(instances=2)
    yield running
    running.stop()


@pytest.fixture(params=DELAYS_S)
def early_address(request):
    """Return the address of a server whose early answers are cut."""
    with serve_early(UNFRAMED, request.param) as address:
        yield address


def book(deployment, key, instance=0):
    return support.post(
        deployment,
        '/services/desk/bookings',
        {'seats': 2, 'filler': FILLER},
        instance,
        **{'X-Time-Limit-S': '2', 'Idempotency-Key': key},
    )


class TestEarlyAnswers:
    """Guards against a part of an answer that a caller gets as the whole."""

    def test_of_a_plain_service_is_no_success(
        self, deployment, monkeypatch, early_address
    ):
        redirect(monkeypatch, plain_client, early_address)
        answer = book(deployment, support.mint_key(deployment))
        assert answer.status in {502, 504}
        assert answer.json()['error']['verdict'] == 'may_have_run'

    def test_of_a_peer_is_no_success(
        self, deployment, monkeypatch, early_address
    ):
        redirect(monkeypatch, forward_client, early_address)
        key = support.mint_key(deployment, instance=0)
        answer = book(deployment, key, instance=1)
        assert answer.json()['error']['verdict'] == 'may_have_run'
        assert PART not in answer.data
