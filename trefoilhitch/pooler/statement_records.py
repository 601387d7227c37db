"""Records which connection holds which prepared statement, and for whom."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from weakref import WeakSet

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.loggable import shorten
from trefoilhitch.metrics import Gauge, Metrics
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.response import Response
from trefoilhitch.pooler.statement import PreparedStatement
from trefoilhitch.pooler.statement_request import StatementRequest

# Counter of statements that were refused since their text cannot be sent.
UNSENDABLE_STATEMENTS = 'unsendable_statements'


@dataclass(frozen=True, slots=True)
class StatementRecords:
    """Logs and counts what changes the names that pooled connections hold.

    A line is written for each preparation, none for the executions after it.

    Args:
        node: name of this node.
        log: records the events.
        metrics: counts them.

    """

    node: str
    log: DecisionLog
    metrics: Metrics
    _holders: WeakSet[PooledConnection] = field(default_factory=WeakSet)

    def gauges(self) -> Iterator[Gauge]:
        """Measure the names that the open connections hold now.

        Yields:
            Number of names, and the length of what they stand for.

        """
        held = [conn.prepared for conn in self._holders]
        yield Gauge('prepared_names', sum(map(len, held)))
        yield Gauge('prepared_chars', sum(each.chars for each in held))

    def connection_name(self, conn: PooledConnection) -> str:
        """Return the name of a connection in the logs of all nodes.

        Args:
            conn: connection of this node.

        Returns:
            The node and the number of the connection.

        """
        return f'{self.node}/{conn.number}'

    def record_prepared(
        self,
        conn: PooledConnection,
        request: StatementRequest,
        response: Response,
    ) -> None:
        """Record the response to the preparation of a statement.

        Args:
            conn: connection that it was prepared on.
            request: the client's statement that needed it.
            response: what the endpoint returned for the preparation.

        """
        if response.refusal is None:
            self._holders.add(conn)
            self.metrics.count('preparations', 'accepted')
        else:
            self.metrics.count('preparations', 'refused')
        refusal = response.refusal.value if response.refusal else ''
        self._log_preparation(conn, request, refusal)

    def record_lost(
        self,
        conn: PooledConnection,
        request: StatementRequest,
        exc: EndpointConnectionError,
        *,
        prepares: bool,
    ) -> None:
        """Record that the response of a connection was lost.

        Args:
            conn: the connection.
            request: the client's statement.
            exc: the failure, which will name the connection.
            prepares: whether a preparation was sent before the statement.

        """
        if exc.loss == ResponseLoss.NOT_SENT:
            return
        exc.connection = self.connection_name(conn)
        if prepares:
            self.metrics.count('preparations', 'lost')
            self._log_preparation(conn, request, exc.loss.value)

    def record_reset(
        self, conn: PooledConnection, request: StatementRequest
    ) -> None:
        """Record that a connection is reset, which drops its names.

        A reset is counted, but not logged if the connection holds no name:
        it changes nothing then that a later statement could run.

        Args:
            conn: the connection, with the names that it is about to lose.
            request: statement of the session whose variables it will have.

        """
        self.metrics.count('connections_reset')
        if conn.prepared:
            self.log.event(
                'connection_reset',
                request=request.statement.request_id,
                endpoint=conn.conn.endpoint,
                connection=self.connection_name(conn),
                organisation=conn.conn.organisation,
                names=len(conn.prepared),
            )

    def _log_preparation(
        self, conn: PooledConnection, request: StatementRequest, refusal: str
    ) -> None:
        prepared = request.prepared
        if prepared is None:
            return
        self.log.event(
            'statement_prepared',
            request=request.statement.request_id,
            endpoint=conn.conn.endpoint,
            connection=self.connection_name(conn),
            organisation=conn.conn.organisation,
            pooled_name=prepared.pooled_name,
            access=prepared.access,
            body=shorten(prepared.body),
            body_chars=len(prepared.body),
            refusal=refusal,
        )


def describe_execution(
    name: str, prepared: PreparedStatement | None
) -> dict[str, str]:
    """Return the fields that name a prepared statement in a log line.

    Args:
        name: the client's name of the statement.
        prepared: the statement, None if the client has prepared none.

    Returns:
        The client's name, shortened, and the name on pooled connections.

    """
    pooled_name = prepared.pooled_name if prepared else ''
    return {'name': shorten(name), 'pooled_name': pooled_name}
