"""Runs statements on a connection after applying the session's state."""

from collections.abc import Mapping, Sequence

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.evacuation.send_guard import SendGuard
from trefoilhitch.pooler.held_statements import HeldStatements
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    Command,
    EndpointConnectionError,
    EndpointConnector,
    UnsendableStatementError,
)
from trefoilhitch.pooler.preparation import Preparation
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
)
from trefoilhitch.pooler.session import variable_change
from trefoilhitch.pooler.statement import PreparedStatement, Verb
from trefoilhitch.pooler.statement_records import StatementRecords
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)


class _MalformedVariableError(TrefoilhitchError):
    """A session variable is malformed to the endpoint; nothing else was sent.

    Args:
        detail: explanation for people.
        in_transaction: whether a transaction was lost with the connection.

    """

    def __init__(self, detail: str, *, in_transaction: bool) -> None:
        """Store the state that the session is in."""
        super().__init__(detail)
        self.state = (
            SessionState.FAILED if in_transaction else SessionState.IDLE
        )


class ConnectionRunner:
    """Runs statements on connections.

    Args:
        connector: builds the pooler's own statements.
        metrics: counts the pooler's own statements.
        guard: checks whether an endpoint may be sent statements.
        records: logs what changes the names that connections hold.

    """

    def __init__(
        self,
        *,
        connector: EndpointConnector,
        metrics: Metrics,
        guard: SendGuard,
        records: StatementRecords,
    ) -> None:
        """Store the dependencies."""
        self._guard = guard
        self._records = records
        self._connector = connector
        self._metrics = metrics

    async def run(
        self,
        conn: PooledConnection,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        """Run a statement after applying the session's state.

        Args:
            conn: the connection.
            variables: variables of the session.
            request: the statement to send.
            deadline: monotonic time.

        Returns:
            The response, with the endpoint's status if it was requested. A
            statement is malformed if it, or a variable, cannot be sent or is
            malformed to the endpoint.

        Raises:
            EndpointConnectionError: the response did not arrive completely.
            EndpointEvacuatedError: the endpoint is evacuated; the statement
                was not sent.

        """
        try:
            return await self._run(conn, variables, request, deadline)
        except UnsendableStatementError as exc:
            return _malformed(str(exc), conn.conn.state)
        except _MalformedVariableError as exc:
            return _malformed(str(exc), exc.state)

    async def _run(
        self,
        conn: PooledConnection,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        await self._guard.check(conn.conn.endpoint)
        if await self._apply_variables(conn, variables, request, deadline):
            await self._guard.check(conn.conn.endpoint)
        preparation = Preparation.from_held(conn.prepared, request.prepared)
        changes = self._changes(preparation)
        statements = self._statements(request)
        try:
            responses = await conn.conn.run([*changes, *statements], deadline)
        except EndpointConnectionError as exc:
            self._records.record_lost(
                conn, request, exc, prepares=bool(changes)
            )
            raise
        answers = responses[: len(changes)]
        if answers:
            self._records.record_prepared(conn, request, answers[-1])
            preparation.apply(conn.prepared, answers)
        response = preparation.explain(answers, responses[len(changes)])
        _record_execution(conn.prepared, request.prepared, response)
        status = None
        if request.requires_primary_proof:
            status = self._connector.read_status(responses[-1])
        return StatementResult(
            response, status, self._records.connection_name(conn)
        )

    def _changes(self, preparation: Preparation) -> list[Command]:
        commands = preparation.commands(self._connector)
        if commands:
            self._count('prepare', 1)
            self._count('deallocate', len(commands) - 1)
        return commands

    def _statements(self, request: StatementRequest) -> list[Command]:
        command = self._command(request)
        if not request.requires_primary_proof:
            return [command]
        self._count('status', 1)
        self._metrics.count('control_requests', 'statement_status')
        return [command, self._connector.status()]

    async def _apply_variables(
        self,
        conn: PooledConnection,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> bool:
        """Set the variables of a connection to those of a session.

        No statement of the session is sent before this succeeds, so a failure
        here never runs a statement with the wrong variables.

        Returns:
            Whether anything had to be sent for it.

        """
        change = variable_change(conn.variables, variables)
        if change.is_empty:
            return False
        commands = [
            self._connector.set_variable(name, text)
            for name, text in change.assignments.items()
        ]
        if change.reset:
            commands.insert(0, self._connector.reset())
            self._records.record_reset(conn, request)
        self._count('variables', len(commands))
        try:
            responses = await conn.conn.run(commands, deadline)
        except UnsendableStatementError:
            raise
        except EndpointConnectionError as exc:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, str(exc)
            ) from exc
        _check_accepted(conn, responses)
        if change.reset:
            conn.prepared.clear()
        conn.variables = dict(variables)
        return True

    def _command(self, request: StatementRequest) -> Command:
        statement = request.statement
        if statement.verb == Verb.EXECUTE and request.prepared is not None:
            command = self._connector.execute(
                statement.request_id, request.prepared, statement.argument
            )
        else:
            command = Command(statement.text, statement.request_id)
        return Command(
            command.text, command.request_id, request.minimum_position
        )

    def _count(self, kind: str, number: int) -> None:
        self._metrics.add('own_statements', number, kind)


def _check_accepted(
    conn: PooledConnection, responses: Sequence[Response]
) -> None:
    """Close a connection on which not all variables were set.

    Raises:
        _MalformedVariableError: the endpoint will never accept them.
        EndpointConnectionError: they were refused; another try may succeed.

    """
    if all(response.ok for response in responses):
        return
    in_transaction = conn.conn.state != SessionState.IDLE
    conn.conn.close()
    for response in responses:
        if response.refusal == Refusal.MALFORMED:
            raise _MalformedVariableError(
                response.detail, in_transaction=in_transaction
            )
    raise EndpointConnectionError(
        ResponseLoss.NOT_SENT, 'session variables were refused'
    )


def _malformed(detail: str, state: SessionState) -> StatementResult:
    return StatementResult(refusal_response(Refusal.MALFORMED, detail, state))


def _record_execution(
    held: HeldStatements, prepared: PreparedStatement | None, response: Response
) -> None:
    if prepared is None:
        return
    if response.refusal == Refusal.UNKNOWN_STATEMENT:
        held.discard(prepared.pooled_name)
    else:
        held.mark_used(prepared.pooled_name)
