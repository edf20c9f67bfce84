"""Encodes and decodes the messages between instances."""

import functools
import json
from collections.abc import Callable
from typing import Any

import cattrs
from expression import Error, Ok, Result

from trefoilhinge.conf.generated import messages as classes
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.generator import load_schema
from trefoilhinge.conf.structuring import STRUCTURE_ERRORS, make_strict_decoder

MAXIMUM_EXCHANGE_CHARACTERS = 6_000_000
_MAXIMUM_ERROR_CHARACTERS = 200


def encode_exchange(exchange: PeerExchange) -> str:
    """Encode a peer exchange as JSON text, omitting default values."""
    fields = _make_encoder().unstructure(exchange)
    return json.dumps(fields, separators=(',', ':'))


def decode_exchange(text: str) -> Result[PeerExchange, str]:
    """Decode a peer exchange from JSON text.

    :return: the exchange, or why the text is invalid.
    """
    if len(text) > MAXIMUM_EXCHANGE_CHARACTERS:
        return Error(
            f'the message has {len(text)} characters, '
            f'more than {MAXIMUM_EXCHANGE_CHARACTERS}',
        )
    try:
        exchange: PeerExchange = _make_decoder()(json.loads(text))
    except RecursionError:
        return Error('the message is nested too deeply')
    except STRUCTURE_ERRORS as error:
        kind = type(error).__name__
        return Error(f'{kind}: {ascii(str(error))}'[:_MAXIMUM_ERROR_CHARACTERS])
    return Ok(exchange)


@functools.cache
def _make_decoder() -> Callable[[Any], Any]:
    return make_strict_decoder(load_schema('messages'), classes)


@functools.cache
def _make_encoder() -> cattrs.Converter:
    return cattrs.Converter(omit_if_default=True)
