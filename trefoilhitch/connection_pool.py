"""Connection pool of one endpoint, shared fairly between organisations."""

from collections import deque
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from time import time

from trio import Cancelled, CancelScope, Event, current_time

from trefoilhitch._generated.store import Endpoint
from trefoilhitch.endpoint_client import EndpointConnection, EndpointConnector
from trefoilhitch.errors import OverloadedError
from trefoilhitch.fair_queue import FairQueue, QueuedRequest

INITIAL_SERVICE_TIME_S = 0.005
_SMOOTHING_FACTOR = 0.1


class ConnectionPool:
    """Pools connections, each of which occupies one of an endpoint's slots.

    Args:
        endpoint: declared endpoint.
        connector: opens connections.
        weights: share of the slots by organisation.

    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        connector: EndpointConnector,
        weights: Mapping[str, float],
    ) -> None:
        """Start without connections."""
        self.endpoint = endpoint
        self._connector = connector
        self._queue = FairQueue(weights=weights)
        self._idle: deque[EndpointConnection] = deque()
        self._free_slots = endpoint.slots
        self._grants: dict[QueuedRequest, Event] = {}
        self._service_time_s = INITIAL_SERVICE_TIME_S

    @property
    def in_use(self) -> int:
        """Return the number of slots in use."""
        return self.endpoint.slots - self._free_slots

    async def acquire(
        self, organisation: str, deadline: float
    ) -> EndpointConnection:
        """Acquire a connection for exclusive use.

        Args:
            organisation: organisation that the connection is used for.
            deadline: monotonic time by which the work must be complete.

        Returns:
            The connection, which must be returned by `release`.

        Raises:
            OverloadedError: no slot became free in time; nothing ran.
            RefusalError: the connection was refused or failed; nothing ran.

        """
        await self._acquire_slot(QueuedRequest(organisation, deadline))
        conn = None
        try:
            conn = self._pop_idle() or await self._connector.connect(
                self.endpoint, deadline
            )
        finally:
            if conn is None:
                self._release_slot()
        return conn

    def release(self, conn: EndpointConnection) -> None:
        """Return a connection to the pool, or discard it if it is closed.

        Args:
            conn: connection that `acquire` returned.

        """
        if not conn.closed:
            self._idle.append(conn)
        self._release_slot()

    @asynccontextmanager
    async def connection(
        self,
        organisation: str,
        deadline: float,
    ) -> AsyncIterator[EndpointConnection]:
        """Acquire a connection for the duration of a block.

        Args:
            organisation: organisation that the connection is used for.
            deadline: monotonic time by which the work must be complete.

        Yields:
            A connection for exclusive use.

        """
        conn = await self.acquire(organisation, deadline)
        started_at = current_time()
        try:
            yield conn
        finally:
            self._update_service_time(current_time() - started_at)
            self.release(conn)

    def close_idle(self) -> None:
        """Close idle connections, which frees their slots at the endpoint."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire_slot(self, req: QueuedRequest) -> None:
        if self._free_slots:
            self._free_slots -= 1
            return
        self._check_queue_time(req)
        granted = Event()
        self._grants[req] = granted
        self._queue.push(req)
        try:
            with CancelScope(deadline=req.deadline):
                await granted.wait()
        except Cancelled:
            self._cancel_wait(req, granted)
            raise
        if not granted.is_set():
            self._cancel_wait(req, granted)
            raise OverloadedError('no slot before the deadline')

    def _cancel_wait(self, req: QueuedRequest, granted: Event) -> None:
        if granted.is_set():
            self._release_slot()
            return
        self._grants.pop(req)
        self._queue.discard(req)

    def _check_queue_time(self, req: QueuedRequest) -> None:
        ahead = self._queue.estimate_ahead(req.organisation) + 1
        wait_s = ahead * self._service_time_s / self.endpoint.slots
        if current_time() + wait_s > req.deadline:
            raise OverloadedError(
                'the queue is longer than the deadline allows',
                retry_at=time() + wait_s,
            )

    def _release_slot(self) -> None:
        req = self._queue.pop(current_time())
        if req is None:
            self._free_slots += 1
            return
        self._grants.pop(req).set()

    def _pop_idle(self) -> EndpointConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_stale():
                return conn
            conn.close()
        return None

    def _update_service_time(self, elapsed_s: float) -> None:
        self._service_time_s += _SMOOTHING_FACTOR * (
            elapsed_s - self._service_time_s
        )
