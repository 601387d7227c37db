"""What a client's session holds between its statements."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.catalogue import Route
from trefoilhitch.pooler.observations import later_position
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.response import SessionState
from trefoilhitch.pooler.statement import (
    Access,
    PreparedStatement,
    Statement,
    Verb,
)


@dataclass(frozen=True, slots=True)
class StatementTrace:
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
        initial_variables: variables of the connection when it began.
        wrote: whether a write was sent.

    """

    endpoint: str
    pooled: PooledConnection
    route: Route
    read_only: bool
    initial_variables: Mapping[str, str]
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
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    trace: StatementTrace = field(default_factory=StatementTrace)
    _positions: dict[str, LogPosition] = field(default_factory=dict)

    def last_commit_position(self, service: str) -> LogPosition | None:
        """Return the position of the session's last commit.

        Args:
            service: service that it was made at.

        Returns:
            The position, None if there was no commit.

        """
        return self._positions.get(service)

    def record_commit(self, service: str, position: LogPosition | None) -> None:
        """Take note of a commit.

        Args:
            service: service that it was made at.
            position: position that covers it.

        """
        newest = later_position(self._positions.get(service), position)
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
        assignments: variables to set.

    """

    reset: bool
    assignments: Mapping[str, str]

    @property
    def is_empty(self) -> bool:
        """Whether nothing has to be done."""
        return not self.reset and not self.assignments


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
