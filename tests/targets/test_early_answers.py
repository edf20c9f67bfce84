"""Tests of answers that break off while their request is being sent."""

import attrs
import pytest

from tests.targets.early_answers import PART, UNFRAMED, WHOLE, serve_early
from tests.targets.test_broken_heads import (
    CALL,
    REMAINING_S,
    make_dispatch,
)
from trefoilhinge.calls.forward_client import ForwardClient, ForwardedRequest
from trefoilhinge.core.effects import ForwardCall
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.http_requests import (
    CONNECTION_ERRORS,
    make_pool,
    read_content,
    request_json_once,
)
from trefoilhinge.targets.engine_client import make_http_engine_client
from trefoilhinge.targets.plain_client import make_http_plain_client

UPLOAD = b'{"filler": "' + b'.' * 8_000_000 + b'"}'
LONG_CALL = attrs.evolve(CALL, body=UPLOAD)
DELAYS_S = (0.0, 0.005, 0.02, 0.2)


def call_plain_service(address):
    client = make_http_plain_client()
    return client.call(
        make_dispatch(address), LONG_CALL, REMAINING_S, client.make_connection()
    )


def open_stream(address):
    client = make_http_engine_client('')
    return client.open_stream(
        make_dispatch(address), LONG_CALL, REMAINING_S, client.make_connection()
    )


def forward(address):
    client = ForwardClient('secret')
    request = ForwardedRequest(
        RequestId('r-1'),
        'mill',
        'POST',
        '/book',
        UPLOAD,
        'text/plain',
        'k',
        None,
        repeatable=False,
    )
    return client.send(
        ForwardCall(RequestId('r-1'), 'entry-1', address, 1, 0),
        request,
        REMAINING_S,
        client.make_connection(),
    )


SENDERS = {
    'plain': call_plain_service,
    'stream': open_stream,
    'forwarded': forward,
}


class TestEarlyAnswers:
    """Guards against a part of an answer that callers get as the whole one.

    The error of the reset is reported to the sending of the request, and a
    body without a length then seems to end cleanly.
    """

    @pytest.mark.parametrize('sender', SENDERS)
    @pytest.mark.parametrize('delay_s', DELAYS_S)
    def test_part_without_a_length_is_no_answer(self, sender, delay_s):
        with (
            serve_early(UNFRAMED, delay_s) as address,
            pytest.raises(TargetBroke),
        ):
            SENDERS[sender](address)

    @pytest.mark.parametrize('delay_s', DELAYS_S)
    def test_part_is_no_content_of_a_pool(self, delay_s):
        with (
            serve_early(UNFRAMED, delay_s) as address,
            make_pool() as pool,
            pytest.raises((TargetBroke, *CONNECTION_ERRORS)),
        ):
            response = pool.request(
                'POST',
                f'http://{address}/',
                body=UPLOAD,
                preload_content=False,
            )
            read_content(response, float('inf'), len(UPLOAD))

    @pytest.mark.parametrize('delay_s', DELAYS_S)
    def test_part_is_no_json_response(self, delay_s):
        with serve_early(UNFRAMED, delay_s) as address:
            fields = request_json_once(
                'POST',
                f'http://{address}/',
                {'filler': UPLOAD.decode()},
                {},
                REMAINING_S,
            )
        assert fields is None

    def test_whole_refusal_during_the_upload_is_an_answer(self):
        """Guards against a refusal of a long body that no caller gets.

        The server answers with a length and reads no further.
        """
        with serve_early(WHOLE, 0.2) as address:
            answer = call_plain_service(address)
        assert answer.status == 413
        assert answer.body == PART


class TestStatuses:
    """Guards against an answer whose status does not exist."""

    @pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
    def test_unknown_status_is_no_answer(self, status):
        content = WHOLE.replace(b'413', status)
        with serve_early(content, 0.2) as address, pytest.raises(TargetBroke):
            call_plain_service(address)
