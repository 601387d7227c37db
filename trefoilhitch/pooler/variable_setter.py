"""Gives pooled connections the variables of the session that uses them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointConnector,
    UnsendableStatementError,
)
from trefoilhitch.pooler.response import Refusal, Response, SessionState
from trefoilhitch.pooler.session import variable_change
from trefoilhitch.pooler.statement_records import StatementRecords
from trefoilhitch.pooler.statement_request import StatementRequest


class MalformedVariableError(TrefoilhitchError):
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


@dataclass(frozen=True, slots=True)
class VariableSetter:
    """Sets the variables of connections.

    Args:
        connector: builds the pooler's own statements.
        metrics: counts them.
        records: logs resets, which drop prepared statements.

    """

    connector: EndpointConnector
    metrics: Metrics
    records: StatementRecords

    async def apply(
        self,
        conn: PooledConnection,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> bool:
        """Set the variables of a connection to those of a session.

        No statement of the session is sent before this succeeds, so a failure
        here never runs a statement with the wrong variables.

        Args:
            conn: the connection.
            variables: variables of the session.
            request: the session's statement.
            deadline: monotonic time.

        Returns:
            Whether anything had to be sent for it.

        Raises:
            MalformedVariableError: the endpoint will never accept them.
            UnsendableStatementError: a variable cannot be sent.
            EndpointConnectionError: they were not set; another try may succeed.

        """
        change = variable_change(conn.variables, variables)
        if change.is_empty:
            return False
        commands = [
            self.connector.set_variable(name, text)
            for name, text in change.assignments.items()
        ]
        if change.reset:
            commands.insert(0, self.connector.reset())
            self.records.record_reset(conn, request)
        self.metrics.add('own_statements', len(commands), 'variables')
        state = conn.conn.state
        try:
            responses = await conn.conn.run(commands, deadline)
        except UnsendableStatementError:
            raise
        except EndpointConnectionError as exc:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, str(exc)
            ) from exc
        _check_accepted(conn, responses)
        _check_state(conn, state)
        if change.reset:
            conn.prepared.clear()
        conn.variables = dict(variables)
        return True


def _check_accepted(
    conn: PooledConnection, responses: Sequence[Response]
) -> None:
    """Close a connection on which not all variables were set."""
    refused = next((each for each in responses if not each.ok), None)
    if refused is None:
        return
    in_transaction = conn.conn.state != SessionState.IDLE
    conn.conn.close()
    # A refusal may fail a transaction, and what follows is malformed then.
    if refused.refusal == Refusal.MALFORMED:
        raise MalformedVariableError(
            refused.detail, in_transaction=in_transaction
        )
    raise EndpointConnectionError(
        ResponseLoss.NOT_SENT, 'session variables were refused'
    )


def _check_state(conn: PooledConnection, expected: SessionState) -> None:
    """Close a connection whose transaction ended or began by itself."""
    if conn.conn.state != expected:
        conn.conn.close()
        raise EndpointConnectionError(
            ResponseLoss.NOT_SENT, 'the endpoint changed the transaction'
        )
