"""Reads the prompt of a model call from its JSON body."""

import json
from typing import Any

import xxhash

from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.core.verdicts import RefusalCode, refuse_not_run

PREFIX_BLOCK_BYTES = 2048
MAXIMUM_PREFIX_BLOCKS = 512
DEFAULT_OUTPUT_TOKENS = 256


def parse_body(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body.

    :raises RequestRefused: it is not one JSON object.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = None
    if isinstance(fields, dict):
        return fields
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The body must be one JSON object.',
            example='{"model": "...", "prompt": "..."}',
        ),
    )


def extract_prompt(fields: dict[str, Any]) -> bytes:
    """Return the prompt or the messages of a body as bytes.

    :raises RequestRefused: there is neither.
    """
    prompt = fields.get('prompt')
    if isinstance(prompt, str):
        return prompt.encode('utf-8', 'surrogatepass')
    messages = fields.get('messages')
    if isinstance(messages, list) and messages:
        text = json.dumps(messages, ensure_ascii=False)
        return text.encode('utf-8', 'surrogatepass')
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The body needs a prompt (text) or messages (a list).',
            example='"messages": [{"role": "user", "content": "..."}]',
        ),
    )


def parse_output_tokens(fields: dict[str, Any]) -> int:
    """Return the bound on generated tokens.

    :raises RequestRefused: it is not a whole number above zero.
    """
    output = fields.get('max_tokens')
    if output is None:
        output = fields.get('max_completion_tokens')
    if output is None:
        return DEFAULT_OUTPUT_TOKENS
    if isinstance(output, int) and not isinstance(output, bool) and output > 0:
        return output
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'max_tokens must be a whole number above zero.',
            example='"max_tokens": 256',
        ),
    )


def digest_prefix_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the digests of a prompt's leading blocks, each over all before.

    :param prompt: the prompt as bytes.
    """
    digest = xxhash.xxh64()
    digests = []
    whole_blocks = len(prompt) // PREFIX_BLOCK_BYTES
    for number in range(min(whole_blocks, MAXIMUM_PREFIX_BLOCKS)):
        start = number * PREFIX_BLOCK_BYTES
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        digests.append(digest.intdigest())
    return tuple(digests)
