"""Tests of answers that break off within their head or their framing."""

import select

import pytest

from tests.targets.broken_answers import (
    close,
    fall_silent,
    half_close,
    reset,
    serve_broken,
)
from trefoilhinge.calls.forward_client import ForwardClient, ForwardedRequest
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    Dispatch,
    ForwardCall,
    QueryStream,
    ReadDocument,
    ReleaseHolding,
    SendOrder,
    SendPeerMessage,
)
from trefoilhinge.core.identifiers import (
    AttemptId,
    RequestId,
    StreamId,
    TargetName,
)
from trefoilhinge.core.reports import StreamState
from trefoilhinge.core.sse import DONE_DATA, StreamEvent, encode_event
from trefoilhinge.entry.peers import PeerClient
from trefoilhinge.targets import http_requests
from trefoilhinge.targets.engine_client import make_http_engine_client
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.http_requests import make_pool
from trefoilhinge.targets.interfaces import OutgoingCall
from trefoilhinge.targets.plain_client import make_http_plain_client
from trefoilhinge.targets.platform_client import make_http_platform_client

REMAINING_S = 5.0
SHORT_S = 0.05
NOW = Instant(0, 0)
TARGET = TargetName('writer-0')
ATTEMPT = AttemptId(RequestId('r-1'), 1)
CALL = OutgoingCall('POST', '/book', b'tea', 'application/json')
TYPE = b'Content-Type: application/json\r\n'
LENGTH = b'Content-Length: 12\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
HEADS = {
    'length': b'HTTP/1.1 200 OK\r\n' + TYPE + LENGTH,
    'length first': b'HTTP/1.1 200 OK\r\n' + LENGTH + TYPE,
    'chunks': b'HTTP/1.1 200 OK\r\n' + TYPE + CHUNKED,
    'neither': b'HTTP/1.1 200 OK\r\n' + TYPE,
    'old': b'HTTP/1.0 200 OK\r\n' + TYPE,
    'lines without a return': b'HTTP/1.1 200 OK\nContent-Length: 12\n',
    'continue': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n' + LENGTH,
    'not found': b'HTTP/1.1 404 Not Found\r\n' + LENGTH,
    'failure': b'HTTP/1.1 500 Odd\r\n' + LENGTH,
    'refusal': (
        b'HTTP/1.1 503 Full\r\nX-Not-Started: 1\r\nRetry-After: 10\r\n' + LENGTH
    ),
}
ENDS = {'close': close, 'half-close': half_close, 'reset': reset}
SUCCESS = b'HTTP/1.1 200 OK\r\n'
# Sizes with leading zeros, of which a part reads as the last chunk.
CHUNKS = b'0004\r\nbook\r\n002;a=b\r\ned\r\n0000\r\nX-Sum: 1\r\n\r\n'


def make_dispatch(address):
    return Dispatch(
        attempt=ATTEMPT,
        target=TARGET,
        address=address,
        priority=0,
        deadline_s=0,
        lease=NOW,
        fresh_connection=True,
    )


def call_plain_service(address, remaining_s=REMAINING_S):
    client = make_http_plain_client()
    return client.call(
        make_dispatch(address), CALL, remaining_s, client.make_connection()
    )


def open_stream(address, remaining_s=REMAINING_S):
    client = make_http_engine_client('')
    return client.open_stream(
        make_dispatch(address), CALL, remaining_s, client.make_connection()
    )


def forward(address, remaining_s=REMAINING_S):
    client = ForwardClient('secret')
    request = ForwardedRequest(
        RequestId('r-1'),
        'mill',
        'POST',
        '/book',
        b'tea',
        'text/plain',
        'k',
        None,
        repeatable=False,
    )
    return client.send(
        ForwardCall(RequestId('r-1'), 'entry-1', address, 1, 0),
        request,
        remaining_s,
        client.make_connection(),
    )


SENDERS = {
    'plain': call_plain_service,
    'stream': open_stream,
    'forwarded': forward,
}


def list_cuts_taken(answers, send, cuts):
    """Return the cuts after which an answer was not taken for broken."""
    taken = []
    for answers.cut in cuts:
        try:
            send()
        except TargetBroke:
            continue
        taken.append(answers.content[: answers.cut])
    return taken


