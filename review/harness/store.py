"""A stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import json
from urllib import parse

from harness import wire

PREFIX = '/lavenderbend/'


class Store:
    """Keeps items in memory and answers as PROTOCOL.md says.

    Attributes:
        items: Value and revision by key.
        revision: The store's revision.
        port: Its port.
        reads: Number of range reads that were answered.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.revision = 1
        self.port = 0
        self.reads = 0
        self.leases = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen on a free port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object) -> int:
        """Writes an item as JSON; returns its revision."""
        return self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> int:
        """Writes an item; returns its revision."""
        self.revision += 1
        self.items[key] = (value, self.revision)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)

    def item(self, key: str) -> dict[str, object]:
        """Returns an item as it is sent."""
        value, revision = self.items[key]
        text = base64.b64encode(value).decode()
        return {
            'key': key,
            'value': text,
            'rev': revision,
            'created': revision,
            'lease': 0,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        try:
            while (request := await wire.read_message(reader)) is not None:
                status, value = self.answer(request)
                body = json.dumps(value).encode()
                kind = {'Content-Type': 'application/json'}
                writer.write(wire.encode(f'HTTP/1.1 {status} X', kind, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # a cancelled task of a server would be reported as a fault
            pass
        finally:
            writer.close()

    def answer(self, request: wire.Message) -> tuple[int, object]:
        """Returns status and body of the answer to a call."""
        path, _, text = request.target.partition('?')
        query = dict(parse.parse_qsl(text))
        call = path.removeprefix(PREFIX)
        if call == 'kv-range':
            self.reads += 1
            return 200, self.range(query)
        if call == 'kv-txn':
            return self.transact(json.loads(request.body))
        if call == 'kv-lease':
            self.leases += 1
            ttl = json.loads(request.body)['ttlMs']
            return 200, {'lease': self.leases, 'ttlMs': ttl}
        if call == 'kv-watch':
            return 410, {}
        return 404, {}

    def range(self, query: dict[str, str]) -> dict[str, object]:
        """Answers a read of all keys with a prefix."""
        prefix, after = query.get('pathPrefix', ''), query.get('after', '')
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return {
            'items': [self.item(key) for key in keys],
            'hasMore': False,
            'storeRevision': self.revision,
        }

    def transact(self, body: dict[str, list]) -> tuple[int, object]:
        """Answers a transaction."""
        conditions = body.get('ifRev') or []
        for condition in conditions:
            if (
                self.items.get(condition['key'], (b'', 0))[1]
                != (condition['rev'])
            ):
                keys = [row['key'] for row in conditions]
                present = [self.item(key) for key in keys if key in self.items]
                return 412, {'items': present}
        for row in body.get('writes') or []:
            self.put_bytes(row['key'], base64.b64decode(row['value']))
        for key in body.get('remove') or []:
            self.remove(key)
        return 200, {'rev': self.revision}
