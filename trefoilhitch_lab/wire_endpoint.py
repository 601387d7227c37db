"""Stand-in of a database group that speaks the platform's wire protocol."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    Event,
    Nursery,
    SocketListener,
    SocketStream,
    open_nursery,
    open_tcp_listeners,
    sleep,
    sleep_forever,
)

RECEIVE_BYTES = 65536
MAX_CONNECTIONS = 30
PROMOTION_S = 0.3
_END = b'\r\n'
_LOST = (BrokenResourceError, ClosedResourceError, OSError)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A commit in a log.

    Args:
        term: term in which it was made.
        number: its number.
        writes: data by item.
        request_ids: ids of the statements that wrote.

    """

    term: int
    number: int
    writes: dict[str, str]
    request_ids: tuple[str, ...]

    @property
    def position(self) -> tuple[int, int]:
        """Where it stands in the log."""
        return self.term, self.number


@dataclass(slots=True)
class EndpointFaults:
    """Fault switches of one endpoint.

    Args:
        down: it refuses connections and has closed those that were open.
        silent: it accepts and answers nothing.
        cut_from_group: commits reach no other endpoint.
        lag_s: how much later it applies what it received.
        lose_answers: statements that run and whose connection then closes.
        busy: it refuses each statement.
        connections: most connections that it accepts.

    """

    down: bool = False
    silent: bool = False
    cut_from_group: bool = False
    lag_s: float = 0.01
    lose_answers: int = 0
    busy: bool = False
    connections: int = MAX_CONNECTIONS


@dataclass(slots=True)
class _Session:
    organisation: str
    state: str = 'I'
    reads_only: bool = False
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    writes: dict[str, str] = field(default_factory=dict)
    request_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RanStatement:
    """A statement that an endpoint ran, for checks from outside.

    Args:
        endpoint: id of the endpoint.
        request_id: the client's id.
        text: its text as received.
        organisation: for whom it ran.
        variables: session variables that it ran with.

    """

    endpoint: str
    request_id: str
    text: str
    organisation: str
    variables: dict[str, str]


