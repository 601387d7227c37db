"""Stand-ins for the platform: its store of objects and its failover call."""

import asyncio
import json
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

# Below the ports that the system gives to connections, which could take the
# port of a server that is down for a moment.
FIRST_PORT = 12000
LAST_PORT = 31000
PAGE_OBJECTS = 500
HISTORY_EVENTS = 5000
STORE_DELAY_S = 0.004
ROOT = '/-/objects/'
OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
REASONS = {
    OK: 'OK',
    CREATED: 'Created',
    NOT_FOUND: 'Not Found',
    CONFLICT: 'Conflict',
    GONE: 'Gone',
}

Answer = tuple[int, Any]
Handler = Callable[
    [str, str, dict[str, str], dict[str, str], bytes],
    Awaitable[Answer | None],
]


def free_port(host: str) -> int:
    """Return a port on which nothing listens at an address.

    Args:
        host: loopback address.

    """
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        return port


async def serve_http(
    host: str, handler: Handler, headers: dict[str, str] | None = None
) -> tuple[asyncio.Server, str]:
    """Serve HTTP/1.1 with JSON bodies on a free port.

    Args:
        host: loopback address.
        handler: returns status and body; None closes without an answer.
        headers: headers of all responses.

    Returns:
        The server and its address.

    """

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await _serve_one(reader, writer, handler, headers or {}):
                pass
        except (OSError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            writer.close()

    port = free_port(host)
    server = await asyncio.start_server(on_connection, host, port)
    return server, f'{host}:{port}'


async def _serve_one(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
    headers: dict[str, str],
) -> bool:
    line = await reader.readline()
    if not line:
        return False
    method, target, _ = line.decode('latin-1').split(' ', 2)
    received: dict[str, str] = {}
    while True:
        line = await reader.readline()
        if line in {b'\r\n', b''}:
            break
        name, _, text = line.decode('latin-1').partition(':')
        received[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(received.get('content-length', 0)))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query))
    answer = await handler(method, unquote(parts.path), query, received, body)
    if answer is None:
        return False
    status, content = answer
    payload = json.dumps(content).encode()
    head = [f'HTTP/1.1 {status} {REASONS.get(status, "Error")}']
    head += [f'{name}: {text}' for name, text in headers.items()]
    head += ['Content-Type: application/json']
    head += [f'Content-Length: {len(payload)}', '', '']
    writer.write('\r\n'.join(head).encode('latin-1') + payload)
    await writer.drain()
    return True


class Store:
    """The platform's store of objects: linearizable, with watches."""

    def __init__(self) -> None:
        """Start empty, in the first era."""
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object; the same content changes nothing.

        Args:
            kind: kind of the object.
            name: its name.
            spec: its content.

        """
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created_at': 0,
                'finalizers': [],
                'delete_requested': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind][name] = stored
        self._record(kind, stored, removed=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists.

        Args:
            kind: kind of the object.
            name: its name.

        """
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._record(kind, stored, removed=True)

    async def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> Answer | None:
        """Answer a call to the store."""
        await asyncio.sleep(STORE_DELAY_S)
        kind, _, name = path.removeprefix(ROOT).partition('/')
        if 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            return self._read(kind, name, query)
        if method == 'DELETE':
            self.remove(kind, name)
            return OK, {}
        return self._write(method, kind, json.loads(body))

    def _read(self, kind: str, name: str, query: dict[str, str]) -> Answer:
        of_kind = self.objects.get(kind, {})
        if name:
            stored = of_kind.get(name)
            return (NOT_FOUND, {}) if stored is None else (OK, stored)
        names = [
            each for each in sorted(of_kind) if each > query.get('after', '')
        ]
        page = names[:PAGE_OBJECTS]
        return OK, {
            'items': [of_kind[each] for each in page],
            'has_more': len(names) > len(page),
            'current_rev': self.revision,
        }

    def _write(self, method: str, kind: str, sent: dict[str, Any]) -> Answer:
        meta = sent['meta']
        known = self.objects.setdefault(kind, {}).get(meta['name'])
        if method == 'PUT' and known is None:
            return NOT_FOUND, {}
        if known is not None:
            revision = meta.get('revision')
            if method == 'POST':
                return CONFLICT, known
            if revision is not None and revision != known['meta']['revision']:
                return CONFLICT, known
        status = CREATED if known is None else OK
        return status, self.put(kind, meta['name'], sent['spec'])

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        revision = int(query['watch'])
        if revision > self.revision:
            return GONE, {}
        deadline = asyncio.get_running_loop().time()
        deadline += int(query.get('wait_ms', 0)) / 1000
        while True:
            found = [
                {'object': stored, 'tombstone': removed}
                for changed, of_kind, stored, removed in self.events
                if of_kind == kind and changed > revision
            ]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                return OK, {'events': found, 'current_rev': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                continue

    def _record(
        self, kind: str, stored: dict[str, Any], *, removed: bool
    ) -> None:
        self.events.append((self.revision, kind, stored, removed))
        del self.events[:-HISTORY_EVENTS]
        self._changed.set()
        self._changed = asyncio.Event()
