"""Parsing of the JSON body of a model call."""

import json
from typing import Any

import xxhash

from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.core.verdicts import RefusalCode, refuse_not_run

PREFIX_BLOCK_BYTES = 2048
MAXIMUM_PREFIX_BLOCKS = 512
DEFAULT_OUTPUT_TOKENS = 256


def parse_body(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a request body.

    :raises RequestRefused: the body is not a JSON object.
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
            'The request body must be a JSON object.',
            example='{"model": "...", "prompt": "..."}',
        ),
    )


def extract_prompt(fields: dict[str, Any]) -> bytes:
    """Return the prompt, or the messages as JSON, of a request in UTF-8.

    Lone surrogates, which JSON can contain, are encoded too.

    :raises RequestRefused: the request has neither.
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
            'The request body must have a prompt (string) or messages '
            '(non-empty list).',
            example='"messages": [{"role": "user", "content": "..."}]',
        ),
    )


def parse_output_tokens(fields: dict[str, Any]) -> int:
    """Return the maximum number of tokens to generate.

    :raises RequestRefused: the value is not a positive integer.
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
            'max_tokens must be a positive integer.',
            example='"max_tokens": 256',
        ),
    )


def digest_prefix_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the digests of the leading blocks of a prompt.

    Each digest covers its block and all blocks before it; an incomplete last
    block has none.

    :param prompt: encoded prompt.
    """
    digest = xxhash.xxh64()
    digests = []
    block_count = len(prompt) // PREFIX_BLOCK_BYTES
    for number in range(min(block_count, MAXIMUM_PREFIX_BLOCKS)):
        start = number * PREFIX_BLOCK_BYTES
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        digests.append(digest.intdigest())
    return tuple(digests)
