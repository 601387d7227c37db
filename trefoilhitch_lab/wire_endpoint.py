"""Emulated endpoint of the wire protocol: log, role and fault switches."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    Nursery,
    SocketListener,
    SocketStream,
    open_nursery,
    open_tcp_listeners,
    sleep_forever,
)

from trefoilhitch_lab.prepared_names import HeldPeak
from trefoilhitch_lab.wire_grammar import (
    MalformedError,
    is_too_long,
    parse_start,
)
from trefoilhitch_lab.wire_lines import LineReader, send_lines
from trefoilhitch_lab.wire_log import (
    ExecutedStatement,
    LogEntry,
    ReceivedLine,
    encode_position,
)
from trefoilhitch_lab.wire_session import EndpointSession

MAX_CONNECTIONS = 30
_CONNECTION_ERRORS = (BrokenResourceError, ClosedResourceError, OSError)


@dataclass(slots=True)
class EndpointFaults:
    """Fault switches of one endpoint.

    Args:
        down: connections are closed as soon as they are accepted.
        silent: connections are accepted but get no response.
        cut_from_group: nothing is replicated to or from this endpoint, and
            it hears of no promotion.
        receive_delay_s: time that a commit takes to reach this endpoint, in
            seconds.
        apply_lag_s: delay between receiving and applying a commit, in
            seconds.
        drop_responses: number of coming client statements whose connection
            closes after they ran, instead of a response.
        busy: each statement is refused with BUSY.
        malformed_verbs: verbs of the statements that are refused with
            MALFORMED.
        max_connections: maximum number of open connections.
        read_delay_s: time that each read takes, in seconds.
        late_orders: delays in seconds by control verb; such an order gets no
            response and is carried out later.

    """

    down: bool = False
    silent: bool = False
    cut_from_group: bool = False
    receive_delay_s: float = 0
    apply_lag_s: float = 0.01
    drop_responses: int = 0
    busy: bool = False
    malformed_verbs: frozenset[str] = frozenset()
    max_connections: int = MAX_CONNECTIONS
    read_delay_s: float = 0
    late_orders: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class EndpointTerms:
    """Terms that an endpoint knows.

    Args:
        known: latest term that it has heard of.
        fenced: term for which it was fenced, 0 if it is not fenced.

    """

    known: int = 1
    fenced: int = 0


class DatabaseGroup(Protocol):
    """The group that an endpoint belongs to."""

    service: str
    term: int
    received: list[ReceivedLine]
    executed: list[ExecutedStatement]
    violations: list[ReceivedLine]
    held_peak: HeldPeak

    async def commit(
        self,
        primary: 'WireEndpoint',
        writes: dict[str, str],
        request_ids: tuple[str, ...],
    ) -> None:
        """Commit at the primary and wait until enough replicas hold it."""

    def catch_up(self, replica: 'WireEndpoint') -> None:
        """Copy the primary's log to a replica."""

    def next_connection(self) -> int:
        """Return the number of a new connection."""

    def run_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""


