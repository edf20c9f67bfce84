"""Limits on the size and the duration of callers' requests."""

import h11

from trefoilhinge.dispatch.documents import CallerLimits

# The platform's defaults, used until a document is known.
DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3.0, 15.0)
# Margin over the timeouts of the document: callers reuse a connection up to
# four fifths of its limit, and must not find it closed.
TIMEOUT_FACTOR = 1.2
# A body that arrives more slowly counts as stalled.
MINIMUM_BODY_BYTES_PER_S = 1_024


def check_request_head(request: h11.Request, maximum_bytes: int) -> None:
    """Check the size of the head and that the body has one length.

    h11 limits only incomplete heads and accepts two lengths, with which a
    caller could smuggle a request past a parser that applies the other one.

    :param maximum_bytes: limit on target and headers together.
    :raises h11.RemoteProtocolError: the head is too long, or has both
        ``Content-Length`` and ``Transfer-Encoding``.
    """
    size = len(request.target) + sum(
        len(name) + len(value) for name, value in request.headers
    )
    if size > maximum_bytes:
        raise h11.RemoteProtocolError(
            'the head is too long', error_status_hint=431
        )
    names = {name for name, _ in request.headers}
    if {b'transfer-encoding', b'content-length'} <= names:
        raise h11.RemoteProtocolError(
            'a request has one length', error_status_hint=400
        )


def check_announced_length(request: h11.Request, maximum_bytes: int) -> None:
    """Check the length that a head announces, before any of the body is read.

    :param maximum_bytes: limit on the body.
    :raises h11.RemoteProtocolError: the body is too long.
    """
    for name, value in request.headers:
        if name == b'content-length' and int(value) > maximum_bytes:
            raise h11.RemoteProtocolError(
                'the body is too long', error_status_hint=413
            )


def find_receipt_deadline_s(
    limits: CallerLimits,
    now_s: float,
    began_s: float | None,
    body_bytes: int,
) -> float:
    """Return until when to wait for more data, monotonic seconds.

    A head has one limit from its first byte on, so that a caller that sends a
    byte now and then is not waited for; a body is given more time as it
    arrives.

    :param began_s: monotonic seconds of the request's first byte, ``None`` if
        none has arrived.
    :param body_bytes: bytes received, zero while the head is incomplete.
    """
    if began_s is None:
        return now_s + limits.idle_timeout_s * TIMEOUT_FACTOR
    limit_s = limits.header_timeout_s * TIMEOUT_FACTOR
    allowed_s = limit_s + body_bytes / MINIMUM_BODY_BYTES_PER_S
    return min(now_s + limit_s, began_s + allowed_s)
