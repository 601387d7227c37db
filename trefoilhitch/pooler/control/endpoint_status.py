"""Requests the status of an endpoint over a connection of this node."""

from trio import current_time

from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointConnector,
    EndpointRefusedError,
    EndpointStatus,
)

STATUS_TIMEOUT_S = 0.45
_FAILURES = (EndpointConnectionError, EndpointRefusedError)


class PooledStatus:
    """Requests statuses over pooled connections.

    Args:
        pool: pool of endpoint connections.
        connector: builds and reads the requests.
        metrics: counts the requests.

    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        connector: EndpointConnector,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._pool = pool
        self._connector = connector
        self._metrics = metrics

    async def fetch(self, endpoint: str) -> EndpointStatus | None:
        """Request a status.

        Args:
            endpoint: id of the endpoint.

        Returns:
            The status, None if the request failed.

        """
        self._metrics.count('own_statements', 'confirmation')
        self._metrics.count('control_requests', 'confirmation')
        deadline = current_time() + STATUS_TIMEOUT_S
        try:
            conn = await self._pool.acquire_any(endpoint, deadline)
        except _FAILURES:
            return None
        try:
            responses = await conn.conn.run(
                [self._connector.status()], deadline
            )
            return self._connector.read_status(responses[0])
        except EndpointConnectionError:
            return None
        finally:
            self._pool.release(endpoint, conn)
