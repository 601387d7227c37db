"""What the stand-in of a database group keeps of commits and statements."""

from dataclasses import dataclass


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


@dataclass(frozen=True, slots=True)
class ExecutedStatement:
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


def encode_position(position: tuple[int, int]) -> str:
    """Return a position as the wire spells it.

    Args:
        position: term and number.

    Returns:
        `TERM.NUMBER`.

    """
    return f'{position[0]}.{position[1]}'


def decode_position(text: str) -> tuple[int, int]:
    """Read a position.

    Args:
        text: `TERM.NUMBER`.

    Returns:
        Term and number.

    """
    term, _, number = text.partition('.')
    return int(term), int(number)
