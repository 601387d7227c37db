"""What an endpoint holds for one connection, by the page's grammar alone."""

from dataclasses import dataclass, field

from tests.session_history import OPEN_STATES, answer_code, answer_state
from tests.wire_grammar import Query, parse_query, without_minimum

NO_REQUEST_ID = b'-'
# Answers of an endpoint which say that a statement has not run.
NOT_RUN = frozenset((b'BUSY', b'NOSTMT', b'LAGGING', b'READONLY', b'MALFORMED'))
# Owner of a transaction that the product opened itself.
UNCLAIMED = 'unclaimed'


@dataclass(frozen=True, slots=True)
class Run:
    """A statement that an endpoint received, with what it held then.

    Args:
        connection: endpoint and number of the connection.
        organisation: organisation that START named.
        query: the statement as received.
        variables: values by name.
        shape: access and shape of the executed name, None if unknown.
        owner: attempt whose transaction was open, empty if none was.

    """

    connection: str
    organisation: bytes
    query: Query
    variables: dict[bytes, bytes]
    shape: tuple[bytes, bytes] | None
    owner: str


@dataclass(slots=True)
class ConnectionReplay:
    """State of one connection.

    Args:
        connection: endpoint and number of the connection.
        organisation: organisation that START named.
        variables: values by name.
        prepared: access and shape by name.
        owner: attempt whose transaction is open, empty if none is.
        pending: the statement that is not answered yet.

    """

    connection: str
    organisation: bytes = b''
    variables: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, tuple[bytes, bytes]] = field(default_factory=dict)
    owner: str = ''
    pending: Run | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes of the prepared names and shapes."""
        return sum(
            len(name) + len(shape[1]) for name, shape in self.prepared.items()
        )

    def receive(self, line: bytes) -> Run | None:
        """Record a line.

        Args:
            line: the line without its line end.

        Returns:
            The statement; None if the line carries none.

        """
        if line.startswith(b'START '):
            self.organisation = line.split(b' ', 3)[2]
        query = parse_query(line)
        if query is None:
            self.pending = None
            return None
        plain = without_minimum(query)
        shape = None
        if plain.verb == b'EXECUTE':
            shape = self.prepared.get(plain.padded[0])
        self.pending = Run(
            self.connection,
            self.organisation,
            query,
            dict(self.variables),
            shape,
            self.owner,
        )
        return self.pending

    def answer(self, lines: tuple[bytes, ...], attempt: str) -> Run | None:
        """Record the answer to the last statement.

        Args:
            lines: the lines of the answer.
            attempt: attempt of the client that sent the statement, empty for
                the product's own statements.

        Returns:
            The statement, None if the answer belongs to none.

        """
        run = self.pending
        if run is None:
            return None
        self.pending = None
        if not answer_code(lines):
            self._apply(without_minimum(run.query))
        if answer_state(lines) in OPEN_STATES:
            self._claim(attempt)
        else:
            self.owner = ''
        return run

    def _claim(self, attempt: str) -> None:
        if self.owner in {'', UNCLAIMED}:
            self.owner = attempt or UNCLAIMED

    def _apply(self, query: Query) -> None:
        fields = query.padded
        if query.verb == b'SET':
            self.variables[fields[0]] = fields[1]
        if query.verb == b'PREPARE':
            self.prepared[fields[0]] = (fields[1], fields[2])
        if query.verb == b'DEALLOC':
            self.prepared.pop(fields[0], None)
        if query.verb == b'RESET':
            self.variables.clear()
            self.prepared.clear()
