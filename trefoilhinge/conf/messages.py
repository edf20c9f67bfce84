"""Writes and reads the messages between instances."""

import functools
import json
from collections.abc import Callable
from typing import Any

import cattrs
from expression import Error, Ok, Result

from trefoilhinge.conf.structuring import STRUCTURE_ERRORS, make_strict_reader
from trefoilhinge.conf.generated import messages as classes
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.generator import load_schema

MAXIMUM_EXCHANGE_BYTES = 6_000_000
_MAXIMUM_ERROR_CHARACTERS = 200


def encode_exchange(exchange: PeerExchange) -> str:
    """Return a peer exchange as JSON text, without what has its default."""
    fields = _make_encoder().unstructure(exchange)
    return json.dumps(fields, separators=(',', ':'))


def decode_exchange(text: str) -> Result[PeerExchange, str]:
    """Read a peer exchange from JSON text.

    :return: the exchange, or what is wrong with the text.
    """
    if len(text) > MAXIMUM_EXCHANGE_BYTES:
        return Error(f'the message has {len(text)} characters')
    try:
        exchange: PeerExchange = _make_decoder()(json.loads(text))
    except RecursionError:
        return Error('the message is nested too deep')
    except STRUCTURE_ERRORS as error:
        kind = type(error).__name__
        return Error(f'{kind}: {ascii(str(error))}'[:_MAXIMUM_ERROR_CHARACTERS])
    return Ok(exchange)


@functools.cache
def _make_decoder() -> Callable[[Any], Any]:
    return make_strict_reader(load_schema('messages'), classes)


@functools.cache
def _make_encoder() -> cattrs.Converter:
    return cattrs.Converter(omit_if_default=True)
