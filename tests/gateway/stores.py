"""A stand-in of the platform's store."""

import asyncio
import base64
import json

from attrs import define, field

from tests.gateway.documents import HOST, find_port
from tests.gateway.http import serve_http


@define
class StoreStandIn:
    """The platform's store: items, revisions, watches."""

    port: int = field(factory=find_port)
    items: dict = field(factory=dict)
    events: list = field(factory=list)
    revision: int = 1
    is_down: bool = False
    history_from: int = 0
    calls: list = field(factory=list)
    _server: object = None

    async def start(self):
        self._server = await serve_http(HOST, self.port, self._answer)

    def put(self, key, fields):
        """Write an item."""
        self.revision += 1
        value = (
            fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        )
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'created': 1,
            'lease': 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        gone = {'key': key, 'rev': self.revision, 'tombstone': True}
        self.events.append(gone)

    def put_target(self, name, address, service='model', **fields):
        """Write a target's entry."""
        usual = {
            'service': service,
            'address': address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': 1000,
        }
        self.put(f'servers/{name}', {**usual, **fields})

    async def _answer(self, asked):
        self.calls.append(asked.path)
        if self.is_down:
            await asked.reply(503)
            return
        path, _, query = asked.path.partition('?')
        fields = dict(pair.split('=') for pair in query.split('&'))
        if path == '/kv-key':
            item = self.items.get(fields['key'].replace('%2F', '/'))
            status = 200 if item else 404
            content = {**(item or {}), 'currentRev': self.revision}
        elif path == '/kv-range':
            status = 200
            content = self._list(fields)
        else:
            status, content = await self._watch(fields)
        await asked.reply(status, json.dumps(content).encode())

    def _list(self, fields):
        prefix = fields['prefix'].replace('%2F', '/')
        after = fields.get('after', '').replace('%2F', '/')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:2]]
        return {
            'items': page,
            'truncated': len(keys) > 2,
            'currentRev': self.revision,
        }

    async def _watch(self, fields):
        after = int(fields['after'])
        for _ in range(int(fields['waitMs']) // 10):
            if after < self.history_from:
                return 410, {}
            events = [one for one in self.events if one['rev'] > after]
            if events or self.is_down:
                break
            await asyncio.sleep(0.01)
        return 200, {'events': events, 'currentRev': self.revision}
