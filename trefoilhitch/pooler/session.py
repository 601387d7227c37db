"""State of a client's session between its statements."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Self

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.catalogue import Route
from trefoilhitch.pooler.endpoint_selection import ChoiceKind
from trefoilhitch.pooler.observations import later_position
from trefoilhitch.pooler.response import Refusal, SessionState
from trefoilhitch.pooler.session_limit import MAX_VARIABLES, SessionLimit
from trefoilhitch.pooler.statement import (
    Access,
    PreparedStatement,
    Statement,
    Verb,
)
from trefoilhitch.pooler.transaction_connection import TransactionConnection


@dataclass(frozen=True, slots=True)
class StatementTrace:
    """How the last statement was served, for the log.

    Args:
        endpoint: endpoint of the last attempt, empty if there was none.
        attempts: number of attempts.
        term: term of the known primary.
        proof_age_ms: age of the observation that a read relied on, None if
            the proof came with the response or none was needed.
        choice: how the endpoint was chosen.
        connection: node and number of the connection of the last attempt, empty
            if it sent nothing or the node did not tell.

    """

    endpoint: str = ''
    attempts: int = 0
    term: int = 0
    proof_age_ms: int | None = None
    choice: ChoiceKind = 'only'
    connection: str = ''

    def on_connection(self, connection: str) -> Self:
        """Return the trace of a statement that was sent on a connection.

        Args:
            connection: node and number of the connection.

        Returns:
            The trace.

        """
        return replace(self, connection=connection)


@dataclass(slots=True)
class OpenTransaction:
    """A transaction and the connection that it is bound to.

    Args:
        conn: the connection.
        route: route of the database when the transaction began.
        wrote: whether a write was sent.
        position: end of the endpoint's log when it last answered, None if it
            is unknown.

    """

    conn: TransactionConnection
    route: Route
    wrote: bool = False
    position: LogPosition | None = None


@dataclass(slots=True)
class SessionData:
    """Variables, prepared statements, state and positions of a session.

    Args:
        database: name that the client connected to.
        organisation: organisation of the client.
        key: key of the client.
        state: state that was last reported to the client.
        transaction: the open transaction, None if there is none.
        variables: session variables by name.
        prepared: prepared statements by the client's names.
        trace: how the last statement was served.
        limit: limits the text of the variables and prepared statements.

    """

    database: str
    organisation: str
    key: str
    state: SessionState = SessionState.IDLE
    transaction: OpenTransaction | None = None
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    trace: StatementTrace = field(default_factory=StatementTrace)
    limit: SessionLimit = field(default_factory=SessionLimit)
    _positions: dict[str, LogPosition] = field(default_factory=dict)

    def last_commit_position(self, service: str) -> LogPosition | None:
        """Return the position of the session's last commit.

        Args:
            service: service that committed it.

        Returns:
            The position, None if there was no commit.

        """
        return self._positions.get(service)

    def record_commit(self, service: str, position: LogPosition | None) -> None:
        """Record a commit.

        Args:
            service: service that committed it.
            position: log position that covers the commit, None if unknown.

        """
        last_position = later_position(self._positions.get(service), position)
        if last_position is not None:
            self._positions[service] = last_position

    def set_variable(self, name: str, text: str) -> Refusal | None:
        """Set a variable.

        Args:
            name: its name.
            text: its value.

        Returns:
            None if it is set, else why it is not.

        """
        is_new = name not in self.variables
        if is_new and len(self.variables) >= MAX_VARIABLES:
            return Refusal.MALFORMED
        refusal = self.limit.reserve(name, text, self.variables.get(name))
        if refusal is None:
            self.variables[name] = text
        return refusal

    def prepare(self, name: str, prepared: PreparedStatement) -> Refusal | None:
        """Add a prepared statement, in place of one of the same name.

        Args:
            name: the client's name for it.
            prepared: the prepared statement.

        Returns:
            None if it is added, else why it is not.

        """
        replaced = self.prepared.get(name)
        body = replaced.body if replaced else None
        refusal = self.limit.reserve(name, prepared.body, body)
        if refusal is None:
            self.prepared[name] = prepared
        return refusal

    def deallocate(self, name: str) -> bool:
        """Remove a prepared statement.

        Args:
            name: the client's name for it.

        Returns:
            False if there is none.

        """
        prepared = self.prepared.pop(name, None)
        if prepared is None:
            return False
        self.limit.release(name, prepared.body)
        return True

    def access(self, statement: Statement) -> Access | None:
        """Return whether a statement reads or writes.

        Args:
            statement: statement that an endpoint would run.

        Returns:
            Its access, None if it names an unknown prepared statement.

        """
        if statement.verb == Verb.EXECUTE:
            prepared = self.prepared.get(statement.name)
            return prepared.access if prepared else None
        return 'write' if statement.verb == Verb.WRITE else 'read'


@dataclass(frozen=True, slots=True)
class VariableChange:
    """Change that gives a connection the variables of a session.

    Args:
        reset: whether the connection has to be reset first.
        assignments: variables to set.

    """

    reset: bool
    assignments: Mapping[str, str]

    @property
    def is_empty(self) -> bool:
        """Whether no change is needed."""
        return not self.reset and not self.assignments


def variable_change(
    held: Mapping[str, str], wanted: Mapping[str, str]
) -> VariableChange:
    """Return the change from one set of variables to another.

    Args:
        held: variables that a connection holds.
        wanted: variables of the session that will use it.

    Returns:
        The change; it includes a reset if the connection holds a variable
        that the session does not have.

    """
    reset = bool(held.keys() - wanted.keys())
    if reset:
        return VariableChange(reset, wanted)
    assignments = {
        name: text for name, text in wanted.items() if held.get(name) != text
    }
    return VariableChange(reset, assignments)
