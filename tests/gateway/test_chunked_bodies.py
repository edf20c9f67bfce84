"""Tests of the decoding of bodies in chunks."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilhinge.chunked_bodies import (
    CHUNK_FRAMING_BYTES,
    ChunkedBody,
    ChunksMalformed,
)
from trefoilhinge.gateway.request_input import RequestInput

EXTRA_BYTES = 1000
HEAD = b'POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
NEXT = b'GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKS = st.lists(
    st.binary(min_size=1, max_size=40)
    | st.sampled_from(
        [b'\r\n\r\n', b'0\r\n\r\n', b'\r\n\r\nGET / HTTP/1.1\r\n']
    )
)
CUTS = st.lists(st.integers(min_value=1, max_value=60), min_size=1)


def cut(data, sizes):
    """Cut data into pieces of the sizes, in turn."""
    position = 0
    while position < len(data):
        for size in sizes:
            if position < len(data):
                yield data[position : position + size]
            position += size


def encode(chunks):
    return b''.join(b'%x\r\n%b\r\n' % (len(one), one) for one in chunks)


def decode(pieces):
    """Return the content of a body and what follows it."""
    body = ChunkedBody(EXTRA_BYTES)
    content = b''
    rest = b''
    for piece in pieces:
        if body.is_ended:
            rest += piece
            continue
        part, rest = body.decode(piece)
        content += part
    return content, rest, body.is_ended


def parse_all(data, sizes):
    """Return the requests in what was received, with their bodies."""
    parser = h11.Connection(h11.SERVER)
    received = RequestInput(parser, 16_384)
    requests = []
    for piece in cut(data, sizes):
        received.receive(piece)
        while (event := received.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                requests.append([event.target, b''])
            elif isinstance(event, h11.Data):
                requests[-1][1] += event.data
            elif isinstance(event, h11.EndOfMessage):
                parser.send(
                    h11.Response(
                        status_code=200, headers=[('Content-Length', '0')]
                    )
                )
                parser.send(h11.EndOfMessage())
                parser.start_next_cycle()
    return requests


class TestChunkedBody:
    @given(chunks=CHUNKS, sizes=CUTS)
    def test_content_and_rest_in_any_pieces(self, chunks, sizes):
        """Guards against a request that is smuggled inside another."""
        data = encode(chunks) + b'0\r\n\r\n' + NEXT
        assert decode(cut(data, sizes)) == (b''.join(chunks), NEXT, True)

    @given(chunks=CHUNKS, sizes=CUTS)
    def test_trailers_and_extensions_are_dropped(self, chunks, sizes):
        data = b''.join(b'%x;a=b\r\n%b\r\n' % (len(c), c) for c in chunks)
        data += b'0;z\r\nName: text\r\n\r\n' + NEXT
        assert decode(cut(data, sizes)) == (b''.join(chunks), NEXT, True)

    @pytest.mark.parametrize(
        'chunks',
        [
            b'1\n.\r\n0\r\n\r\n',
            b'1 \r\n.\r\n0\r\n\r\n',
            b'+1\r\n.\r\n0\r\n\r\n',
            b'0x1\r\n.\r\n0\r\n\r\n',
            b'1\r\n..\r\n0\r\n\r\n',
            b'1\r\n.0\r\n\r\n',
            b'-1\r\n.\r\n',
            b'g\r\n.\r\n',
            b'11111111111111111\r\n.\r\n',
            b'1\r\n.\r\n0\r\nName\r\n\r\n',
            b'1\r\n.\r\n0\r\n Name: t\r\n\r\n',
        ],
    )
    def test_malformed_chunks(self, chunks):
        """Guards against a length that other parsers read differently."""
        with pytest.raises(ChunksMalformed) as caught:
            decode([chunks])
        assert not caught.value.is_too_long

    @pytest.mark.parametrize(
        'piece', [b'1;' + b'e' * 900, b'0\r\nname: ' + b't' * 900]
    )
    def test_extensions_and_trailers_are_bounded(self, piece):
        """Guards against framing that never ends."""
        with pytest.raises(ChunksMalformed) as caught:
            decode([piece, b'e' * 900, b'e' * 900])
        assert caught.value.is_too_long

    def test_framing_of_small_chunks_has_no_bound(self):
        """Guards against a refusal of a body inside the limits."""
        size = b'1'.rjust(CHUNK_FRAMING_BYTES - 4, b'0')
        data = (size + b'\r\n.\r\n') * 1000 + b'0\r\n\r\n'
        assert decode([data]) == (b'.' * 1000, b'', True)


class TestRequestInput:
    @given(chunks=CHUNKS, sizes=CUTS)
    def test_requests_one_after_another(self, chunks, sizes):
        """Guards against bytes that are taken for another request's."""
        whole = (
            b'POST /book/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
        )
        chunked = HEAD + encode(chunks) + b'0\r\n\r\n'
        found = parse_all(chunked + whole + NEXT + chunked + NEXT, sizes)
        content = b''.join(chunks)
        assert found == [
            [b'/book/1', content],
            [b'/book/2', b'body'],
            [b'/look/1', b''],
            [b'/book/1', content],
            [b'/look/1', b''],
        ]

    @pytest.mark.parametrize(
        ('data', 'status'),
        [
            (b'GET / HTTP/1.1\r\nHost: h\r\nName: ' + b'.' * 20_000, 431),
            (b'\x16\x03\x01\x00', 400),
            (b'GET / HTTP/1.1\r\nHost : h\r\n\r\n', 400),
            (HEAD.replace(b'chunked', b'gzip, chunked'), 501),
            (HEAD.replace(b'chunked', b'identity'), 501),
            (HEAD + b'g\r\n', 400),
            (HEAD + b'1;' + b'e' * 40_000, 431),
        ],
    )
    def test_malformed_heads(self, data, status):
        with pytest.raises(h11.RemoteProtocolError) as caught:
            parse_all(data, [64])
        assert caught.value.error_status_hint == status

    @pytest.mark.parametrize('sent', [HEAD[:-1], HEAD, HEAD + b'5\r\nab'])
    def test_end_of_connection_in_a_request(self, sent):
        received = RequestInput(h11.Connection(h11.SERVER), 16_384)
        received.receive(sent)
        while received.next_event() is not h11.NEED_DATA:
            assert sent != HEAD[:-1]
        received.receive(b'')
        with pytest.raises(h11.RemoteProtocolError):
            received.next_event()
