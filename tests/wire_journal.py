"""What clients sent and got, and what each endpoint received and answered."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial

import pytest
from trio import SocketStream

from trefoilhitch_lab import wire_endpoint
from trefoilhitch_lab.wire_lines import LineReader, send_lines


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A client opened a session.

    Args:
        session: name of the session.
        organisation: organisation of the client.

    """

    session: str
    organisation: bytes


@dataclass(frozen=True, slots=True)
class ClientSent:
    """A client sent a line.

    Args:
        session: name of the session.
        line: the line without its line end.

    """

    session: str
    line: bytes


@dataclass(frozen=True, slots=True)
class ClientGot:
    """A client got an answer.

    Args:
        session: name of the session.
        lines: the lines up to READY; none if the connection closed first.

    """

    session: str
    lines: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class EndpointReceived:
    """An endpoint received a line.

    Args:
        connection: endpoint and number of the connection.
        line: the line without its line end.

    """

    connection: str
    line: bytes


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """An endpoint answered the last line of a connection.

    Args:
        connection: endpoint and number of the connection.
        lines: the lines of the answer.

    """

    connection: str
    lines: tuple[bytes, ...]


Event = (
    SessionOpened | ClientSent | ClientGot | EndpointReceived | EndpointAnswered
)


@dataclass(slots=True)
class WireJournal:
    """All that crossed the sockets of one run, in order.

    Args:
        events: the events.

    """

    events: list[Event] = field(default_factory=list)
    _connections: dict[int, str] = field(default_factory=dict)
    # Kept, so that no two connections of a run have the same id.
    _streams: list[SocketStream] = field(default_factory=list)

    def received(self, stream: SocketStream, line: bytes) -> None:
        """Record a line that an endpoint received.

        Args:
            stream: the connection.
            line: the line; START names the endpoint that it was sent to.

        """
        name = self._connections.get(id(stream))
        if name is None:
            endpoint = line.split(b' ')[-1].decode('latin-1')
            name = f'{endpoint}#{len(self._connections) + 1}'
            self._connections[id(stream)] = name
            self._streams.append(stream)
        self.events.append(EndpointReceived(name, line))

    def answered(self, stream: SocketStream, *lines: str) -> None:
        """Record what an endpoint answers, before it is sent."""
        encoded = tuple(line.encode('latin-1') for line in lines)
        name = self._connections.get(id(stream), '')
        self.events.append(EndpointAnswered(name, encoded))


class RecordingReader(LineReader):
    """Records the lines of a connection as they are received.

    Args:
        journal: receives them.
        stream: an open connection.

    """

    def __init__(self, journal: WireJournal, stream: SocketStream) -> None:
        """Start with an empty buffer."""
        super().__init__(stream)
        self._journal = journal
        self._recorded = stream

    async def receive_bytes(self) -> bytes | None:
        """Receive and record the next line."""
        line = await super().receive_bytes()
        if line is not None:
            self._journal.received(self._recorded, line)
        return line


@contextmanager
def recorded_endpoints(journal: WireJournal) -> Iterator[None]:
    """Record all lines of the endpoints that are started in a block.

    Args:
        journal: receives them.

    """

    async def send_recorded(stream: SocketStream, *lines: str) -> None:
        journal.answered(stream, *lines)
        await send_lines(stream, *lines)

    with pytest.MonkeyPatch.context() as patch:
        reader = partial(RecordingReader, journal)
        patch.setattr(wire_endpoint, 'LineReader', reader)
        patch.setattr(wire_endpoint, 'send_lines', send_recorded)
        yield
