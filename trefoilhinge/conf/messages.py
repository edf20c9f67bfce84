"""Writes and reads the messages between instances."""

import functools
import json

import cattrs
import jsonschema
from expression import Error, Ok, Result

from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.generator import load_schema


def write_exchange(exchange: PeerExchange) -> str:
    """Return a peer exchange as JSON text."""
    return json.dumps(cattrs.unstructure(exchange), separators=(',', ':'))


def read_exchange(text: str) -> Result[PeerExchange, str]:
    """Read a peer exchange from JSON text.

    :return: the exchange, or what is wrong with the text.
    """
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Error(f'the message is not JSON: {error}')
    errors = _find_validator().iter_errors(fields)
    first = next(iter(errors), None)
    if first is not None:
        return Error(f'{first.json_path}: {first.message[:200]}')
    return Ok(cattrs.structure(fields, PeerExchange))


@functools.cache
def _find_validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(load_schema('messages'))
