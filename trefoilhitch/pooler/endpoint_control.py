"""Status requests, fencing and demotion of endpoints."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from trio import current_time, open_nursery

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.ports import (
    CONTROL_ORGANISATION,
    Command,
    EndpointConnection,
    EndpointConnectionError,
    EndpointConnector,
    EndpointRefusedError,
    EndpointStatus,
)

CONTROL_TIMEOUT_S = 0.45
_FAILURES = (EndpointConnectionError, EndpointRefusedError)


@dataclass(frozen=True, slots=True)
class _OpenConnection:
    conn: EndpointConnection
    opened_at: float


class EndpointControl:
    """Sends control statements to endpoints over one connection each.

    Args:
        connector: opens connections and builds the statements.
        log: records failed and refused statements.
        metrics: counts the statements sent.

    """

    def __init__(
        self,
        *,
        connector: EndpointConnector,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Start without connections."""
        self._connector = connector
        self._log = log
        self._metrics = metrics
        self._connections: dict[str, _OpenConnection] = {}

    async def status(self, endpoint: str) -> EndpointStatus | None:
        """Request an endpoint's status.

        Args:
            endpoint: id of the endpoint.

        Returns:
            The status, or None if the request failed.

        """
        return await self._send('status', endpoint, self._connector.status())

    async def fence(self, endpoint: str, term: int) -> EndpointStatus | None:
        """Stop a replica from receiving the log.

        Args:
            endpoint: id of the endpoint.
            term: term above all known terms.

        Returns:
            The endpoint's status, or None if the request failed; it may still
            take effect.

        """
        return await self._send('fence', endpoint, self._connector.fence(term))

    async def demote(self, endpoint: str, term: int) -> EndpointStatus | None:
        """Demote a primary of a lower term to a replica.

        Args:
            endpoint: id of the endpoint.
            term: term above all known terms.

        Returns:
            The endpoint's status, or None if the request failed; it may still
            take effect.

        """
        return await self._send(
            'demote', endpoint, self._connector.demote(term)
        )

    async def unfence(self, endpoint: str) -> EndpointStatus | None:
        """Let a fenced replica receive the log again.

        Args:
            endpoint: id of the endpoint.

        Returns:
            The endpoint's status, or None if the request failed.

        """
        return await self._send('unfence', endpoint, self._connector.unfence())

    def connected_since(self, endpoint: str) -> float | None:
        """Return since when the connection to an endpoint is open.

        Args:
            endpoint: id of the endpoint.

        Returns:
            Monotonic time for the connection on which it answered last; None
            if that was closed.

        """
        opened = self._connections.get(endpoint)
        return opened.opened_at if opened else None

    def close(self, endpoint: str) -> None:
        """Close the connection to an endpoint.

        Args:
            endpoint: id of the endpoint.

        """
        opened = self._connections.pop(endpoint, None)
        if opened is not None:
            opened.conn.close()

    async def _send(
        self, kind: str, endpoint: str, command: Command
    ) -> EndpointStatus | None:
        self._metrics.count('own_statements', 'control')
        self._metrics.count('control_requests', kind)
        try:
            return await self._run(endpoint, command)
        except _FAILURES as exc:
            self._log.event(
                'control_failed',
                endpoint=endpoint,
                order=command.text,
                detail=str(exc),
            )
            return None

    async def _run(
        self, endpoint: str, command: Command
    ) -> EndpointStatus | None:
        deadline = current_time() + CONTROL_TIMEOUT_S
        opened = await self._connect(endpoint, deadline)
        responses = await opened.conn.run([command], deadline)
        self.close(endpoint)
        self._connections[endpoint] = opened
        status = self._connector.read_status(responses[0])
        if status is None:
            self._log.event(
                'control_refused',
                endpoint=endpoint,
                order=command.text,
                detail=responses[0].detail,
            )
        return status

    async def _connect(self, endpoint: str, deadline: float) -> _OpenConnection:
        opened = self._connections.pop(endpoint, None)
        if opened is not None and opened.conn.is_usable():
            return opened
        if opened is not None:
            opened.conn.close()
        conn = await self._connector.connect(
            endpoint,
            CONTROL_ORGANISATION,
            connect_by=deadline,
            deadline=deadline,
        )
        return _OpenConnection(conn, current_time())


async def request_all(
    endpoints: Iterable[str],
    request: Callable[[str], Awaitable[EndpointStatus | None]],
) -> dict[str, EndpointStatus]:
    """Send a request to several endpoints concurrently.

    Args:
        endpoints: ids of the endpoints.
        request: sends the request to one endpoint.

    Returns:
        The statuses of the endpoints that answered, by id.

    """
    statuses: dict[str, EndpointStatus] = {}
    async with open_nursery() as nursery:
        for endpoint in endpoints:
            nursery.start_soon(_request_one, endpoint, request, statuses)
    return statuses


async def _request_one(
    endpoint: str,
    request: Callable[[str], Awaitable[EndpointStatus | None]],
    statuses: dict[str, EndpointStatus],
) -> None:
    status = await request(endpoint)
    if status is not None:
        statuses[endpoint] = status
