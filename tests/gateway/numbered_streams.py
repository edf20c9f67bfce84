"""Fake targets whose streams have wrong event numbers."""

import asyncio

from tests.gateway.targets import SEAL_HEADER

PIECES = 8
READ_INTERVAL_S = 0.01  # more than two writes need to arrive in two reads


def make_piece(number, fields=None):
    """Return the event with a piece of a stream.

    :param fields: lines in place of its ``id`` field.
    """
    lines = b'id: %d\n' % number if fields is None else fields
    return b'%bdata: piece %d\n\n' % (lines, number)


def join_pieces(first=1, last=PIECES):
    """Return the content of a stream with right numbers."""
    return b''.join(make_piece(number) for number in range(first, last + 1))


def stream_pieces(spoiled=None, together=2, last=PIECES, begin=None):
    """Return a handler that streams pieces, resuming where asked to.

    :param spoiled: lines in place of the ``id`` field, by number.
    :param together: number of pieces that arrive in one read.
    :param begin: first piece, whatever the caller asks for.
    """
    spoiled = spoiled or {}

    async def handle(exchange):
        asked = int(exchange.headers.get('last-event-id', 0)) + 1
        first = asked if begin is None else begin
        await exchange.send_headers(200, [SEAL_HEADER])
        for number in range(first, last + 1, together):
            read = range(number, min(number + together, last + 1))
            await exchange.send_body(
                b''.join(make_piece(one, spoiled.get(one)) for one in read)
            )
            await asyncio.sleep(READ_INTERVAL_S)
        await exchange.end_response()

    return handle


def break_off(last):
    """Return a handler that aborts its connection after a piece."""

    async def handle(exchange):
        await exchange.send_headers(200, [SEAL_HEADER])
        await exchange.send_body(join_pieces(last=last))
        await asyncio.sleep(READ_INTERVAL_S)
        exchange.writer.transport.abort()

    return handle


def stream_in_turn(*handlers):
    """Return a handler, for all targets, that answers with each in turn.

    The last one answers all further requests.
    """
    waiting = list(handlers)

    async def handle(exchange):
        chosen = waiting.pop(0) if len(waiting) > 1 else waiting[0]
        await chosen(exchange)

    return handle


def is_whole(answer):
    """Return whether a stream is complete, with each piece once."""
    is_complete = answer.status == 200 and answer.is_complete
    return is_complete and _list_pieces(answer) == list(range(1, PIECES + 1))


def is_sound(answer):
    """Return whether a stream is whole, or visibly broken off.

    The pieces of one that is broken off must be the first ones, in order.
    """
    if answer.status == 200 and answer.is_complete:
        return is_whole(answer)
    pieces = _list_pieces(answer)
    return pieces == list(range(1, len(pieces) + 1))


def _list_pieces(answer):
    return [
        int(line.rpartition(b' ')[2])
        for line in answer.content.splitlines()
        if line.startswith(b'data: piece ')
    ]