class WireEndpoint:
    """An emulated endpoint that speaks the wire protocol.

    Args:
        group: database group that the endpoint belongs to.
        endpoint: id of the endpoint.
        data_centre: data centre in which it runs.

    """

    def __init__(
        self, group: DatabaseGroup, endpoint: str, data_centre: str
    ) -> None:
        """Start as a replica with an empty log."""
        self.endpoint = endpoint
        self.data_centre = data_centre
        self.faults = EndpointFaults()
        self.log: list[LogEntry] = []
        self.applied_count = 0
        self.is_primary = False
        self.terms = EndpointTerms()
        self.address = ''
        self.request_counts: Counter[str] = Counter()
        self.group = group
        self._open_streams: set[SocketStream] = set()
        self._start_count = 1

    @property
    def started_at_ms(self) -> int:
        """Unix time of its start in ms, as its entry names it."""
        return self._start_count

    @property
    def is_connected(self) -> bool:
        """Whether it runs and exchanges commits with its group."""
        return not (self.faults.down or self.faults.cut_from_group)

    @property
    def position(self) -> tuple[int, int]:
        """Position of the last received commit."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def applied_position(self) -> tuple[int, int]:
        """Position of the last applied commit."""
        applied_entries = self.log[: self.applied_count]
        return applied_entries[-1].position if applied_entries else (1, 0)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._open_streams)

    def applied_rows(self) -> dict[str, str]:
        """Return the row texts by name, as far as they are applied."""
        rows: dict[str, str] = {}
        for entry in self.log[: self.applied_count]:
            rows.update(entry.writes)
        return rows

    async def start(self, nursery: Nursery, port: int = 0) -> None:
        """Listen on the loopback interface.

        Args:
            nursery: runs the connections.
            port: TCP port; 0 lets the system choose one.

        """
        listeners = await open_tcp_listeners(port, host='127.0.0.1')
        self.address = '127.0.0.1:{}'.format(
            listeners[0].socket.getsockname()[1]
        )
        nursery.start_soon(self._accept, listeners[0])

    def crash(self) -> None:
        """Close every connection and refuse new ones."""
        self.faults.down = True
        for stream in self._open_streams:
            stream.socket.close()
        # Sessions that wait for a commit notice later that they were closed.
        self._open_streams.clear()

    def restart(self, *, keeps_log: bool) -> None:
        """Accept connections again after a crash, without a fence.

        Args:
            keeps_log: whether it still holds its log and knows its term.

        """
        self.faults.down = False
        self._start_count += 1
        self.terms.fenced = 0
        if not keeps_log:
            self.is_primary = False
            self.terms.known = 0
            self.log.clear()
            self.applied_count = 0
        self.group.catch_up(self)

    def receive_entry(self, primary: 'WireEndpoint', entry: LogEntry) -> None:
        """Receive a commit and all commits before it.

        Entries that differ from the primary's log are discarded.

        Args:
            primary: endpoint that sends the commit.
            entry: the commit.

        """
        if self.position < entry.position:
            end = bisect_right(primary.log, entry.position, key=_position)
            self.log = primary.log[:end]
            self.applied_count = min(self.applied_count, len(self.log))

    async def _accept(self, listener: SocketListener) -> None:
        async with open_nursery() as nursery:
            while True:
                stream = await listener.accept()
                if self.faults.down:
                    await stream.aclose()
                else:
                    nursery.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: SocketStream) -> None:
        self._open_streams.add(stream)
        try:
            await self._run_session(stream)
        except _CONNECTION_ERRORS:
            return
        finally:
            self._open_streams.discard(stream)
            stream.socket.close()

    async def _run_session(self, stream: SocketStream) -> None:
        reader = LineReader(stream)
        connection = self.group.next_connection()
        line = await reader.receive_bytes()
        if line is None:
            return
        error, organisation = self._accept_start(line.decode('latin-1'))
        self._record(connection, organisation, line)
        await self._block_if_silent()
        if error:
            await send_lines(stream, f'ERROR {error} {self.endpoint}')
            return
        session = EndpointSession(self, organisation)
        session.connection = connection
        await send_lines(stream, self._ready_line(session))
        await self._respond_to_all(stream, reader, session)

    def _record(self, connection: int, organisation: str, line: bytes) -> None:
        received = ReceivedLine(self.endpoint, connection, organisation, line)
        self.group.received.append(received)
        if is_too_long(line):
            self.group.violations.append(received)

    async def _respond_to_all(
        self,
        stream: SocketStream,
        reader: LineReader,
        session: EndpointSession,
    ) -> None:
        is_open = True
        while is_open:
            line = await reader.receive_bytes()
            if line is None:
                return
            self._record(session.connection, session.organisation, line)
            text = line.decode('latin-1')
            is_open = await self._respond(stream, session, text)

    async def _respond(
        self, stream: SocketStream, session: EndpointSession, line: str
    ) -> bool:
        if line == 'TERMINATE':
            return False
        response = await session.respond(line)
        await self._block_if_silent()
        if self.faults.drop_responses and not line.startswith('QUERY - '):
            self.faults.drop_responses -= 1
            return False
        await send_lines(stream, *response, self._ready_line(session))
        return True

    def _ready_line(self, session: EndpointSession) -> str:
        return f'READY {session.state} {encode_position(self.position)}'

    async def _block_if_silent(self) -> None:
        if self.faults.silent:
            await sleep_forever()

    def _accept_start(self, line: str) -> tuple[str, str]:
        """Return the code of a refusal, empty if none, and the organisation."""
        try:
            service, organisation, expected_id = parse_start(line)
        except MalformedError:
            return 'MALFORMED', ''
        if service != self.group.service:
            return 'WRONGNODE', organisation
        if expected_id not in {'', self.endpoint}:
            return 'WRONGNODE', organisation
        if len(self._open_streams) > self.faults.max_connections:
            self.request_counts['CONNLIMIT'] += 1
            return 'CONNLIMIT', organisation
        return '', organisation


def _position(entry: LogEntry) -> tuple[int, int]:
    return entry.position
