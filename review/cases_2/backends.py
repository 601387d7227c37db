"""Stand-ins for database back ends: wire protocol, log, roles, promotion."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from review.cases_2.http_api import Store, free_port

HOST = '127.0.0.1'
HEARTBEAT_S = 1.2
MAX_CONNECTIONS = 33
SLOTS = 5
WORK_S = 0.004
MIN_START_FIELDS = 3
CONTROL_VERBS = frozenset(('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'))
_MS_PER_S = 1000

Position = tuple[int, int]


@dataclass(eq=False)
class Entry:
    """A commit in a log.

    Args:
        term: term of the primary that made it.
        number: its number.
        writes: items that it wrote.
        request_ids: ids of the statements that wrote them.

    """

    term: int
    number: int
    writes: dict[str, str]
    request_ids: tuple[str, ...]

    @property
    def position(self) -> Position:
        """Position of the commit."""
        return self.term, self.number


def show(position: Position) -> str:
    """Return a position as the wire has it."""
    return '{}.{}'.format(*position) if position[1] else '-'


class LostAnswerError(Exception):
    """The connection ends without an answer."""


@dataclass(eq=False)
class Backend:
    """One back end.

    Args:
        group: its group.
        name: its id.
        zone: its zone.
        delay_s: time in which a commit reaches it.

    """

    group: 'Group'
    name: str
    zone: str
    delay_s: float
    role: str = 'replica'
    term: int = 1
    held: int = 0
    log: list[Entry] = field(default_factory=list)
    up: bool = False
    receives: bool = True
    state: str = 'ready'
    born: int = 1
    sequence: int = 0
    port: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    # Returns after how many seconds an order is carried out without an
    # answer, None for one that is answered at once.
    order_delay: Callable[[str], float | None] = lambda _verb: None

    @property
    def position(self) -> Position:
        """Position of the last commit that was received."""
        return self.log[-1].position if self.log else (0, 0)

    def holds(self, entry: Entry) -> bool:
        """Return whether a commit is in the log; numbers begin with 1.

        Args:
            entry: the commit.

        """
        index = entry.number - 1
        return index < len(self.log) and self.log[index] is entry

    @property
    def address(self) -> str:
        """Address of the back end."""
        return f'{HOST}:{self.port}'

    async def start(self) -> None:
        """Start, or start again under the same id and address."""
        self.port = self.port or free_port(HOST)
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2 * 1024 * 1024
        )
        self.up = True
        self.held = 0
        self.born = int(time.time() * _MS_PER_S)
        self.sequence = 0
        self.register()
        self.group.changed()

    def forget(self) -> None:
        """Hold and know nothing of before, as after a start under its id."""
        self.log = []
        self.term = 0

    def crash(self) -> None:
        """End all connections and listen no more."""
        self.up = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def register(self) -> None:
        """Write the entry of the back end into the store."""
        if self.up:
            self.sequence += 1
            self.group.store.put(
                'servers',
                self.name,
                {
                    'service': self.group.service,
                    'address': self.address,
                    'zone': self.zone,
                    'config_version': 'v1',
                    'capacity': SLOTS,
                    'state': self.state,
                    'cold_remaining_ms': 0,
                    'sequence': self.sequence,
                    'db_role': self.role,
                    'born': self.born,
                },
            )

    def status(self) -> str:
        """Return the row that STATUS and the orders are answered with."""
        return (
            f'DATAROW {self.role} {self.term} {show(self.position)} '
            f'{self.held} 0 0 {len(self.writers)}'
        )

    def carry_out(self, verb: str, term: int) -> None:
        """Carry out an order.

        Args:
            verb: the order.
            term: its term, 0 if it has none.

        """
        if not self.up:
            return
        if verb == 'PAUSE' and term > self.term:
            self.held = term
        elif verb == 'RESUME':
            self.held = 0
        elif verb == 'STEPDOWN' and term > self.term:
            self.role = 'replica'
        self.group.changed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self._run_session(reader, writer)
        except (OSError, LostAnswerError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        words = (await reader.readline()).decode('latin-1').split()
        error = self._start_error(words)
        if error:
            writer.write(f'ERROR {error} {self.name}\r\n'.encode())
            await writer.drain()
            return
        session = Session(self)
        writer.write(f'READY I {show(self.position)}\r\n'.encode())
        while True:
            line = (await reader.readline()).decode('latin-1').rstrip('\r\n')
            if not line or line == 'TERMINATE':
                return
            lines = await session.run(line)
            lines.append(f'READY {session.state} {show(self.position)}')
            writer.write(''.join(f'{each}\r\n' for each in lines).encode())
            await writer.drain()

    def _start_error(self, words: list[str]) -> str:
        if len(words) < MIN_START_FIELDS or words[0] != 'START':
            return 'MALFORMED'
        if words[1] != self.group.service:
            return 'WRONGNODE'
        if words[3:] and words[3] != self.name:
            return 'WRONGNODE'
        if len(self.writers) > MAX_CONNECTIONS:
            return 'CONNLIMIT'
        return ''


class Session:
    """One connection to a back end.

    Args:
        backend: the back end.

    """

    def __init__(self, backend: Backend) -> None:
        """Start outside a transaction."""
        self.state = 'I'
        self._backend = backend
        self._plain = False
        self._prepared: dict[str, tuple[str, str]] = {}
        self._writes: dict[str, str] = {}
        self._ids: tuple[str, ...] = ()

    async def run(self, line: str) -> list[str]:
        """Run one statement and return the lines before READY."""
        _, request_id, text = line.split(' ', 2)
        if text.startswith('MINLSN '):
            _, minimum, text = text.split(' ', 2)
            term, _, number = minimum.partition('.')
            if self._backend.position < (int(term), int(number)):
                return self._error('LAGGING')
        verb, *words = text.split()
        if verb in CONTROL_VERBS:
            return await self._control(verb, words)
        if self.state == 'E' and verb not in {'COMMIT', 'ROLLBACK'}:
            return self._error('MALFORMED')
        if verb == 'PREPARE':
            return self._prepare(text)
        if verb in {'SET', 'RESET', 'DEALLOC', 'ROLLBACK'}:
            return self._local(verb)
        if verb == 'BEGIN':
            return self._begin(read_only=bool(words))
        if verb == 'COMMIT':
            return await self._commit(request_id)
        await asyncio.sleep(WORK_S)
        return await self._run_access(request_id, verb, text.split(' ')[1:])

    async def _control(self, verb: str, words: list[str]) -> list[str]:
        backend = self._backend
        if verb != 'STATUS':
            term = int(words[0]) if words else 0
            late_s = backend.order_delay(verb)
            if late_s is not None:
                backend.group.note(f'order {verb} {term} left', backend.name)
                asyncio.get_running_loop().call_later(
                    late_s, backend.carry_out, verb, term
                )
                await asyncio.sleep(60)
                raise LostAnswerError
            backend.carry_out(verb, term)
            backend.group.note(f'order {verb} {term}', backend.status())
        return [backend.status(), 'COMPLETE -']

    def _prepare(self, text: str) -> list[str]:
        words = text.split(' ', 3)
        if len(words) < 4 or words[2] not in {'READ', 'WRITE'}:
            return self._error('MALFORMED')
        self._prepared[words[1]] = words[2], words[3]
        return ['COMPLETE -']

    def _local(self, verb: str) -> list[str]:
        if verb == 'RESET':
            self._prepared.clear()
        elif verb == 'ROLLBACK':
            self._end()
        return ['COMPLETE -']

    def _begin(self, *, read_only: bool) -> list[str]:
        if not read_only and self._backend.role != 'primary':
            return self._error('READONLY')
        self.state = 'T'
        self._plain = not read_only
        return ['COMPLETE -']

    async def _run_access(
        self, request_id: str, verb: str, words: list[str]
    ) -> list[str]:
        if verb == 'EXECUTE':
            if words[0] not in self._prepared:
                return self._error('NOSTMT')
            (verb, shape), words = self._prepared[words[0]], words[1:]
            self._backend.group.executed.append((request_id, shape, words))
        backend = self._backend
        if (self._plain or verb == 'WRITE') and backend.role != 'primary':
            self.state = 'I' if self.state == 'I' else 'E'
            return self._error('READONLY')
        if verb == 'READ':
            found = 'none'
            for entry in backend.log:
                found = entry.writes.get(words[0], found)
            return [f'DATAROW {found}', f'COMPLETE {self._receipt(request_id)}']
        self._writes[words[0]] = ' '.join(words[1:])
        self._ids = (*self._ids, request_id)
        if self.state == 'I':
            return await self._commit(request_id)
        return [f'COMPLETE {self._receipt(request_id)}']

    async def _commit(self, request_id: str) -> list[str]:
        writes, ids, failed = self._writes, self._ids, self.state == 'E'
        self._end()
        if failed:
            return self._error('ABORTED')
        if writes:
            if self._backend.role != 'primary':
                return self._error('READONLY')
            await self._backend.group.commit(self._backend, writes, ids)
        return [f'COMPLETE {self._receipt(request_id)}']

    def _receipt(self, request_id: str) -> str:
        return f'r.{self._backend.name}.{request_id}'

    def _end(self) -> None:
        self.state = 'I'
        self._plain = False
        self._writes = {}
        self._ids = ()

    def _error(self, code: str) -> list[str]:
        return [f'ERROR {code} {self._backend.name}']


class Group:
    """A service: a primary and its replicas.

    Args:
        store: the platform's store.
        service: name of the service.
        note: writes a line into the record.
        promote_s: time that a promotion takes.

    """

    def __init__(
        self,
        store: Store,
        service: str,
        note: Callable[[str, Any], None],
        promote_s: float,
    ) -> None:
        """Start without back ends."""
        self.store = store
        self.service = service
        self.note = note
        self.promote_s = promote_s
        self.backends: dict[str, Backend] = {}
        self.acknowledged: list[Entry] = []
        # Acknowledged commits that a promoted back end lacked.
        self.lost: list[tuple[str, Entry]] = []
        self.promotions = 0
        # Prepared statements that ran: request id, shape, item and data.
        self.executed: list[tuple[str, str, list[str]]] = []
        self._change = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def add(self, backend: Backend) -> None:
        """Start a back end and its replication.

        Args:
            backend: the back end.

        """
        self.backends[backend.name] = backend
        await backend.start()
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._replicate(backend)))
        self._tasks.append(loop.create_task(self._beat(backend)))

    def stop(self) -> None:
        """End all back ends."""
        for task in self._tasks:
            task.cancel()
        for backend in self.backends.values():
            backend.crash()

    def changed(self) -> None:
        """Wake all that wait for a change."""
        self._change.set()
        self._change = asyncio.Event()

    @property
    def primary(self) -> Backend | None:
        """The primary, None if there is none."""
        leading = [
            each for each in self.backends.values() if each.role == 'primary'
        ]
        return max(leading, key=lambda each: each.term, default=None)

    async def commit(
        self, primary: Backend, writes: dict[str, str], ids: tuple[str, ...]
    ) -> None:
        """Commit, and return when one replica has received it.

        Raises:
            LostAnswerError: the back end ended or lost the lead before.

        """
        number = primary.position[1] + 1
        entry = Entry(primary.term, number, dict(writes), ids)
        primary.log.append(entry)
        self.changed()
        while not self._is_held(primary, entry):
            if not self._leads(primary, entry):
                raise LostAnswerError
            change = self._change
            with suppress(asyncio.TimeoutError):
                await asyncio.wait_for(change.wait(), 1)
        if not self._leads(primary, entry):
            raise LostAnswerError
        self.acknowledged.append(entry)

    async def promote(self, name: str) -> None:
        """Let a back end lead the next term with what it has received.

        Args:
            name: id of the back end.

        """
        await asyncio.sleep(self.promote_s)
        chosen = self.backends[name]
        if not chosen.up or chosen.role == 'primary':
            return
        term = max(each.term for each in self.backends.values()) + 1
        lost = [each for each in self.acknowledged if not chosen.holds(each)]
        self.lost.extend((name, each) for each in lost)
        for backend in self.backends.values():
            backend.term = term
            backend.held = 0
            backend.role = 'primary' if backend is chosen else 'replica'
            if backend is not chosen:
                shared = [each for each in backend.log if chosen.holds(each)]
                backend.log = shared
        self.note(
            f'{name} leads term {term} at {show(chosen.position)}',
            f'{len(lost)} acknowledged commits are not in its log',
        )
        for backend in self.backends.values():
            backend.register()
        self.promotions += 1
        self.changed()

    def _leads(self, primary: Backend, entry: Entry) -> bool:
        return (
            primary.up
            and primary.role == 'primary'
            and primary.term == entry.term
            and primary.holds(entry)
        )

    def _is_held(self, primary: Backend, entry: Entry) -> bool:
        return any(
            each.holds(entry)
            for each in self.backends.values()
            if each is not primary
        )

    async def _replicate(self, replica: Backend) -> None:
        while True:
            change = self._change
            source = self.primary
            if source is None or not self._is_behind(source, replica):
                await change.wait()
                continue
            sent, term = list(source.log), source.term
            await asyncio.sleep(replica.delay_s)
            still = source.role == 'primary' and source.term == term
            if still and self._is_behind(source, replica):
                replica.log = sent
                replica.term = max(replica.term, source.term)
                self.changed()

    def _is_behind(self, source: Backend, replica: Backend) -> bool:
        if source is replica or not (source.up and replica.up):
            return False
        if replica.held or not replica.receives:
            return False
        return len(replica.log) < len(source.log)

    async def _beat(self, backend: Backend) -> None:
        missed = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            missed = 0 if backend.up else missed + 1
            backend.register()
            if missed == 3:
                self.store.remove('servers', backend.name)