class WireEndpoint:
    """One endpoint.

    Args:
        group: the group that it belongs to.
        endpoint: its id.
        data_centre: where it stands.

    """

    def __init__(
        self, group: 'WireGroup', endpoint: str, data_centre: str
    ) -> None:
        """Start with an empty log, as a replica."""
        self.endpoint = endpoint
        self.data_centre = data_centre
        self.faults = EndpointFaults()
        self.log: list[LogEntry] = []
        self.applied = 0
        self.leads = False
        self.fenced_term = 0
        self.address = ''
        self.calls: Counter[str] = Counter()
        self._group = group
        self._streams: set[SocketStream] = set()
        self._serving = CancelScope()

    @property
    def position(self) -> tuple[int, int]:
        """End of the log that it received."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._streams)

    def tables(self) -> dict[str, str]:
        """Return the data that it has applied."""
        data: dict[str, str] = {}
        for entry in self.log[: self.applied]:
            data.update(entry.writes)
        return data

    async def start(self, nursery: Nursery, port: int = 0) -> None:
        """Listen on loopback.

        Args:
            nursery: runs the connections.
            port: TCP port, 0 for any.

        """
        listeners = await open_tcp_listeners(port, host='127.0.0.1')
        self.address = '127.0.0.1:{}'.format(
            listeners[0].socket.getsockname()[1]
        )
        nursery.start_soon(self._accept, listeners[0])

    def crash(self) -> None:
        """Close every connection and refuse new ones."""
        self.faults.down = True
        for stream in self._streams:
            stream.socket.close()

    def take(self, entry: LogEntry) -> None:
        """Receive a commit.

        Args:
            entry: the commit; what contradicts it is discarded.

        """
        self.log = [kept for kept in self.log if kept.position < entry.position]
        self.applied = min(self.applied, len(self.log))
        self.log.append(entry)

    async def _accept(self, listener: SocketListener) -> None:
        async with open_nursery() as nursery:
            while True:
                stream = await listener.accept()
                if self.faults.down:
                    await stream.aclose()
                else:
                    nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: SocketStream) -> None:
        self._streams.add(stream)
        try:
            await self._converse(stream)
        except _LOST:
            return
        finally:
            self._streams.discard(stream)
            stream.socket.close()

    async def _converse(self, stream: SocketStream) -> None:
        reader = _Lines(stream)
        start = (await reader.next()).split()
        await self._hang()
        refusal = self._start_refusal(start)
        if refusal:
            await _send(stream, f'ERROR {refusal} {self.endpoint}')
            return
        session = _Session(start[2])
        await _send(stream, f'READY I {_spell(self.position)}')
        while True:
            line = await reader.next()
            if not line or line == 'TERMINATE':
                return
            answer = await self._answer(session, line)
            await self._hang()
            if answer is None:
                return
            position = _spell(self.position)
            await _send(stream, *answer, f'READY {session.state} {position}')

    async def _hang(self) -> None:
        if self.faults.silent:
            await sleep_forever()

    def _start_refusal(self, start: list[str]) -> str:
        if start[1] != self._group.service or start[3] != self.endpoint:
            return 'WRONGNODE'
        if len(self._streams) > self.faults.connections:
            return 'CONNLIMIT'
        return ''

    async def _answer(
        self, session: _Session, line: str
    ) -> tuple[str, ...] | None:
        _, request_id, text = line.split(' ', 2)
        if text.startswith('MINLSN '):
            _, needed, text = text.split(' ', 2)
            if self._applied_position() < _read_position(needed):
                return (f'ERROR LAGGING {self.endpoint}',)
        verb = text.split()[0]
        self.calls[verb] += 1
        if self.faults.busy:
            return (f'ERROR BUSY {self.endpoint}',)
        answer = await self._run(session, request_id, verb, text)
        if self.faults.lose_answers and request_id != '-':
            self.faults.lose_answers -= 1
            return None
        return answer

    def _applied_position(self) -> tuple[int, int]:
        return self.log[self.applied - 1].position if self.applied else (1, 0)

    async def _run(
        self, session: _Session, request_id: str, verb: str, text: str
    ) -> tuple[str, ...]:
        words = text.split()
        match verb:
            case 'STATUS' | 'PAUSE' | 'RESUME' | 'STEPDOWN':
                return self._control(verb, words)
            case 'SET':
                session.variables[words[1]] = words[2]
                return ('COMPLETE -',)
            case 'RESET':
                session.variables.clear()
                session.prepared.clear()
                return ('COMPLETE -',)
            case 'PREPARE':
                session.prepared[words[1]] = (words[2], words[3])
                return ('COMPLETE -',)
            case 'BEGIN':
                return self._begin(session, reads_only='READ' in words)
            case 'ROLLBACK':
                _end(session)
                return ('COMPLETE -',)
            case 'COMMIT':
                return await self._commit(session)
        return await self._statement(session, request_id, words, text)

    def _control(self, verb: str, words: list[str]) -> tuple[str, ...]:
        if verb == 'PAUSE' and int(words[1]) > self._group.term:
            self.fenced_term = int(words[1])
        if verb == 'RESUME':
            self.fenced_term = 0
            self._group.catch_up(self)
        if verb == 'STEPDOWN' and int(words[1]) > self._group.term:
            self.leads = False
        role = 'primary' if self.leads else 'replica'
        term = self._group.term if self.leads else self.position[0]
        position = _spell(self.position)
        fields = f'{role} {term} {position} {self.fenced_term} 0 0 1'
        return (f'DATAROW {fields}', 'COMPLETE -')

    def _begin(self, session: _Session, *, reads_only: bool) -> tuple[str, ...]:
        if not (reads_only or self.leads):
            return (f'ERROR READONLY {self.endpoint}',)
        session.state = 'T'
        session.reads_only = reads_only
        return ('COMPLETE -',)

    async def _statement(
        self,
        session: _Session,
        request_id: str,
        words: list[str],
        text: str,
    ) -> tuple[str, ...]:
        verb = words[0]
        if verb == 'EXECUTE':
            if words[1] not in session.prepared:
                return ('ERROR NOSTMT no such name',)
            verb = session.prepared[words[1]][0]
            words = [verb, *words[2:]]
        self._group.ran.append(
            RanStatement(
                self.endpoint,
                request_id,
                text,
                session.organisation,
                dict(session.variables),
            )
        )
        if verb == 'READ':
            row = self.tables().get(words[1], 'none')
            return (f'DATAROW {row}', f'COMPLETE receipt-{request_id}')
        return await self._write(session, request_id, words)

    async def _write(
        self, session: _Session, request_id: str, words: list[str]
    ) -> tuple[str, ...]:
        if not self.leads or session.reads_only:
            if session.state == 'T':
                session.state = 'E'
            return (f'ERROR READONLY {self.endpoint}',)
        session.writes[words[1]] = words[2]
        session.request_ids = (*session.request_ids, request_id)
        if session.state == 'T':
            return (f'COMPLETE receipt-{request_id}',)
        return await self._commit(session)

    async def _commit(self, session: _Session) -> tuple[str, ...]:
        writes, request_ids = session.writes, session.request_ids
        _end(session)
        if not writes:
            return ('COMPLETE receipt-none',)
        if not self.leads:
            return (f'ERROR READONLY {self.endpoint}',)
        await self._group.commit(self, writes, request_ids)
        return (f'COMPLETE receipt-{request_ids[-1]}',)


class WireGroup:
    """A database group: its endpoints, its log and what it acknowledged.

    Args:
        service: its name.
        sync_replicas: replicas that hold a commit before it is acknowledged.
        changed: called when an endpoint's role changes.

    """

    def __init__(
        self,
        service: str,
        *,
        sync_replicas: int = 1,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        """Start without endpoints."""
        self.service = service
        self.term = 1
        self.endpoints: dict[str, WireEndpoint] = {}
        self.ran: list[RanStatement] = []
        self.acknowledged: list[LogEntry] = []
        self.lost: list[LogEntry] = []
        self._sync_replicas = sync_replicas
        self._changed = changed
        self._nursery: Nursery | None = None

    async def start(
        self, nursery: Nursery, data_centres: tuple[str, ...]
    ) -> None:
        """Start one endpoint in each data centre; the first leads.

        Args:
            nursery: runs them.
            data_centres: where they stand.

        """
        self._nursery = nursery
        for number, data_centre in enumerate(data_centres):
            name = f'{self.service}-{number}'
            endpoint = WireEndpoint(self, name, data_centre)
            await endpoint.start(nursery)
            self.endpoints[name] = endpoint
        next(iter(self.endpoints.values())).leads = True

    @property
    def lead(self) -> WireEndpoint | None:
        """The endpoint that leads, if one does."""
        leading = [each for each in self.endpoints.values() if each.leads]
        return leading[0] if leading else None

    def replicas(self) -> list[WireEndpoint]:
        """Return the endpoints that do not lead."""
        return [each for each in self.endpoints.values() if not each.leads]

    async def commit(
        self,
        lead: WireEndpoint,
        writes: dict[str, str],
        request_ids: tuple[str, ...],
    ) -> None:
        """Commit at the lead and wait until enough replicas hold it.

        Args:
            lead: the endpoint.
            writes: data by item.
            request_ids: ids of the statements that wrote.

        """
        entry = LogEntry(
            self.term, lead.position[1] + 1, dict(writes), request_ids
        )
        lead.take(entry)
        lead.applied = len(lead.log)
        held = Event()
        holders: list[str] = []
        for replica in self.endpoints.values():
            if replica is not lead and self._nursery is not None:
                self._nursery.start_soon(
                    self._ship, lead, replica, entry, holders, held
                )
        if self._sync_replicas:
            await held.wait()
        self.acknowledged.append(entry)

    async def promote(self, endpoint: str) -> bool:
        """Make an endpoint lead the next term.

        Args:
            endpoint: its id.

        Returns:
            False if it is not running.

        """
        chosen = self.endpoints.get(endpoint)
        if chosen is None or chosen.faults.down:
            return False
        if chosen.leads:
            return True
        await sleep(PROMOTION_S)
        self.lost.extend(
            entry for entry in self.acknowledged if entry not in chosen.log
        )
        self.term += 1
        for each in self.endpoints.values():
            each.leads = each is chosen
            each.fenced_term = 0
            self.catch_up(each)
        chosen.applied = len(chosen.log)
        self._changed()
        return True

    def catch_up(self, replica: WireEndpoint) -> None:
        """Give a replica the log of the lead.

        Args:
            replica: the endpoint.

        """
        lead = self.lead
        cut = replica.faults.cut_from_group or replica.fenced_term
        if lead is None or replica is lead or cut or lead.faults.cut_from_group:
            return
        replica.log = list(lead.log)
        replica.applied = min(replica.applied, len(replica.log))
        self._apply_later(replica)

    async def _ship(
        self,
        lead: WireEndpoint,
        replica: WireEndpoint,
        entry: LogEntry,
        holders: list[str],
        held: Event,
    ) -> None:
        await sleep(0)
        cut = lead.faults.cut_from_group or replica.faults.cut_from_group
        if cut or replica.faults.down or replica.fenced_term:
            return
        if entry.term != self.term or not lead.leads:
            return
        replica.take(entry)
        holders.append(replica.endpoint)
        if len(holders) >= self._sync_replicas:
            held.set()
        self._apply_later(replica)

    def _apply_later(self, replica: WireEndpoint) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(_apply, replica, len(replica.log))


class _Lines:
    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._bytes = b''

    async def next(self) -> str:
        while _END not in self._bytes:
            chunk = await self._stream.receive_some(RECEIVE_BYTES)
            if not chunk:
                return ''
            self._bytes += bytes(chunk)
        line, _, self._bytes = self._bytes.partition(_END)
        return line.decode('latin-1')


async def _apply(replica: WireEndpoint, count: int) -> None:
    await sleep(replica.faults.lag_s)
    replica.applied = max(replica.applied, min(count, len(replica.log)))


async def _send(stream: SocketStream, *lines: str) -> None:
    await stream.send_all('\r\n'.join((*lines, '')).encode('latin-1'))


def _end(session: _Session) -> None:
    session.state = 'I'
    session.reads_only = False
    session.writes = {}
    session.request_ids = ()


def _spell(position: tuple[int, int]) -> str:
    return f'{position[0]}.{position[1]}'


def _read_position(text: str) -> tuple[int, int]:
    term, _, number = text.partition('.')
    return int(term), int(number)
