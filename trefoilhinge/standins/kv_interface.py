"""KV interface of a stand-in engine, used by engine groups."""

import time
from typing import Any

from attrs import define

from trefoilhinge.standins.kv_memory import KvMemory


@define
class KvInterface:
    """Reserves, prefills, exports and imports KV memory by tag."""

    _name: str
    _memory: KvMemory
    _prefill_tokens_per_s: float

    def serve(self, step: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Execute one step and return the JSON fields of the response."""
        if step == 'reserve':
            return {'done': self._memory.reserve(fields)}
        reservation = self._memory.reservations.get(str(fields.get('tag', '')))
        if reservation is None:
            return {'done': False}
        if step == 'prefill':
            tokens = int(fields['tokens'])
            time.sleep(tokens / self._prefill_tokens_per_s)
            reservation.prefilled_tokens = tokens
        elif step == 'import':
            reservation.prefilled_tokens = reservation.tokens
        elif step == 'export':
            return {'done': True, 'handle': f'{self._name}/{reservation.tag}'}
        return {'done': step in {'prefill', 'import'}}
