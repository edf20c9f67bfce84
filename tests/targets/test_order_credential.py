import pytest

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import ReadEngineState, SendOrder
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.standins.engines import answer_json
from trefoilhinge.standins.servers import start_server
from trefoilhinge.targets.engine_client import make_http_engine_client

TARGET = TargetName('writer-0')
TOKEN = 'a credential for orders'


@pytest.fixture
def engine():
    received_tokens = []

    def application(environ, start_response):
        received_tokens.append(environ.get('HTTP_X_ORDER_TOKEN'))
        return answer_json(start_response, {'accepted': True})

    server = start_server(application, threads=2)
    yield server.address, received_tokens
    server.stop()


def make_order(address, requires_credential):
    return SendOrder(
        target=TARGET,
        address=address,
        fence=1,
        revision=1,
        model='open-large',
        version='v1',
        adapters=(),
        role='both',
        lease=Instant(1, 1),
        requires_credential=requires_credential,
    )


class TestOrderCredential:
    def test_is_sent_to_a_target_that_authenticates_the_sender(self, engine):
        address, received_tokens = engine
        client = make_http_engine_client(TOKEN)
        assert client.send_order(make_order(address, True)).accepted
        assert received_tokens == [TOKEN]

    def test_is_sent_to_no_other_target_and_with_no_read(self, engine):
        address, received_tokens = engine
        client = make_http_engine_client(TOKEN)
        client.send_order(make_order(address, False))
        client.read_state(ReadEngineState(TARGET, address))
        assert received_tokens == [None, None]
