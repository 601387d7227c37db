"""Stand-in of one endpoint: its log, its role and its fault switches."""

from collections import Counter
from dataclasses import dataclass
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

from trefoilhitch_lab.wire_lines import WireLines, send_lines
from trefoilhitch_lab.wire_log import LogEntry, RanStatement, spell_position
from trefoilhitch_lab.wire_session import EndpointSession

MAX_CONNECTIONS = 30
_LOST = (BrokenResourceError, ClosedResourceError, OSError)


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


class DatabaseGroup(Protocol):
    """The group that an endpoint belongs to."""

    service: str
    term: int
    ran: list[RanStatement]

    async def commit(
        self,
        lead: 'WireEndpoint',
        writes: dict[str, str],
        request_ids: tuple[str, ...],
    ) -> None:
        """Commit at the lead and wait until enough replicas hold it."""

    def catch_up(self, replica: 'WireEndpoint') -> None:
        """Give a replica the log of the lead."""


class WireEndpoint:
    """One endpoint.

    Args:
        group: the group that it belongs to.
        endpoint: its id.
        data_centre: where it stands.

    """

    def __init__(
        self, group: DatabaseGroup, endpoint: str, data_centre: str
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
        self.group = group
        self._streams: set[SocketStream] = set()

    @property
    def position(self) -> tuple[int, int]:
        """End of the log that it received."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def applied_position(self) -> tuple[int, int]:
        """End of the log that it applied."""
        applied = self.log[: self.applied]
        return applied[-1].position if applied else (1, 0)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._streams)

    def tables(self) -> dict[str, str]:
        """Return the data that it has applied."""
        rows: dict[str, str] = {}
        for entry in self.log[: self.applied]:
            rows.update(entry.writes)
        return rows

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

    def follow(self, lead: 'WireEndpoint', entry: LogEntry) -> None:
        """Receive a commit, and all that came before it.

        Args:
            lead: endpoint that it comes from.
            entry: the commit; what contradicts the lead's log is discarded.

        """
        if self.position < entry.position:
            self.log = [
                sent for sent in lead.log if sent.position <= entry.position
            ]
            self.applied = min(self.applied, len(self.log))

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
        lines = WireLines(stream)
        start = (await lines.receive()).split()
        await self._hang()
        refusal = self._start_refusal(start)
        if refusal:
            await send_lines(stream, f'ERROR {refusal} {self.endpoint}')
            return
        session = EndpointSession(self, start[2])
        await send_lines(stream, self._ready(session))
        await self._answer_all(stream, lines, session)

    async def _answer_all(
        self,
        stream: SocketStream,
        lines: WireLines,
        session: EndpointSession,
    ) -> None:
        answered = True
        while answered:
            line = await lines.receive()
            answered = await self._answer(stream, session, line)

    async def _answer(
        self, stream: SocketStream, session: EndpointSession, line: str
    ) -> bool:
        if not line or line == 'TERMINATE':
            return False
        answer = await session.answer(line)
        await self._hang()
        if self.faults.lose_answers and not line.startswith('QUERY - '):
            self.faults.lose_answers -= 1
            return False
        await send_lines(stream, *answer, self._ready(session))
        return True

    def _ready(self, session: EndpointSession) -> str:
        return f'READY {session.state} {spell_position(self.position)}'

    async def _hang(self) -> None:
        if self.faults.silent:
            await sleep_forever()

    def _start_refusal(self, start: list[str]) -> str:
        _, service, _, endpoint = start
        if (service, endpoint) != (self.group.service, self.endpoint):
            return 'WRONGNODE'
        if len(self._streams) > self.faults.connections:
            return 'CONNLIMIT'
        return ''
