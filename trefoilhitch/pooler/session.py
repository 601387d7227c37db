"""What a client's session holds between its statements."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.answer import SessionState
from trefoilhitch.pooler.catalogue import Route
from trefoilhitch.pooler.freshness import later
from trefoilhitch.pooler.pooled_link import PooledLink
from trefoilhitch.pooler.statement import Access, PreparedShape, Statement, Verb


@dataclass(frozen=True, slots=True)
class Trace:
    """How the last statement was served, for the log.

    Args:
        endpoint: endpoint that was asked last, empty if none was.
        attempts: how often it was tried.
        term: term of the lead that was known.
        proof_age_ms: age of the proof that a read relied on, None if its
            proof came with the answer or it needed none.

    """

    endpoint: str = ''
    attempts: int = 0
    term: int = 0
    proof_age_ms: int | None = None


@dataclass(slots=True)
class OpenTransaction:
    """A transaction with the connection that it is bound to.

    Args:
        endpoint: id of the endpoint.
        pooled: the connection.
        route: how its database was served when it began.
        read_only: whether it only reads.
        began_with: variables of the connection when it began.
        wrote: whether a write was sent.

    """

    endpoint: str
    pooled: PooledLink
    route: Route
    read_only: bool
    began_with: Mapping[str, str]
    wrote: bool = False


@dataclass(slots=True)
class SessionData:
    """Variables, prepared statements, state and positions of a session.

    Args:
        database: name that the client connected to.
        organisation: for whom it runs.
        key: the client's key.
        state: state that the client was told.
        transaction: the open transaction, None if there is none.
        variables: session variables by name.
        prepared: shapes by the client's names.
        trace: how the last statement was served.

    """

    database: str
    organisation: str
    key: str
    state: SessionState = SessionState.IDLE
    transaction: OpenTransaction | None = None
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    trace: Trace = field(default_factory=Trace)
    _positions: dict[str, LogPosition] = field(default_factory=dict)

    def own_position(self, service: str) -> LogPosition | None:
        """Return the position of the session's last commit.

        Args:
            service: service that it was made at.

        Returns:
            The position, None if there was no commit.

        """
        return self._positions.get(service)

    def committed(self, service: str, position: LogPosition | None) -> None:
        """Take note of a commit.

        Args:
            service: service that it was made at.
            position: position that covers it.

        """
        newest = later(self._positions.get(service), position)
        if newest is not None:
            self._positions[service] = newest

    def access(self, statement: Statement) -> Access | None:
        """Return whether a statement reads or writes.

        Args:
            statement: one that runs at an endpoint.

        Returns:
            Its access, None if it names no prepared statement.

        """
        if statement.verb == Verb.EXECUTE:
            shape = self.prepared.get(statement.name)
            return shape.access if shape else None
        return 'write' if statement.verb == Verb.WRITE else 'read'


@dataclass(frozen=True, slots=True)
class VariableChange:
    """What makes the variables of a connection those of a session.

    Args:
        reset: whether everything has to be dropped first.
        assign: variables to set.

    """

    reset: bool
    assign: Mapping[str, str]

    @property
    def empty(self) -> bool:
        """Whether nothing has to be done."""
        return not self.reset and not self.assign


def variable_change(
    held: Mapping[str, str], wanted: Mapping[str, str]
) -> VariableChange:
    """Return what makes one set of variables another.

    Args:
        held: variables that a connection holds.
        wanted: variables of the session that will use it.

    Returns:
        The change; it resets if the connection holds a name that the session
        does not.

    """
    reset = bool(held.keys() - wanted.keys())
    if reset:
        return VariableChange(reset, wanted)
    assign = {
        name: text for name, text in wanted.items() if held.get(name) != text
    }
    return VariableChange(reset, assign)
