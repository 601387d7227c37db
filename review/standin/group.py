"""Stand-in of a database service: a primary, its replicas, replication."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standin.store import Store

Position = tuple[int, int]
HEARTBEAT_S = 1.2
# An entry is removed after this many heartbeats were missed.
MISSED_HEARTBEATS = 3
PROMOTE_S = 0.6
REPLICATION_DELAY_S = 0.02
MAX_CONNECTIONS = 33


@dataclass(frozen=True)
class Entry:
    """A commit: its position and the items that it wrote."""

    position: Position
    writes: tuple[tuple[str, str], ...]


@dataclass(eq=False)
class Server:
    """One database server.

    Args:
        name: its id.
        zone: zone in which it runs.
        address: `ADDRESS:PORT`.
        started_ms: Unix time of its start in ms.

    """

    name: str
    zone: str
    address: str
    started_ms: int
    log: list[Entry] = field(default_factory=list)
    term: int = 1
    is_primary: bool = False
    paused: int = 0
    is_up: bool = True
    # Receives nothing from the primary while set.
    is_deaf: bool = False
    listener: Any = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def position(self) -> Position:
        """End of the log that it has received."""
        return self.log[-1].position if self.log else (self.term, 0)

    def rows(self) -> dict[str, str]:
        """Return the data by item."""
        data: dict[str, str] = {}
        for entry in self.log:
            data.update(entry.writes)
        return data


class Group:
    """A service: one primary and its replicas, `sync_replicas` 1.

    Args:
        service: its name.
        store: the platform's store, where the servers register.
        record: writes a line of the record.

    """

    def __init__(
        self, service: str, store: Store, record: Callable[[str], None]
    ) -> None:
        """Start without servers."""
        self.service = service
        self.servers: dict[str, Server] = {}
        self.acknowledged: list[Entry] = []
        # What was lost by promotions: acknowledged commits.
        self.lost: list[Entry] = []
        self.runs: list[tuple[str, str, str, str]] = []
        self.record = record
        self._store = store
        self._shipped = asyncio.Event()

    @property
    def primary(self) -> Server | None:
        """The primary, None if no server leads."""
        leading = [each for each in self.servers.values() if each.is_primary]
        return max(leading, key=lambda each: each.term, default=None)

    async def add(self, server: Server) -> None:
        """Start a server.

        Args:
            server: the server.

        """
        self.servers[server.name] = server
        host, _, port = server.address.rpartition(':')

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            server.writers.add(writer)
            try:
                await Session(self, server).serve(reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                server.writers.discard(writer)
                writer.close()

        server.listener = await asyncio.start_server(serve, host, int(port))
        server.is_up = True
        self.register(server)

    def crash(self, server: Server) -> None:
        """Crash a server; it keeps its log.

        Args:
            server: the server.

        """
        server.is_up = False
        server.listener.close()
        for writer in list(server.writers):
            writer.transport.abort()
        self.record(f'server {server.name} crashes at {server.position}')

    async def restart(self, server: Server) -> None:
        """Start a crashed server again, with its log.

        Args:
            server: the server.

        """
        server.started_ms = time.time_ns() // 1_000_000
        server.paused = 0
        leader = self.primary
        if server.is_primary and leader is not server:
            server.is_primary = False
        await self.add(server)
        self.record(f'server {server.name} starts again at {server.position}')

    def register(self, server: Server) -> None:
        """Write the entry of a server to the store.

        Args:
            server: the server.

        """
        self._store.put(
            'servers',
            server.name,
            {
                'service': self.service,
                'address': server.address,
                'zone': server.zone,
                'config_version': 'v1',
                'capacity': 5,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'db_role': 'primary' if server.is_primary else 'replica',
                'sequence': 1,
                'born': server.started_ms,
            },
        )

    async def run(self) -> None:
        """Replicate, and let the entries of dead servers lapse."""
        down_since: dict[str, float] = {}
        while True:
            await asyncio.sleep(REPLICATION_DELAY_S)
            self._replicate()
            now = time.monotonic()
            for server in self.servers.values():
                if server.is_up:
                    down_since.pop(server.name, None)
                    continue
                since = down_since.setdefault(server.name, now)
                if now - since >= MISSED_HEARTBEATS * HEARTBEAT_S:
                    self._store.remove('servers', server.name)

    def _replicate(self) -> None:
        leader = self.primary
        if leader is None or not leader.is_up:
            return
        for server in self.servers.values():
            is_closed = server.paused or server.is_deaf or not server.is_up
            if server is leader or is_closed or server.term > leader.term:
                continue
            server.term = leader.term
            if server.log != leader.log:
                server.log = list(leader.log)
                self._shipped.set()
                self._shipped = asyncio.Event()

    async def commit(
        self, server: Server, writes: tuple[tuple[str, str], ...]
    ) -> bool:
        """Commit at a primary; return once a replica has received it.

        Args:
            server: the primary.
            writes: items and their data.

        Returns:
            False if the server has lost the lead.

        """
        number = server.position[1] + 1
        entry = Entry((server.term, number), writes)
        server.log.append(entry)
        while server.is_primary and server.is_up:
            holders = [
                each.name
                for each in self.servers.values()
                if each is not server and entry in each.log
            ]
            if holders:
                self.acknowledged.append(entry)
                self.record(
                    f'commit {entry.position} {dict(writes)} at {server.name}, '
                    f'held by {holders}, acknowledged'
                )
                return True
            await asyncio.sleep(0.005)
        return False

    async def promote(self, service: str, name: str) -> bool:
        """Promote a server to primary of the next term.

        Args:
            service: service that the call names.
            name: id of the server.

        Returns:
            False if it is not running.

        """
        server = self.servers.get(name)
        if service != self.service or server is None or not server.is_up:
            return False
        if server.is_primary:
            return True
        await asyncio.sleep(PROMOTE_S)
        if not server.is_up:
            return False
        missing = [each for each in self.acknowledged if each not in server.log]
        self.lost.extend(missing)
        term = 1 + max(each.term for each in self.servers.values())
        for each in self.servers.values():
            each.is_primary = each is server
            each.paused = 0
        server.term = term
        self.record(
            f'server {name} leads term {term} from {server.position}; '
            f'acknowledged commits that it lacks: '
            f'{[dict(each.writes) for each in missing]}'
        )
        for each in self.servers.values():
            if each.is_up:
                self.register(each)
        return True


class Session:
    """One connection to a server.

    Args:
        group: the service.
        server: the server.

    """

    def __init__(self, group: Group, server: Server) -> None:
        """Start outside a transaction."""
        self._group = group
        self._server = server
        self._state = 'I'
        self._read_only = False
        self._tenant = ''
        self._values: dict[str, str] = {}
        self._shapes: dict[str, tuple[str, str]] = {}
        self._writes: list[tuple[str, str]] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the connection until it ends.

        Args:
            reader: reads from the caller.
            writer: writes to the caller.

        """
        line = await _read_line(reader)
        words = line.split(' ')
        group, server = self._group, self._server
        if words[:2] != ['START', group.service] or (
            len(words) > 3 and words[3] != server.name
        ):
            _send(writer, [f'ERROR WRONGNODE {server.name}'])
            return
        if len(server.writers) > MAX_CONNECTIONS:
            _send(writer, [f'ERROR CONNLIMIT {server.name}'])
            return
        self._tenant = words[2]
        _send(writer, [self._ready()])
        while True:
            line = await _read_line(reader)
            if line == 'TERMINATE':
                return
            _, request, text = line.split(' ', 2)
            lines = await self._answer(request, text)
            if not server.is_up:
                return
            _send(writer, [*lines, self._ready()])

    def _ready(self) -> str:
        term, number = self._server.position
        return f'READY {self._state} {term}.{number}'

    async def _answer(self, request: str, text: str) -> list[str]:
        if text.startswith('MINLSN '):
            _, wanted, text = text.split(' ', 2)
            term, _, number = wanted.partition('.')
            if self._server.position < (int(term), int(number)):
                return [f'ERROR LAGGING {self._server.name}']
        verb, _, rest = text.partition(' ')
        if self._state == 'E' and verb not in {'ROLLBACK', 'COMMIT'}:
            return ['ERROR MALFORMED the transaction failed']
        match verb:
            case 'STATUS' | 'PAUSE' | 'RESUME' | 'STEPDOWN':
                return self._control(verb, rest)
            case 'SET':
                name, _, value = rest.partition(' ')
                self._values[name] = value
            case 'RESET':
                self._values.clear()
                self._shapes.clear()
            case 'PREPARE':
                return self._prepare(rest)
            case 'DEALLOC':
                self._shapes.pop(rest, None)
            case 'BEGIN':
                if not (rest or self._server.is_primary):
                    return [f'ERROR READONLY {self._server.name}']
                self._state, self._read_only = 'T', bool(rest)
            case 'ROLLBACK':
                self._end()
            case _:
                return await self._run(request, verb, rest, text)
        return ['COMPLETE -']

    def _prepare(self, rest: str) -> list[str]:
        words = rest.split(' ', 2)
        if len(words) < 3 or words[1] not in {'READ', 'WRITE'}:
            return ['ERROR MALFORMED PREPARE']
        self._shapes[words[0]] = (words[1], words[2])
        return ['COMPLETE -']

    async def _run(
        self, request: str, verb: str, rest: str, text: str
    ) -> list[str]:
        shape = ''
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self._shapes:
                return [f'ERROR NOSTMT {name}']
            verb, shape = self._shapes[name]
        item, _, data = rest.partition(' ')
        if verb == 'WRITE' and not self._may_write():
            return [f'ERROR READONLY {self._server.name}']
        self._group.runs.append((request, self._tenant, shape, text))
        self._group.record(
            f'run {request} at {self._server.name} for {self._tenant}: '
            f'{text!r} shape {shape!r}'
        )
        if verb == 'READ':
            row = self._server.rows().get(item, 'none')
            return [f'DATAROW {row}', f'COMPLETE r-{request}']
        if verb == 'WRITE':
            self._writes.append((item, data))
        if verb == 'WRITE' and self._state == 'T':
            return [f'COMPLETE r-{request}']
        return await self._commit(request)

    def _may_write(self) -> bool:
        if self._server.is_primary and not self._read_only:
            return True
        if self._state == 'T':
            self._state = 'E'
        return False

    async def _commit(self, request: str) -> list[str]:
        writes, failed = tuple(self._writes), self._state == 'E'
        self._end()
        if failed:
            return ['ERROR ABORTED the transaction failed']
        if writes and not self._server.is_primary:
            return [f'ERROR READONLY {self._server.name}']
        if writes and not await self._group.commit(self._server, writes):
            return ['ERROR INDOUBT the lead was lost']
        return [f'COMPLETE r-{request}']

    def _end(self) -> None:
        self._state, self._read_only = 'I', False
        self._writes = []

    def _control(self, verb: str, rest: str) -> list[str]:
        server = self._server
        if verb == 'PAUSE' and int(rest) > server.term:
            server.paused = int(rest)
        if verb == 'RESUME':
            server.paused = 0
        if verb == 'STEPDOWN' and int(rest) > server.term:
            server.is_primary = False
        if verb != 'STATUS':
            self._group.record(f'{verb} {rest} at {server.name}'.rstrip())
        role = 'primary' if server.is_primary else 'replica'
        term, number = server.position
        held = server.paused
        row = f'{role} {server.term} {term}.{number} {held} 0 0 1'
        return [f'DATAROW {row}', 'COMPLETE -']


async def _read_line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b'\r\n'))[:-2].decode('latin-1')


def _send(writer: asyncio.StreamWriter, lines: list[str]) -> None:
    writer.write(''.join(f'{each}\r\n' for each in lines).encode('latin-1'))
