"""A client of the wire protocol, for tests and the demo."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count

from trio import SocketStream, open_tcp_stream

RECEIVE_BYTES = 65536
_END = b'\r\n'


@dataclass(frozen=True, slots=True)
class WireAnswer:
    """An answer as a client sees it.

    Args:
        rows: its rows.
        outcome: text after COMPLETE, or ERROR with its code.
        state: state letter of the session.
        position: position of the log, `-` for none.

    """

    rows: tuple[str, ...]
    outcome: str
    state: str = ''
    position: str = '-'

    @property
    def code(self) -> str:
        """Code of the refusal, empty for a success."""
        words = self.outcome.split()
        return words[1] if words[0] == 'ERROR' else ''


class WireClient:
    """One session.

    Args:
        stream: an open connection.

    """

    def __init__(self, stream: SocketStream) -> None:
        """Send nothing yet."""
        self.stream = stream
        self._bytes = b''
        self._ids = count(1)

    async def start(self, database: str, key: str = '') -> str:
        """Open the session.

        Args:
            database: name of the database.
            key: the client's key.

        Returns:
            The line that answers it, empty if the connection was closed.

        """
        await self.send(f'START {database} {key}'.rstrip())
        return await self.line()

    async def query(self, text: str) -> WireAnswer:
        """Run a statement.

        Args:
            text: its text.

        Returns:
            The whole answer.

        """
        await self.send(f'QUERY {id(self):x}-{next(self._ids)} {text}')
        return await self.answer()

    async def send(self, line: str) -> None:
        """Send a line.

        Args:
            line: without its end.

        """
        await self.stream.send_all(line.encode('latin-1') + _END)

    async def answer(self) -> WireAnswer:
        """Receive the answer to a statement.

        Returns:
            The whole answer; its outcome is `closed` if there was none.

        """
        rows: list[str] = []
        outcome = 'closed'
        while True:
            line = await self.line()
            word, _, rest = line.partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'READY':
                state, position = rest.split()
                return WireAnswer(tuple(rows), outcome, state, position)
            elif line:
                outcome = line
            else:
                return WireAnswer(tuple(rows), outcome)

    async def line(self) -> str:
        """Receive a line.

        Returns:
            The line without its end, empty at the end of the connection.

        """
        while _END not in self._bytes:
            chunk = await self.stream.receive_some(RECEIVE_BYTES)
            if not chunk:
                return ''
            self._bytes += bytes(chunk)
        line, _, self._bytes = self._bytes.partition(_END)
        return line.decode('latin-1')


@asynccontextmanager
async def wire_client(address: str) -> AsyncIterator[WireClient]:
    """Connect for the length of a block.

    Args:
        address: `ADDRESS:PORT` of a node.

    Yields:
        The client.

    """
    host, _, port = address.rpartition(':')
    async with await open_tcp_stream(host, int(port)) as stream:
        yield WireClient(stream)
