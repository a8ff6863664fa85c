"""Stand-in of the platform's metadata store: range reads and watches."""

import asyncio
import base64
import json
from urllib.parse import parse_qsl, urlsplit

from . import http11

PAGE_ITEMS = 500


class Store:
    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.items = {}
        self.history = []
        self.revision = 100
        self.oldest = 100
        self.changed = asyncio.Event()
        self.server = None
        self.connections = set()
        self.refused = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**20)

    async def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.changed.set()
        await asyncio.sleep(0.1)

    # What the operator and the engines write.

    def put(self, key, value):
        """Writes a value, as JSON unless it is bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(data).decode(),
            "Rev": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"Key": key, "Rev": self.revision, "Deleted": True})

    def forget_history(self):
        """Discards the history and cuts the watches that are waiting."""
        self.history = []
        self.oldest = self.revision
        for writer in list(self.connections):
            writer.close()

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls.

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await http11.read_request(reader)) is not None:
                status, body = await self._answer(request.target)
                data = json.dumps(body).encode() if body is not None else b""
                writer.write(http11.response(
                    status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (http11.Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, target):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/v1/kv-range":
            return 200, self._range(query)
        if url.path == "/v1/kv-watch":
            return await self._watch(query)
        if url.path == "/v1/kv-key":
            item = self.items.get(query.get("Key", ""))
            return (200, {**item, "AsOf": self.revision}) if item else (404, {})
        return 404, {}

    def _range(self, query):
        prefix = query.get("Prefix", "")
        after = query.get("after", "")
        keys = sorted(key for key in self.items
                      if key.startswith(prefix) and key > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "Truncated": len(keys) > PAGE_ITEMS,
            "AsOf": self.revision,
        }

    async def _watch(self, query):
        prefix = query.get("Prefix", "")
        after = int(query.get("after", "0"))
        end = asyncio.get_running_loop().time() + int(
            query.get("WaitMs", "0")) / 1e3
        while True:
            if after < self.oldest or after > self.revision:
                return 410, {}
            events = [event for event in self.history
                      if event["Rev"] > after
                      and event["Key"].startswith(prefix)]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
