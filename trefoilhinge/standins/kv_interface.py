"""The interface of a stand-in engine for groups: KV memory by tag."""

import time
from typing import Any

from attrs import define

from trefoilhinge.standins.kv_memory import KvMemory


@define
class KvInterface:
    """Reserves, fills, exports, imports and releases holdings."""

    _name: str
    _memory: KvMemory
    _prefill_tokens_per_s: float

    def serve(self, step: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Carry out one step and answer whether it was done."""
        if step == 'reserve':
            return {'done': self._memory.reserve(fields)}
        holding = self._memory.holdings.get(str(fields.get('tag', '')))
        if holding is None:
            return {'done': False}
        if step == 'prefill':
            tokens = int(fields['tokens'])
            time.sleep(tokens / self._prefill_tokens_per_s)
            holding.prefilled = tokens
        elif step == 'import':
            holding.prefilled = holding.tokens
        elif step == 'export':
            return {'done': True, 'handle': f'{self._name}/{holding.tag}'}
        return {'done': step in {'prefill', 'import'}}