class TestCalls:
    """Guards against a broken answer that callers get as a whole one.

    ``LineReader`` keeps the end of a connection from ending a head.
    """

    @pytest.mark.parametrize('sender', SENDERS)
    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('head', HEADS)
    def test_broken_head_is_no_answer(self, head, end, sender):
        content = HEADS[head]
        with serve_broken(content, ENDS[end]) as (answers, address):
            assert not list_cuts_taken(
                answers,
                lambda: SENDERS[sender](address),
                range(len(content) + 1),
            )

    @pytest.mark.parametrize('sender', SENDERS)
    def test_silence_within_a_head_is_no_answer(self, monkeypatch, sender):
        monkeypatch.setattr(http_requests, 'DEADLINE_MARGIN_S', 0)
        content = HEADS['length']
        with serve_broken(content, fall_silent) as (answers, address):
            assert not list_cuts_taken(
                answers,
                lambda: SENDERS[sender](address, SHORT_S),
                range(0, len(content) + 1, 3),
            )

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize(
        'body',
        [CHUNKED + b'\r\n' + CHUNKS, LENGTH + b'\r\nbooked seat.'],
        ids=['chunks', 'length'],
    )
    def test_broken_body_is_no_answer(self, body, end):
        content = SUCCESS + body
        with serve_broken(content, ENDS[end]) as (answers, address):
            assert not list_cuts_taken(
                answers,
                lambda: call_plain_service(address),
                range(content.index(b'\r\n\r\n') + 4, len(content)),
            )
            answers.cut = len(content)
            assert call_plain_service(address).body.startswith(b'booked')

    def test_reset_of_a_body_without_length_is_no_answer(self):
        content = SUCCESS + TYPE + b'\r\nbooked'
        with serve_broken(content, reset) as (answers, address):
            cuts = range(content.index(b'\r\n\r\n') + 4, len(content))
            assert not list_cuts_taken(
                answers, lambda: call_plain_service(address), cuts
            )


INTERIM = {
    'one': b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n',
    'several': b'HTTP/1.1 102 Processing\r\n\r\n' * 16,
    'mixed': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n',
}


class TestInterimResponses:
    """Guards against an interim response that callers get as the answer."""

    @pytest.mark.parametrize('name', INTERIM)
    def test_answer_is_the_response_after_them(self, name):
        content = INTERIM[name] + HEADS['length'] + b'\r\nbooked seat.'
        with serve_broken(content) as (answers, address):
            answers.cut = len(content)
            answer = call_plain_service(address)
            assert (answer.status, answer.body) == (200, b'booked seat.')
            assert forward(address).status == 200
            open_stream(address).close()

    @pytest.mark.parametrize('sender', SENDERS)
    def test_head_that_breaks_off_after_one_is_no_answer(self, sender):
        content = INTERIM['one'] + HEADS['length']
        with serve_broken(content) as (answers, address):
            assert not list_cuts_taken(
                answers,
                lambda: SENDERS[sender](address),
                range(len(content) + 1),
            )

    @pytest.mark.parametrize('sender', SENDERS)
    @pytest.mark.parametrize(
        'content',
        [
            b'HTTP/1.1 101 Switching\r\nUpgrade: a\r\n\r\nother',
            INTERIM['several'] * 2 + HEADS['neither'] + b'\r\n',
        ],
        ids=['switched', 'too many'],
    )
    def test_interim_responses_alone_are_no_answer(self, sender, content):
        with serve_broken(content) as (answers, address):
            assert not list_cuts_taken(
                answers, lambda: SENDERS[sender](address), [len(content)]
            )


def read_to_the_end(body):
    """Read a body or a stream to its end; return its parts."""
    parts = []
    while not getattr(body, 'ended', False):
        ready = select.poll()
        ready.register(body.fileno(), select.POLLIN)
        ready.poll(REMAINING_S * 1000)
        parts.append(body.read_available(is_readable=True))
    return parts


def make_chunk(content):
    return b'%06x\r\n%s\r\n' % (len(content), content)


class TestStreams:
    @pytest.mark.parametrize('end', ENDS)
    def test_forwarded_answer_that_breaks_off_never_ends(self, end):
        """Guards against a part of an answer that is framed as whole."""
        content = SUCCESS + CHUNKED + b'\r\n' + CHUNKS
        with serve_broken(content, ENDS[end]) as (answers, address):
            assert not list_cuts_taken(
                answers,
                lambda: read_to_the_end(forward(address).body),
                range(content.index(b'\r\n\r\n') + 4, len(content)),
            )
            answers.cut = len(content)
            whole = b''.join(read_to_the_end(forward(address).body))
            assert whole == b'booked'

    def test_stream_has_no_event_of_a_broken_chunk(self):
        """Guards against an event or an end that the engine did not send."""
        events = [StreamEvent('s', 0, 'tea'), StreamEvent('s', 1, DONE_DATA)]
        content = SUCCESS + CHUNKED + b'\r\n'
        begin = len(content)
        for event in events:
            content += make_chunk(encode_event(event))
        last = content.rindex(b'\r\n')
        with serve_broken(content) as (answers, address):
            for answers.cut in range(begin, last):
                stream = open_stream(address)
                received = []
                with pytest.raises(TargetBroke):
                    while True:
                        received.extend(stream.read_available(True))
                is_sent = answers.content[: answers.cut].endswith(b'\n\n')
                assert received == events[: len(received)]
                assert len(received) < 2 or is_sent


