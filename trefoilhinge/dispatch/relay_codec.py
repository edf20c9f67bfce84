"""Encoding of calls that one instance serves for another, as MessagePack."""

import math
from collections.abc import Iterable

import msgpack
from attrs import astuple, frozen
from expression import Error, Ok, Result
from msgpack.exceptions import UnpackException

from trefoilhinge.dispatch.calls import CallHead, PromptSize
from trefoilhinge.dispatch.message_checks import check_range
from trefoilhinge.exceptions import MALFORMED_CONTENT_ERRORS

# Largest size of everything but the body.
MAXIMUM_ENVELOPE_BYTES = 131_072
# Header of an answer that an instance gives itself.
REFUSAL_HEADER = b'relay-refusal'
_SCOPES = frozenset((b'local', b'final'))


@frozen
class RelayedCall:
    """A call that an instance serves for the one that took it.

    :ivar body: body of the caller's request.
    :ivar version: version of the document that the other instance accepted
        the call by.
    :ivar elapsed_s: seconds since the call was received.
    :ivar attempts: attempts that were sent to targets.
    :ivar possible_runs: attempts that may have run.
    """

    head: CallHead
    body: bytes
    version: int
    elapsed_s: float
    attempts: int
    possible_runs: int


@frozen
class RelayRefusal:
    """Mark of an answer that no target gave.

    :ivar is_local: whether it concerns the answering instance only, so that
        another one may serve the call.
    :ivar was_sent: whether that instance sent it to a target that may have run
        it.
    """

    is_local: bool
    was_sent: bool


def encode_relayed_call(call: RelayedCall) -> bytes:
    """Return the encoded call."""
    head = call.head
    size = head.prompt_size
    head_fields = [
        head.method,
        head.target,
        head.host,
        head.path,
        head.request_id,
        head.api_key,
        head.timeout_s,
        None if size is None else astuple(size),
        head.last_event,
        head.forwarded_headers,
        head.prompt_parts,
    ]
    fields = [
        head_fields,
        call.body,
        call.version,
        call.elapsed_s,
        call.attempts,
        call.possible_runs,
    ]
    return bytes(msgpack.packb(fields))


def decode_relayed_call(content: bytes) -> Result[RelayedCall, str]:
    """Decode a call; the error describes why it is invalid."""
    try:
        return Ok(_decode(msgpack.unpackb(content)))
    except UnpackException as problem:
        return Error(f'{type(problem).__name__}: {problem}')
    except MALFORMED_CONTENT_ERRORS as problem:
        return Error(f'{type(problem).__name__}: {problem}')


def encode_refusal(refusal: RelayRefusal) -> tuple[bytes, bytes]:
    """Return the header that marks a refusal."""
    scope = 'local' if refusal.is_local else 'final'
    sending = 'sent' if refusal.was_sent else 'unsent'
    return REFUSAL_HEADER, f'{scope} {sending}'.encode()


def find_refusal(headers: Iterable[tuple[bytes, bytes]]) -> RelayRefusal | None:
    """Return the mark of a refusal, ``None`` for an answer of a target."""
    for name, value in headers:
        scope, _, sending = value.partition(b' ')
        if name.lower() == REFUSAL_HEADER and scope in _SCOPES:
            return RelayRefusal(scope == b'local', sending != b'unsent')
    return None


def remove_refusal(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return headers without the one that marks a refusal."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() != REFUSAL_HEADER
    ]


def _decode(fields: object) -> RelayedCall:
    match fields:
        case [
            list(head),
            bytes(body),
            int(version),
            int() | float() as elapsed_s,
            int(attempts),
            int(possible_runs),
        ]:
            return RelayedCall(
                _decode_head(head),
                body,
                version,
                check_range(elapsed_s),
                attempts,
                possible_runs,
            )
        case _:
            raise ValueError('relayed call with unexpected fields')


def _decode_head(fields: list[object]) -> CallHead:
    match fields:
        case [
            bytes(method),
            bytes(target),
            str(host),
            str(path),
            str(request_id),
            (str() | None) as api_key,
            (int() | float() | None) as timeout_s,
            (list() | None) as size,
            (int() | None) as last_event,
            list(headers),
            list(parts),
        ]:
            return CallHead(
                method=method,
                target=target,
                host=host,
                path=path,
                request_id=request_id,
                api_key=api_key,
                timeout_s=_check_timeout(timeout_s),
                prompt_size=None if size is None else PromptSize(*size),
                last_event=last_event,
                forwarded_headers=tuple(
                    (bytes(name), bytes(value)) for name, value in headers
                ),
                prompt_parts=tuple(str(part) for part in parts),
            )
        case _:
            raise ValueError('head of a relayed call with unexpected fields')


def _check_timeout(timeout_s: float | None) -> float | None:
    if timeout_s is not None and not 0 <= timeout_s < math.inf:
        raise ValueError(f'timeout {timeout_s} is no duration')
    return timeout_s
