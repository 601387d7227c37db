"""Client of the wire protocol."""

import asyncio
from collections.abc import Callable
from itertools import count

ANSWER_TIMEOUT_S = 5.0
_IDS = count(1)


class Answer:
    """The answer to a statement, as a client sees it.

    Args:
        rows: its rows.
        outcome: the COMPLETE or ERROR line, empty if the connection ended.
        state: state letter of the session.

    """

    def __init__(self, rows: list[str], outcome: str, state: str) -> None:
        """Store the parts."""
        self.rows = rows
        self.outcome = outcome
        self.state = state

    @property
    def is_success(self) -> bool:
        """Whether the statement succeeded."""
        return self.outcome.startswith('COMPLETE')

    def __str__(self) -> str:
        """Return the answer as it is recorded."""
        return f'{self.rows} {self.outcome or "no answer"} {self.state}'


class Client:
    """A session of a client.

    Args:
        name: name of the client in the record.
        record: writes a line of the record.

    """

    def __init__(self, name: str, record: Callable[[str], None]) -> None:
        """Start without a connection."""
        self.name = name
        self._record = record

    async def open(self, address: str, database: str, key: str) -> str:
        """Open the session; return the answer.

        Args:
            address: `ADDRESS:PORT` of a node.
            database: name of the database.
            key: the client's key.

        """
        host, _, port = address.rpartition(':')
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        self._write(f'START {database} {key}')
        answer = await self._line()
        self._record(f'{self.name}: START {database} {key} -> {answer}')
        return answer

    async def query(self, text: str) -> Answer:
        """Send a statement and wait for its answer.

        Args:
            text: text of the statement.

        """
        request = f'q{next(_IDS):04x}'
        self._record(f'{self.name}: {request} {text!r} sent')
        self._write(f'QUERY {request} {text}')
        rows: list[str] = []
        outcome = state = ''
        while not state:
            line = await self._line()
            word, _, rest = line.partition(' ')
            if word == 'DATAROW':
                rows.append(rest)
            elif word == 'READY':
                state = rest
            elif line:
                outcome = line
            else:
                break
        answer = Answer(rows, outcome, state)
        self._record(f'{self.name}: {request} answered {answer}')
        return answer

    def close(self) -> None:
        """End the session."""
        self._writer.close()

    def _write(self, line: str) -> None:
        self._writer.write(f'{line}\r\n'.encode())

    async def _line(self) -> str:
        try:
            line = await asyncio.wait_for(
                self._reader.readuntil(b'\r\n'), ANSWER_TIMEOUT_S
            )
        except (OSError, EOFError, TimeoutError):
            return ''
        return line[:-2].decode()
