"""Software state of a stand-in engine and the orders that change it."""

import threading
from typing import Any

from attrs import define, field


@define
class EngineSoftware:
    """Model, version, adapters and role of one engine.

    :ivar honours_fences: whether orders whose fencing token is not newer
        than the last accepted one are refused.
    :ivar order_token: credential that orders must carry; none if orders are
        not authenticated.
    :ivar fence: highest fencing token accepted so far.
    :ivar accepted: fields of every accepted order, oldest first.
    """

    honours_fences: bool = True
    order_token: str | None = None
    fence: int = 0
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = 'both'
    accepted: list[dict[str, Any]] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def apply_order(
        self,
        fields: dict[str, Any],
        token: str,
    ) -> dict[str, Any]:
        """Apply an order unless its credential or fencing token is rejected.

        :return: JSON fields of the response.
        """
        if self.order_token is not None and token != self.order_token:
            return {'accepted': False, 'reason': 'unknown orderer'}
        fence = int(fields['fence'])
        with self._lock:
            if self.honours_fences and fence <= self.fence:
                return {'accepted': False, 'fence': self.fence}
            self.fence = max(self.fence, fence)
            self.model = str(fields['model'])
            self.version = str(fields['version'])
            self.adapters = tuple(fields['adapters'])
            self.role = str(fields['role'])
            self.accepted.append(fields)
        return {'accepted': True, 'fence': self.fence}

    def describe(self) -> dict[str, Any]:
        """Return the JSON fields of the engine's state."""
        return {
            'fence': self.fence,
            'model': self.model,
            'version': self.version,
            'adapters': sorted(self.adapters),
            'role': self.role,
            'ready': True,
        }