class TestControlRequests:
    """Guards against statements that a broken answer does not make."""

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('is_kept', [False, True])
    def test_list_is_not_read_from_a_broken_answer(self, is_kept, end):
        content = SUCCESS + b'Content-Length: 16\r\n\r\n{"instances":[]}'
        first = content if is_kept else b''
        with serve_broken(content, ENDS[end], first) as (answers, address):
            for answers.cut in range(len(content)):
                client = make_http_platform_client('', f'http://{address}/')
                if is_kept:
                    assert client.read_instances().instances == ()
                assert client.read_instances().instances is None

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('head', HEADS)
    def test_broken_answer_says_nothing(self, head, end):
        content = HEADS[head]
        with serve_broken(content, ENDS[end]) as (answers, address):
            client = make_http_engine_client('')
            pool = make_pool()
            platform = make_http_platform_client(
                f'http://{address}/document', f'http://{address}/lists', pool
            )
            query = QueryStream(ATTEMPT, TARGET, address, StreamId('s'))
            for answers.cut in range(len(content) + 1):
                assert (
                    client.query_stream(query).state is StreamState.UNREACHABLE
                )
                release = ReleaseHolding(TARGET, address, 'tag')
                assert not client.release(release).succeeded
                order = SendOrder(
                    TARGET, address, 1, 1, 'm', 'v', (), 'mixed', NOW
                )
                assert client.send_order(order).accepted is None
                assert platform.read_document(ReadDocument(0, 0)).text is None
                assert platform.read_instances().instances is None
                message = SendPeerMessage('entry-1', address, '{}')
                assert PeerClient(pool, 'secret').send(message).text is None


UNREADABLE = {
    'line without a colon': b'broken line\r\nContent-Length: 12\r\n',
    'space before a colon': b'Content-Length : 12\r\n',
    'line that goes on': b' Content-Length: 12\r\n',
    'no number': b'Content-Length: 12x\r\n',
    'sign': b'Content-Length: -12\r\n',
    'two lengths': b'Content-Length: 12\r\nContent-Length: 3\r\n',
    'other coding': b'Transfer-Encoding: gzip, chunked\r\n',
    'unknown coding': b'Transfer-Encoding: chunk\r\n',
}


class TestUnreadableLengths:
    """Guards against a part of an answer that is framed as whole.

    A head that says how long its body is, but cannot be read, leaves the end
    of the connection to end the body.
    """

    @pytest.mark.parametrize('name', UNREADABLE)
    def test_answer_is_broken(self, name):
        content = SUCCESS + UNREADABLE[name] + b'\r\nboo'
        for sender in SENDERS.values():
            with serve_broken(content) as (answers, address):
                assert not list_cuts_taken(
                    answers, lambda: sender(address), [len(content)]
                )

    @pytest.mark.parametrize(
        'header',
        [
            b'Content-Length:3\r\n',
            b'content-length:   3  \r\n',
            b'Content-Length: 3, 3\r\n',
            b'Content-Length: 3\r\nContent-Length: 3\r\n',
            b'X-Long: a\r\n b\r\nContent-Length: 3\r\n',
            b'Content-Type: multipart/mixed\r\nContent-Length: 3\r\n',
            b'Content-Type: message/http\r\nContent-Length: 3\r\n',
            b'Content-Type:\r\nContent-Length: 3\r\n',
            b'X-Name: caf\xe9\r\n',
        ],
    )
    def test_odd_head_that_can_be_read_is_taken(self, header):
        content = SUCCESS + header + b'\r\nboo'
        with serve_broken(content) as (answers, address):
            answers.cut = len(content)
            assert call_plain_service(address).body == b'boo'

    def test_odd_coding_of_chunks_that_can_be_read_is_taken(self):
        content = SUCCESS + b'transfer-encoding: Chunked\r\n\r\n' + CHUNKS
        with serve_broken(content) as (answers, address):
            answers.cut = len(content)
            assert call_plain_service(address).body == b'booked'
