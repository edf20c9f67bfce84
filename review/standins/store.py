"""Stand-in of the platform's store, which can only be read."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl

from review.standins.http import Exchange, serve

PAGE_ITEMS = 500
ANSWER_S = 0.004  # as the sheet has it


class Store:
    """Items, revisions and watches, as PROTOCOL.md tells them.

    ``cut_after_s``: a waiting watch is cut after this time, none if it is
    kept to its end. ``is_down``: all calls get 503, nothing is done.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create an empty store."""
        self.address = f'{host}:{port}'
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.cut_after_s: float | None = None
        self.cuts = 0
        self.is_down = False
        self._changed = asyncio.Event()
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await serve(self._host, self._port, self._handle)

    def put(self, key: str, fields: dict) -> float:
        """Write an item; return the time of the acknowledgement."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(fields).encode()).decode(),
            'rev': self.revision,
            'created': self.items.get(key, {}).get('created', self.revision),
            'lease': 0,
        }
        self.items[key] = item
        return self._record(item)

    def remove(self, key: str) -> float:
        """Remove an item; return the time of the acknowledgement."""
        self.revision += 1
        self.items.pop(key, None)
        return self._record(
            {'key': key, 'rev': self.revision, 'tombstone': True}
        )

    def go_down(self) -> None:
        """Refuse all calls, also those that wait."""
        self.is_down = True
        self._changed.set()
        self._changed = asyncio.Event()

    def _record(self, event: dict) -> float:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _handle(self, exchange: Exchange) -> None:
        if self.is_down:
            await exchange.respond(503)
            return
        path, _, query = exchange.target.partition('?')
        fields = dict(parse_qsl(query))
        if path == '/kv-key':
            item = self.items.get(fields['key'])
            await self._respond(exchange, item or {}, 200 if item else 404)
        elif path == '/kv-range':
            await self._respond(exchange, self._list(fields))
        elif path == '/kv-watch':
            await self._watch(exchange, fields)
        else:
            await exchange.respond(404)

    def _list(self, fields: dict[str, str]) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields.get('prefix', ''))
            and key > fields.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'truncated': len(keys) > PAGE_ITEMS,
        }

    async def _watch(self, exchange: Exchange, fields: dict[str, str]) -> None:
        wait_s = min(30.0, int(fields['waitMs']) / 1000)
        cut_s = self.cut_after_s
        end_s = time.monotonic() + wait_s
        if cut_s is not None:
            end_s = min(end_s, time.monotonic() + cut_s)
        events = self._find_events(fields)
        while not events and time.monotonic() < end_s:
            changed = self._changed
            try:
                async with asyncio.timeout(end_s - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.is_down:
                await exchange.respond(503)
                return
            events = self._find_events(fields)
        if not events and cut_s is not None and cut_s < wait_s:
            self.cuts += 1
            exchange.writer.close()
            return
        await self._respond(exchange, {'events': events})

    def _find_events(self, fields: dict[str, str]) -> list[dict]:
        return [
            event
            for event in self.events
            if event['rev'] > int(fields['after'])
            and event['key'].startswith(fields.get('prefix', ''))
        ]

    async def _respond(
        self, exchange: Exchange, fields: dict, status: int = 200
    ) -> None:
        content = {**fields, 'currentRev': self.revision}
        await asyncio.sleep(ANSWER_S)
        await exchange.respond(
            status,
            json.dumps(content).encode(),
            {'Content-Type': 'application/json'},
        )
