"""Runs statements on a connection after applying the session's state."""

from collections.abc import Mapping

from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.evacuation.send_guard import SendGuard
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    Command,
    EndpointConnectionError,
    EndpointConnector,
)
from trefoilhitch.pooler.session import variable_change
from trefoilhitch.pooler.statement import PreparedStatement, Verb
from trefoilhitch.pooler.statement_records import StatementRecords
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
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
            The response, with the endpoint's status if it was requested.

        Raises:
            EndpointConnectionError: the response did not arrive completely.
            EndpointEvacuatedError: the endpoint is evacuated; the statement
                was not sent.

        """
        await self._guard.check(conn.conn.endpoint)
        if await self._apply_variables(conn, variables, request, deadline):
            await self._guard.check(conn.conn.endpoint)
        commands = [self._command(request)]
        preparation = self._preparation(conn, request.prepared)
        if request.requires_primary_proof:
            commands.append(self._connector.status())
            self._count('status', 1)
            self._metrics.count('control_requests', 'statement_status')
        try:
            responses = await conn.conn.run([*preparation, *commands], deadline)
        except EndpointConnectionError as exc:
            self._records.record_lost(
                conn, request, exc, prepares=bool(preparation)
            )
            raise
        if preparation and request.prepared:
            self._records.record_prepared(conn, request, responses[0])
            if responses[0].ok:
                conn.prepared.add(request.prepared.pooled_name)
        status = None
        if request.requires_primary_proof:
            status = self._connector.read_status(responses[-1])
        return StatementResult(
            responses[len(preparation)],
            status,
            self._records.connection_name(conn),
        )

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
            conn.prepared.clear()
        self._count('variables', len(commands))
        try:
            responses = await conn.conn.run(commands, deadline)
        except EndpointConnectionError as exc:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, str(exc)
            ) from exc
        if not all(response.ok for response in responses):
            conn.conn.close()
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'session variables were refused'
            )
        conn.variables = dict(variables)
        return True

    def _preparation(
        self, conn: PooledConnection, prepared: PreparedStatement | None
    ) -> list[Command]:
        if prepared is None or prepared.pooled_name in conn.prepared:
            return []
        self._count('prepare', 1)
        return [self._connector.prepare(prepared)]

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
