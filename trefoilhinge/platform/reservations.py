"""Orders that reserve and release an engine's memory."""

import json

ORDER_PATH = '/order'
RESERVED_STATUS = 200
MS_PER_S = 1000


def encode_reservation(
    reservation_id: str, tokens: int, hold_s: float
) -> bytes:
    """Return the body that reserves memory, or renews a reservation.

    :param hold_s: seconds after which the target releases it by itself.
    """
    fields = {
        'op': 'reserve',
        'id': reservation_id,
        'tokens': tokens,
        'holdMs': int(hold_s * MS_PER_S),
    }
    return json.dumps(fields).encode()


def encode_release(reservation_id: str) -> bytes:
    """Return the body that ends a reservation."""
    return json.dumps({'op': 'release', 'id': reservation_id}).encode()
