"""Stand-in of the platform's store and of its promotion call."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = '/-/objects/'
PAGE_OBJECTS = 50
REASONS = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
}

Reply = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Reply]]


async def serve_http(
    handler: Handler, host: str, port: int
) -> asyncio.AbstractServer:
    """Serve HTTP/1.1 with JSON bodies until the server is closed.

    Args:
        handler: gets method, target, headers and body; returns the status and
            the body of the response.
        host: address to listen on.
        port: port to listen on.

    Returns:
        The server.

    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await _serve_one(handler, reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port)


async def _serve_one(
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    status, answer = await handler(method, target, headers, body)
    content = b'' if answer is None else json.dumps(answer).encode()
    writer.write(
        f'HTTP/1.1 {status} {REASONS.get(status, "Other")}\r\n'
        'Content-Type: application/json\r\nStore-Era: 1\r\n'
        f'Content-Length: {len(content)}\r\n\r\n'.encode()
        + content
    )
    await writer.drain()
    return headers.get('connection', '').lower() != 'close'


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        # Calls are reset while set.
        self.is_down = False
        # Number of calls that were reset.
        self.resets = 0

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object without a condition.

        Args:
            kind: its kind.
            name: its name.
            spec: its content.

        Returns:
            The object as stored.

        """
        known = self.kinds.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        meta = {'name': name, 'revision': self.revision, 'finalizers': []}
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.kinds[kind][name] = stored
        self._note(kind, stored, removed=False)
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists.

        Args:
            kind: its kind.
            name: its name.

        """
        stored = self.kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, removed=True)

    def go_down(self) -> None:
        """Reset all calls from now on, waiting ones too."""
        self.is_down = True
        self._wake()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Reply:
        """Answer a call of the system.

        Args:
            method: the method.
            target: path and query.
            headers: the headers.
            body: the body.

        Returns:
            Status and body of the answer.

        """
        self._ensure_up()
        url = urlsplit(target)
        query = {name: each[0] for name, each in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix(ROOT).partition('/')
        name = unquote(name)
        if 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET':
            return self._read(kind, name, query.get('after', ''))
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, {}
        return self._write(method, kind, json.loads(body))

    def _read(self, kind: str, name: str, after: str) -> Reply:
        objects = self.kinds.get(kind, {})
        if name:
            stored = objects.get(name)
            return (200, stored) if stored else (404, None)
        names = [each for each in sorted(objects) if each > after]
        page = names[:PAGE_OBJECTS]
        return 200, {
            'items': [objects[each] for each in page],
            'has_more': len(names) > len(page),
            'current_rev': self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> Reply:
        since = int(query['watch'])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get('wait_ms', '0')) / 1000
        while not self._events(kind, since) and loop.time() < ends_at:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), ends_at - loop.time())
            except TimeoutError:
                break
            self._ensure_up()
        return 200, {
            'events': self._events(kind, since),
            'current_rev': self.revision,
        }

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': stored, 'tombstone': removed}
            for revision, of_kind, stored, removed in self._changes
            if of_kind == kind and revision > since
        ]

    def _write(self, method: str, kind: str, written: Any) -> Reply:
        meta = written['meta']
        known = self.kinds.get(kind, {}).get(meta['name'])
        if method == 'PUT' and known is None:
            return 404, None
        if known is not None and (
            method == 'POST'
            or meta.get('revision') not in {None, known['meta']['revision']}
        ):
            return 409, known
        return 200, self.put(kind, meta['name'], written['spec'])

    def _note(
        self, kind: str, stored: dict[str, Any], *, removed: bool
    ) -> None:
        self._changes.append((self.revision, kind, stored, removed))
        self._wake()

    def _ensure_up(self) -> None:
        if self.is_down:
            self.resets += 1
            raise ConnectionResetError('the store is down')

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PromotionCall:
    """Stand-in of `POST /failover`, which checks fencing tokens.

    Args:
        promote: promotes a server of a service; False if it is not running.
        record: writes a line of the record.

    """

    def __init__(
        self,
        promote: Callable[[str, str], Awaitable[bool]],
        record: Callable[[str], None],
    ) -> None:
        """Start without calls."""
        self._promote = promote
        self._record = record
        self._highest: dict[str, int] = {}

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Reply:
        """Execute a call.

        Args:
            method: the method.
            target: path and query.
            headers: the headers.
            body: the body.

        Returns:
            Status and body of the answer.

        """
        order = json.loads(body)
        service, server = order['service'], order['id']
        token = int(headers['fencing-token'])
        accepted = token >= self._highest.get(service, 0)
        if accepted:
            self._highest[service] = token
            accepted = await self._promote(service, server)
        self._record(
            f'failover {server} token {token} of {headers["lease-holder"]}: '
            f'{"200" if accepted else "409"}'
        )
        return (200 if accepted else 409), None
