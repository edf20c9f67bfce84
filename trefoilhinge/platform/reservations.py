"""Orders that reserve and release KV-cache memory of an engine."""

import json
from collections.abc import Mapping

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.platform.responses import decode_response_head

ORDER_PATH = '/order'
RESERVED_STATUS = 200
MS_PER_S = 1000


def encode_reservation(
    reservation_id: str, tokens: int, hold_s: float
) -> bytes:
    """Encode an order that makes or renews a reservation.

    :param tokens: size of the reservation, in tokens.
    :param hold_s: seconds after which the target releases the reservation
        unless it is renewed.
    """
    fields = {
        'op': 'reserve',
        'id': reservation_id,
        'tokens': tokens,
        'holdMs': int(hold_s * MS_PER_S),
    }
    return json.dumps(fields).encode()


def encode_release(reservation_id: str) -> bytes:
    """Encode an order that releases a reservation."""
    return json.dumps({'op': 'release', 'id': reservation_id}).encode()


def decode_order_head(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Decode the status and headers of the answer to an order."""
    encoded = (
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in headers.items()
    )
    return decode_response_head(status, encoded)
