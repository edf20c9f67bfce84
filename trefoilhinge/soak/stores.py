"""Stand-in of the platform's store."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qsl

from attrs import define, field

from trefoilhinge.platform import store
from trefoilhinge.platform.standins import formats
from trefoilhinge.standins.http_listener import HttpExchange, serve_http

PAGE_ITEMS = 2  # small, so that lists have several pages
WATCH_POLL_INTERVAL_S = 0.01  # of a waiting watch
SEND_INTERVAL_S = 0.05  # between two parts of a response over a slow link
UNAVAILABLE_STATUS = 503
MS_PER_S = 1000
LOST_CONNECTION_S = 30.0  # until a connection on which nothing returns ends


@define
class StoreStandIn:
    """Stand-in of the platform's store, with items, revisions and watches.

    :ivar events: items written and tombstones, in order.
    :ivar is_down: whether all requests are refused.
    :ivar is_silent: whether nothing is answered.
    :ivar silences: number of times that it fell silent; what it was asked
        before is not answered afterwards either.
    :ivar compact_revision: oldest revision that a watch may start after.
    :ivar cut_after_s: time after which a waiting watch is cut, none if it is
        kept to its end.
    :ivar bytes_per_s: bandwidth of each response, none if it is not limited.
    :ivar era: number of restorations from a copy.
    :ivar requested_paths: paths of the requests, in order.
    :ivar sent_keys: keys of the items and tombstones in responses, in order.
    """

    host: str
    port: int
    items: dict[str, dict[str, Any]] = field(factory=dict)
    events: list[dict[str, Any]] = field(factory=list)
    revision: int = 1
    is_down: bool = False
    is_silent: bool = False
    silences: int = 0
    compact_revision: int = 0
    cut_after_s: float | None = None
    bytes_per_s: float | None = None
    era: int = 1
    requested_paths: list[str] = field(factory=list)
    sent_keys: list[str] = field(factory=list)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await serve_http(
            self.host, self.port, self._handle_request
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def begin_silence(self) -> None:
        """Answer nothing from now on, nor what was asked before."""
        self.is_silent = True
        self.silences += 1

    def end_silence(self) -> None:
        """Answer again what is asked from now on."""
        self.is_silent = False

    def put(self, key: str, fields: dict[str, Any] | bytes) -> None:
        """Write an item."""
        self.revision += 1
        content = (
            fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        )
        item = formats.encode_item(key, content, self.revision)
        self.items[key] = item
        self.events.append(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self.events.append(formats.encode_tombstone(key, self.revision))

    def put_target(
        self,
        name: str,
        address: str,
        service: str = 'model',
        **fields: Any,
    ) -> None:
        """Write the entry of a target."""
        entry = formats.encode_target(service, address, **fields)
        self.put(f'{store.TARGET_PREFIX}{name}', entry)

    def restore(self, revision: int) -> list[dict[str, Any]]:
        """Return to the state at a revision, in a new era.

        :return: the changes that were lost, in order.
        """
        lost = [one for one in self.events if one['rev'] > revision]
        self.events = [one for one in self.events if one['rev'] <= revision]
        self.items = {}
        for event in self.events:
            self.items[event['key']] = event
            if event.get('tombstone'):
                self.items.pop(event['key'])
        self.revision = revision
        self.era += 1
        return lost

    def replay(self, events: list[dict[str, Any]]) -> None:
        """Make lost changes again."""
        for event in events:
            if event.get('tombstone'):
                self.remove(event['key'])
            else:
                self.put(event['key'], base64.b64decode(event['value']))

    async def _handle_request(self, request: HttpExchange) -> None:
        self.requested_paths.append(request.path)
        if self.is_silent:
            await _lose_answer()
        if self.is_down:
            await request.respond(UNAVAILABLE_STATUS)
            return
        silences = self.silences
        path, _, query = request.path.partition('?')
        fields = dict(parse_qsl(query))
        if path == store.ITEM_PATH:
            item = self.items.get(fields['key'])
            status = 200 if item else store.NOT_FOUND_STATUS
            content = {**(item or {}), 'currentRev': self.revision}
            self.sent_keys.append(fields['key'])
        elif path == store.LIST_PATH:
            status = 200
            content = self._list(fields)
        else:
            status, content = await self._watch(fields)
        if silences != self.silences:
            await _lose_answer()
        await self._respond(request, status, json.dumps(content).encode())

    async def _respond(
        self, request: HttpExchange, status: int, content: bytes
    ) -> None:
        headers = [formats.encode_era_header(self.era)]
        if self.bytes_per_s is None:
            await request.respond(status, content, headers)
            return
        size = max(1, int(self.bytes_per_s * SEND_INTERVAL_S))
        headers.append(('Content-Length', str(len(content))))
        await request.send_headers(status, headers)
        for begin in range(0, len(content), size):
            await request.send_body(content[begin : begin + size])
            await asyncio.sleep(SEND_INTERVAL_S)
        await request.end_response()

    def _list(self, fields: dict[str, str]) -> dict[str, Any]:
        prefix = fields.get('prefix', '')
        after_key = fields.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and key > after_key
        )
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        self.sent_keys.extend(item['key'] for item in page)
        return {
            'items': page,
            'truncated': len(keys) > PAGE_ITEMS,
            'currentRev': self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, dict]:
        after_revision = int(fields['after'])
        prefix = fields.get('prefix', '')
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while True:
            if self.is_down:
                return UNAVAILABLE_STATUS, {}
            if not self.compact_revision <= after_revision <= self.revision:
                return store.HISTORY_GONE_STATUS, {}
            events = [
                one
                for one in self.events
                if one['rev'] > after_revision and one['key'].startswith(prefix)
            ]
            # Nothing may change between this look and the response.
            waited_s = loop.time() - began_s
            if events or waited_s * MS_PER_S >= int(fields['waitMs']):
                break
            if self.cut_after_s is not None and waited_s >= self.cut_after_s:
                raise ConnectionAbortedError('the watch was cut')
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
        self.sent_keys.extend(event['key'] for event in events)
        return 200, {'events': events, 'currentRev': self.revision}


async def _lose_answer() -> None:
    """Leave a connection open without an answer."""
    await asyncio.sleep(LOST_CONNECTION_S)
    raise ConnectionAbortedError('the answer was lost')
