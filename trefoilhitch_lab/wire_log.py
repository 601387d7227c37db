"""Records of commits, lines and statements in an emulated database group."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A commit in the replication log.

    Args:
        term: term of the primary that made the commit.
        number: sequence number of the commit, from 1.
        writes: the written texts by row name.
        request_ids: ids of the statements that wrote them.

    """

    term: int
    number: int
    writes: dict[str, str]
    request_ids: tuple[str, ...]

    @property
    def position(self) -> tuple[int, int]:
        """Position in the log: term and number."""
        return self.term, self.number


@dataclass(frozen=True, slots=True)
class ReceivedLine:
    """A line that an endpoint received, recorded for tests.

    Args:
        endpoint: id of the endpoint.
        connection: number of the connection, unique in the group.
        organisation: organisation that the connection's START line names;
            empty if it names none.
        line: the bytes without the line end.

    """

    endpoint: str
    connection: int
    organisation: str
    line: bytes


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
    """A statement that an endpoint executed, recorded for tests.

    Args:
        endpoint: id of the endpoint.
        request_id: id that the client gave the statement.
        text: text of the statement as received.
        organisation: organisation that the session belongs to.
        variables: session variables at that time.
        connection: number of the connection.
        shape: access and body of the prepared statement, None unless it is
            an EXECUTE.
        row_name: item that it reads or writes.
        row_text: data that it was given, None if there was none.

    """

    endpoint: str
    request_id: str
    text: str
    organisation: str
    variables: dict[str, str]
    connection: int
    shape: tuple[str, str] | None
    row_name: str
    row_text: str | None


def encode_position(position: tuple[int, int]) -> str:
    """Encode a position for the wire protocol.

    Args:
        position: term and number.

    Returns:
        `TERM.NUMBER`.

    """
    return f'{position[0]}.{position[1]}'


def decode_position(text: str) -> tuple[int, int]:
    """Decode a position of the wire protocol.

    Args:
        text: `TERM.NUMBER`.

    Returns:
        Term and number.

    Raises:
        ValueError: text is not a position.

    """
    term, _, number = text.partition('.')
    if not (term.isdecimal() and number.isdecimal()):
        raise ValueError('not a position')
    return int(term), int(number)
