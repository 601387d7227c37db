"""What each client's session held when it sent a statement."""

from dataclasses import dataclass, field

from tests.wire_grammar import Query, parse_query

# Answers which promise that nothing of a client attempt is kept.
PROMISES = frozenset(
    (b'BUSY', b'ABORTED', b'LAGGING', b'READONLY', b'WRONGNODE', b'CONNLIMIT')
)
OPEN_STATES = frozenset((b'T', b'E'))


def answer_code(lines: tuple[bytes, ...]) -> bytes:
    """Return the code of an answer.

    Args:
        lines: the lines of the answer.

    Returns:
        The code of its ERROR; empty after a success; CLOSED without an answer.

    """
    for line in lines:
        word, _, rest = line.partition(b' ')
        if word == b'ERROR':
            return rest.partition(b' ')[0]
        if word == b'COMPLETE':
            return b''
    return b'CLOSED'


def answer_state(lines: tuple[bytes, ...]) -> bytes:
    """Return the state of an answer's READY; empty without an answer."""
    fields = lines[-1].split(b' ') if lines else [b'']
    return fields[1] if fields[0] == b'READY' else b''


@dataclass(frozen=True, slots=True)
class SentStatement:
    """A statement with what its session held when it was sent.

    Args:
        session: name of the session.
        organisation: organisation of the client.
        line: the line that was sent.
        query: the statement.
        variables: acknowledged values by name.
        prepared: access and shape by acknowledged name.
        attempt: the transaction, or the single statement.
        state: state that the client was told before.
        read_only: whether its transaction was opened by BEGIN READ.

    """

    session: str
    organisation: bytes
    line: bytes
    query: Query
    variables: dict[bytes, bytes]
    prepared: dict[bytes, tuple[bytes, bytes]]
    attempt: str
    state: bytes
    read_only: bool

    @property
    def in_transaction(self) -> bool:
        """Whether it belongs to a transaction; BEGIN opens one."""
        return self.state in OPEN_STATES or self.query.verb == b'BEGIN'

    @property
    def shape(self) -> tuple[bytes, bytes] | None:
        """Access and shape that EXECUTE has to run, None if unknown."""
        return self.prepared.get(self.query.padded[0])

    @property
    def writes(self) -> bool:
        """Whether it writes."""
        if self.query.verb == b'EXECUTE':
            return self.shape is not None and self.shape[0] == b'WRITE'
        return self.query.verb == b'WRITE'


@dataclass(slots=True)
class SessionHistory:
    """Values, names and state of one session, as acknowledged.

    Args:
        session: name of the session.
        organisation: organisation of the client.

    """

    session: str
    organisation: bytes
    variables: dict[bytes, bytes] = field(default_factory=dict)
    prepared: dict[bytes, tuple[bytes, bytes]] = field(default_factory=dict)
    state: bytes = b'I'
    read_only: bool = False
    attempts: int = 0

    def send(self, line: bytes) -> SentStatement | None:
        """Record a line; return its statement, None if it carries none."""
        query = parse_query(line)
        if query is None:
            return None
        if self.state not in OPEN_STATES:
            self.attempts += 1
        return SentStatement(
            session=self.session,
            organisation=self.organisation,
            line=line,
            query=query,
            variables=dict(self.variables),
            prepared=dict(self.prepared),
            attempt=f'{self.session}/{self.attempts}',
            state=self.state,
            read_only=self.read_only,
        )

    def answer(self, sent: SentStatement, lines: tuple[bytes, ...]) -> None:
        """Record the answer to a statement."""
        self.state = answer_state(lines) or self.state
        if not answer_code(lines):
            self._acknowledge(sent.query)

    def _acknowledge(self, query: Query) -> None:
        fields = query.padded
        if query.verb == b'BEGIN':
            self.read_only = query.text != b'BEGIN'
        if query.verb == b'SET':
            self.variables[fields[0]] = fields[1]
        if query.verb == b'PREPARE':
            self.prepared[fields[0]] = (fields[1], fields[2])
        if query.verb == b'DEALLOC':
            self.prepared.pop(fields[0], None)
