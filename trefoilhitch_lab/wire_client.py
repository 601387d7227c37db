"""Client of the wire protocol, for tests and the demo."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count

from trio import SocketStream, open_tcp_stream

from trefoilhitch_lab.wire_lines import LineReader, send_lines


@dataclass(frozen=True, slots=True)
class WireResponse:
    """The response to a statement, as a client sees it.

    Args:
        rows: text of each row.
        outcome: the COMPLETE or ERROR line; `closed` if the connection
            closed first.
        state: state letter of the session.
        position: log position; `-` if there is none.

    """

    rows: tuple[str, ...]
    outcome: str
    state: str = ''
    position: str = '-'

    @property
    def code(self) -> str:
        """Error code; empty after a success."""
        word, _, rest = self.outcome.partition(' ')
        return rest.partition(' ')[0] if word == 'ERROR' else ''


class WireClient:
    """A client session on one connection.

    Args:
        stream: an open connection.

    """

    def __init__(self, stream: SocketStream) -> None:
        """Prepare the session; `start` opens it."""
        self.stream = stream
        self.reader = LineReader(stream)
        self._request_numbers = count(1)
        self._id_prefix = f'c{id(self):x}'

    async def start(self, database: str, key: str = '') -> str:
        """Open the session.

        Args:
            database: name of the database.
            key: API key of the client; empty for none.

        Returns:
            The response line; empty if the connection was closed.

        """
        await self.send(
            f'START {database} {key}' if key else f'START {database}'
        )
        return await self.reader.receive_line()

    async def query(self, text: str) -> WireResponse:
        """Run a statement.

        Args:
            text: text of the statement.

        Returns:
            The complete response.

        """
        number = next(self._request_numbers)
        await self.send(f'QUERY {self._id_prefix}-{number} {text}')
        return await self.receive_response()

    async def send(self, line: str) -> None:
        """Send a line.

        Args:
            line: the line without its line end.

        """
        await send_lines(self.stream, line)

    async def receive_response(self) -> WireResponse:
        """Receive the response to a statement.

        Returns:
            The response; its outcome is `closed` if the connection closed
            before one came.

        """
        rows: list[str] = []
        outcome = 'closed'
        while True:
            line = await self.reader.receive_line()
            word, _, rest = line.partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'READY':
                state, _, position = rest.partition(' ')
                return WireResponse(tuple(rows), outcome, state, position)
            elif line:
                outcome = line
            else:
                return WireResponse(tuple(rows), outcome)


@asynccontextmanager
async def wire_client(address: str) -> AsyncIterator[WireClient]:
    """Connect to a node, and close the connection at the end of the block.

    Args:
        address: `ADDRESS:PORT` of the node.

    Yields:
        The connected client.

    """
    host, _, port = address.rpartition(':')
    async with await open_tcp_stream(host, int(port)) as stream:
        yield WireClient(stream)
