"""Endpoint connections, bound to an organisation, used by one at a time."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from trio import Event, current_time, move_on_at

from trefoilhitch.fair_queue import QueuedRequest
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.endpoint_connection_pool import EndpointConnectionPool
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import EndpointConnectionError, EndpointConnector

# An endpoint that does not accept within this time is given up. A lost packet
# is sent again only after a second.
CONNECT_TIMEOUT_S = 0.25
# Longest time for a new connection. A busy endpoint accepts at once, but has
# its statements go first; giving up there costs it the same work again.
OPEN_TIMEOUT_S = 0.7
# How long a user waits for a connection of its own organisation that is in
# use, before one of another organisation is closed for it.
SAME_ORGANISATION_WAIT_S = 0.06


@dataclass(frozen=True, slots=True)
class _Request:
    endpoint: str
    organisation: str
    deadline: float


@dataclass(slots=True)
class _Waiter:
    served: Event = field(default_factory=Event)
    rejected: bool = False


class ConnectionPool:
    """Keeps connections by endpoint, within this node's part of their number.

    Args:
        connector: opens connections.
        cap: returns how many this node may hold to an endpoint.
        metrics: counts connections.

    """

    def __init__(
        self,
        *,
        connector: EndpointConnector,
        cap: Callable[[str], int],
        metrics: Metrics,
    ) -> None:
        """Start without connections."""
        self._connector = connector
        self._cap = cap
        self._metrics = metrics
        self._endpoint_pools: dict[str, EndpointConnectionPool] = {}
        self._waiters: dict[QueuedRequest, _Waiter] = {}

    async def acquire(
        self,
        endpoint: str,
        organisation: str,
        variables: Mapping[str, str],
        deadline: float,
    ) -> PooledConnection:
        """Take a connection for one user.

        Args:
            endpoint: id of the endpoint.
            organisation: for whom statements will run.
            variables: session variables that it should preferably hold.
            deadline: monotonic time.

        Returns:
            The connection; it has to be released.

        Raises:
            EndpointConnectionError: none could be had; nothing was sent.
            EndpointRefusedError: the endpoint refused a new one.

        """
        endpoint_pool = self._endpoint_pools.setdefault(
            endpoint, EndpointConnectionPool()
        )
        request = _Request(endpoint, organisation, deadline)
        conn = endpoint_pool.take_idle(organisation, variables)
        if conn is None and not endpoint_pool.reserve(
            organisation, self._cap(endpoint)
        ):
            conn = await self._wait_or_evict(endpoint_pool, request)
        return conn or await self._open(endpoint_pool, request)

    def release(self, endpoint: str, conn: PooledConnection) -> None:
        """Give a connection back.

        Args:
            endpoint: id of the endpoint.
            conn: the connection; unless it is idle and usable, it is closed.

        """
        endpoint_pool = self._endpoint_pools[endpoint]
        cap = self._cap(endpoint)
        self._wake(endpoint_pool.release(conn, cap, current_time()))

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections of an endpoint that is not used any more.

        Args:
            endpoint: id of the endpoint.

        """
        endpoint_pool = self._endpoint_pools.get(endpoint)
        if endpoint_pool is not None:
            endpoint_pool.trim(0)

    def reject_waiters(self, endpoint: str) -> None:
        """Tell all who wait for a connection that there is none.

        Args:
            endpoint: id of an endpoint that is out of reach.

        """
        for queued in self._endpoint_pools[endpoint].cancel_all_waits():
            self._waiters[queued].rejected = True
            self._wake(queued)

    def trim(self) -> None:
        """Close idle connections beyond this node's part of their number."""
        for endpoint, endpoint_pool in self._endpoint_pools.items():
            endpoint_pool.trim(self._cap(endpoint))

    async def _wait_or_evict(
        self, endpoint_pool: EndpointConnectionPool, request: _Request
    ) -> PooledConnection | None:
        """Return a connection, or None if a new one is reserved."""
        queued = None
        if endpoint_pool.in_use[request.organisation]:
            wait_until = min(
                request.deadline, current_time() + SAME_ORGANISATION_WAIT_S
            )
            queued = await self._wait(endpoint_pool, request, wait_until)
        if queued is None:
            cap = self._cap(request.endpoint)
            if endpoint_pool.evict_idle() and endpoint_pool.reserve(
                request.organisation, cap
            ):
                return None
            queued = await self._wait(endpoint_pool, request, request.deadline)
        if queued is None:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'no free connection in time'
            )
        return endpoint_pool.take_assigned(queued)

    async def _wait(
        self,
        endpoint_pool: EndpointConnectionPool,
        request: _Request,
        deadline: float,
    ) -> QueuedRequest | None:
        """Wait for a turn; None if it did not come in time."""
        queued = QueuedRequest(request.organisation, deadline)
        waiter = _Waiter()
        self._waiters[queued] = waiter
        endpoint_pool.enqueue(queued, current_time())
        try:
            with move_on_at(deadline):
                await waiter.served.wait()
        except BaseException:
            if waiter.served.is_set() and not waiter.rejected:
                self._pass_on(endpoint_pool, request.endpoint, queued)
            raise
        finally:
            self._waiters.pop(queued)
            endpoint_pool.cancel_wait(queued)
        if waiter.rejected:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'the endpoint is out of reach'
            )
        return queued if waiter.served.is_set() else None

    async def _open(
        self, endpoint_pool: EndpointConnectionPool, request: _Request
    ) -> PooledConnection:
        conn = None
        now = current_time()
        try:
            opened = await self._connector.connect(
                request.endpoint,
                request.organisation,
                connect_by=min(request.deadline, now + CONNECT_TIMEOUT_S),
                deadline=min(request.deadline, now + OPEN_TIMEOUT_S),
            )
            conn = PooledConnection(opened, uses=1)
        finally:
            if conn is None:
                self._cancel_reservation(
                    endpoint_pool, request.endpoint, request.organisation
                )
        self._metrics.count('endpoint_connections_opened', request.endpoint)
        return conn

    def _pass_on(
        self,
        endpoint_pool: EndpointConnectionPool,
        endpoint: str,
        queued: QueuedRequest,
    ) -> None:
        """Pass on what was given to a user that was cancelled."""
        conn = endpoint_pool.take_assigned(queued)
        if conn is None:
            self._cancel_reservation(
                endpoint_pool, endpoint, queued.organisation
            )
        else:
            self.release(endpoint, conn)

    def _cancel_reservation(
        self,
        endpoint_pool: EndpointConnectionPool,
        endpoint: str,
        organisation: str,
    ) -> None:
        cap = self._cap(endpoint)
        self._wake(
            endpoint_pool.release_slot(organisation, cap, current_time())
        )

    def _wake(self, queued: QueuedRequest | None) -> None:
        if queued is not None:
            self._waiters[queued].served.set()
