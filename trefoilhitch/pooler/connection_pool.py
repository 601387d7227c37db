"""Pool of endpoint connections, each bound to one organisation."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count

from trio import Event, current_time, move_on_at, sleep_until

from trefoilhitch.fair_queue import QueuedRequest
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.endpoint_connection_pool import (
    CONTROL_PRIORITY,
    EndpointConnectionPool,
)
from trefoilhitch.pooler.opening.opening_ramp import Opening
from trefoilhitch.pooler.opening.openings import Openings, UnlimitedOpenings
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    CONTROL_ORGANISATION,
    EndpointConnection,
    EndpointConnectionError,
    EndpointConnector,
    EndpointOverloadedError,
    EndpointRefusedError,
)

# Longest time for an endpoint to accept a connection. Waiting longer does not
# help against a lost packet, which is retransmitted only after a second.
CONNECT_TIMEOUT_S = 0.25
# Longest time to open a connection. A busy endpoint accepts at once, but runs
# its statements first; giving up makes it repeat the work of the handshake.
OPEN_TIMEOUT_S = 0.7
# How long a request waits for a connection of its own organisation that is in
# use, before one of another organisation is closed for it.
SAME_ORGANISATION_WAIT_S = 0.06


@dataclass(frozen=True, slots=True)
class _Request:
    endpoint: str
    organisation: str
    deadline: float
    priority: int


@dataclass(slots=True)
class _Waiter:
    served: Event = field(default_factory=Event)
    rejected: bool = False


class ConnectionPool:
    """Pools connections by endpoint, within this node's connection limits.

    Args:
        connector: opens connections.
        cap: returns how many connections this node may hold to an endpoint.
        metrics: counts opened connections.
        by_priority: whether requests that wait are ordered by priority.
        metrics: counts opened and deferred connections.
        openings: decides when connections are opened, and how many at a time;
            by default they are limited only by the cap.

    """

    def __init__(
        self,
        *,
        connector: EndpointConnector,
        cap: Callable[[str], int],
        metrics: Metrics,
        by_priority: bool = False,
        openings: Openings | None = None,
    ) -> None:
        """Start without connections."""
        self._by_priority = by_priority
        self._connector = connector
        self._cap = cap
        self._metrics = metrics
        self._endpoint_pools: dict[str, EndpointConnectionPool] = {}
        self._waiters: dict[QueuedRequest, _Waiter] = {}
        self._openings = openings or UnlimitedOpenings()
        self._numbers = count(1)

    async def acquire(
        self,
        endpoint: str,
        organisation: str,
        variables: Mapping[str, str],
        deadline: float,
        priority: int = 0,
    ) -> PooledConnection:
        """Acquire a connection.

        Args:
            endpoint: id of the endpoint.
            organisation: organisation whose statements will run on it.
            variables: session variables that it should preferably have set.
            deadline: monotonic time.
            priority: priority, of which 0 is the highest for statements.

        Returns:
            The connection; it has to be released.

        Raises:
            EndpointConnectionError: no connection was available; nothing was
                sent.
            EndpointRefusedError: the endpoint refused a new connection.

        """
        endpoint_pool = self._endpoint_pools.setdefault(
            endpoint, EndpointConnectionPool()
        )
        request = _Request(
            endpoint,
            organisation,
            deadline,
            priority if self._by_priority else 0,
        )
        conn = endpoint_pool.take_idle(organisation, variables)
        if conn is None and not endpoint_pool.reserve(
            organisation, self._opening_limit(endpoint)
        ):
            conn = await self._wait_or_evict(endpoint_pool, request)
        conn = conn or await self._open(endpoint_pool, request)
        conn.taken_at = current_time()
        return conn

    async def acquire_any(
        self, endpoint: str, deadline: float
    ) -> PooledConnection:
        """Acquire a connection of any organisation for a control request.

        Args:
            endpoint: id of the endpoint.
            deadline: monotonic time.

        Returns:
            The connection; it has to be released.

        Raises:
            EndpointConnectionError: no connection was available; nothing was
                sent.
            EndpointRefusedError: the endpoint refused a new connection.

        """
        endpoint_pool = self._endpoint_pools.get(endpoint)
        conn = endpoint_pool.take_any_idle() if endpoint_pool else None
        if conn is not None:
            conn.taken_at = current_time()
            return conn
        return await self.acquire(
            endpoint, CONTROL_ORGANISATION, {}, deadline, CONTROL_PRIORITY
        )

    def readiness(self, endpoint: str) -> Callable[[str], bool]:
        """Return which organisations need no other one's connection.

        Args:
            endpoint: id of the endpoint.

        Returns:
            A function that returns whether an organisation, by its name, has an
            idle connection or one may be opened.

        """
        endpoint_pool = self._endpoint_pools.setdefault(
            endpoint, EndpointConnectionPool()
        )
        return endpoint_pool.readiness(self._opening_limit(endpoint))

    def release(self, endpoint: str, conn: PooledConnection) -> None:
        """Return a connection to the pool.

        Args:
            endpoint: id of the endpoint.
            conn: the connection; it is closed unless it is idle and usable.

        """
        endpoint_pool = self._endpoint_pools[endpoint]
        cap = self._cap(endpoint)
        self._wake(endpoint_pool.release(conn, cap, current_time()))

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is no longer used.

        Args:
            endpoint: id of the endpoint.

        """
        endpoint_pool = self._endpoint_pools.get(endpoint)
        if endpoint_pool is not None:
            endpoint_pool.trim(0)

    def reject_waiters(self, endpoint: str) -> None:
        """Reject all requests that wait for a connection to an endpoint.

        Args:
            endpoint: id of an unreachable endpoint.

        """
        endpoint_pool = self._endpoint_pools.get(endpoint)
        if endpoint_pool is None:
            return
        for queued in endpoint_pool.cancel_all_waits():
            self._waiters[queued].rejected = True
            self._wake(queued)

    def trim(self) -> None:
        """Apply this node's connection limits, which change with time.

        Idle connections beyond them are closed; waiters may open further ones.
        """
        for endpoint, endpoint_pool in self._endpoint_pools.items():
            endpoint_pool.trim(self._cap(endpoint))
            self._grant_slots(endpoint_pool, endpoint)

    async def _wait_or_evict(
        self, endpoint_pool: EndpointConnectionPool, request: _Request
    ) -> PooledConnection | None:
        """Return a connection, or None if a new one may be opened."""
        if endpoint_pool.open_count < self._cap(request.endpoint):
            self._metrics.count('connections_deferred', request.endpoint)
        queued_s = endpoint_pool.expected_wait_s(
            request.organisation, request.priority
        )
        expected_s = max(
            queued_s,
            self._openings.trial_wait_s(request.endpoint, current_time()),
        )
        if current_time() + expected_s > request.deadline:
            # Refused at once, so that the client may go elsewhere.
            self._metrics.count('waits_refused', request.endpoint)
            raise EndpointOverloadedError(
                ResponseLoss.NOT_SENT, 'the wait exceeds the deadline'
            )
        queued = None
        if endpoint_pool.in_use[request.organisation]:
            wait_until = min(
                request.deadline, current_time() + SAME_ORGANISATION_WAIT_S
            )
            queued = await self._wait(endpoint_pool, request, wait_until)
        if queued is None:
            if endpoint_pool.evict_idle() and endpoint_pool.reserve(
                request.organisation,
                self._opening_limit(request.endpoint),
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
        """Wait to be served; return None if it takes too long."""
        queued = QueuedRequest(request.organisation, deadline, request.priority)
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
                ResponseLoss.NOT_SENT, 'the endpoint is unreachable'
            )
        return queued if waiter.served.is_set() else None

    async def _open(
        self, endpoint_pool: EndpointConnectionPool, request: _Request
    ) -> PooledConnection:
        endpoint = request.endpoint
        conn = None
        opening = self._openings.begin(endpoint, current_time())
        try:
            conn = await self._try_open(endpoint_pool, request, opening)
        finally:
            self._openings.end(endpoint, opening)
            if conn is None:
                self._cancel_reservation(
                    endpoint_pool, endpoint, request.organisation
                )
        self._metrics.count('endpoint_connections_opened', endpoint)
        if self._openings.grows:
            self._grant_slots(endpoint_pool, endpoint)
        return conn

    async def _try_open(
        self,
        endpoint_pool: EndpointConnectionPool,
        request: _Request,
        opening: Opening,
    ) -> PooledConnection:
        endpoint = request.endpoint
        try:
            opened = await self._connect(request)
        except (EndpointRefusedError, EndpointConnectionError) as exc:
            self._openings.record_failed(
                endpoint,
                opening,
                exc,
                open_count=endpoint_pool.open_count,
                now=current_time(),
            )
            raise
        self._openings.record_opened(
            endpoint,
            opening,
            open_count=endpoint_pool.open_count,
            share=self._cap(endpoint),
            now=current_time(),
        )
        return PooledConnection(opened, next(self._numbers), uses=1)

    async def _connect(self, request: _Request) -> EndpointConnection:
        await self._wait_to_connect(request)
        now = current_time()
        return await self._connector.connect(
            request.endpoint,
            request.organisation,
            connect_by=min(request.deadline, now + CONNECT_TIMEOUT_S),
            deadline=min(request.deadline, now + OPEN_TIMEOUT_S),
        )

    async def _wait_to_connect(self, request: _Request) -> None:
        """Wait until the endpoint may be tried again after a refusal."""
        resumes_at = self._openings.resumes_at(request.endpoint)
        while resumes_at > current_time():
            if self._openings.grows and resumes_at > request.deadline:
                raise EndpointOverloadedError(
                    ResponseLoss.NOT_SENT, 'the pause exceeds the deadline'
                )
            await sleep_until(resumes_at)
            if not self._openings.grows:
                return
            resumes_at = self._openings.resumes_at(request.endpoint)

    def _opening_limit(self, endpoint: str) -> int:
        return self._openings.limit(
            endpoint, self._cap(endpoint), current_time()
        )

    def _grant_slots(
        self, endpoint_pool: EndpointConnectionPool, endpoint: str
    ) -> None:
        """Let waiters open the further connections that are allowed now."""
        limit = self._opening_limit(endpoint)
        queued = endpoint_pool.grant_slot(limit, current_time())
        while queued is not None:
            self._wake(queued)
            queued = endpoint_pool.grant_slot(limit, current_time())

    def _pass_on(
        self,
        endpoint_pool: EndpointConnectionPool,
        endpoint: str,
        queued: QueuedRequest,
    ) -> None:
        """Pass on the connection that a cancelled request was given."""
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
        limit = self._opening_limit(endpoint)
        self._wake(
            endpoint_pool.release_slot(organisation, limit, current_time())
        )
        if self._openings.grows:
            self._grant_slots(endpoint_pool, endpoint)

    def _wake(self, queued: QueuedRequest | None) -> None:
        if queued is not None:
            self._waiters[queued].served.set()
