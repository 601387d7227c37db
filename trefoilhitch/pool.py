"""The slots of one endpoint: warm connections, shared fairly."""

from collections import deque
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from time import time

from trio import Cancelled, CancelScope, Event, current_time

from trefoilhitch._generated.store import Endpoint
from trefoilhitch.endpoint_client import EndpointConnection, EndpointPlatform
from trefoilhitch.errors import OverloadedError
from trefoilhitch.fair_queue import FairQueue, Ticket

INITIAL_SERVICE_TIME_S = 0.005
_SMOOTHING = 0.1


class EndpointPool:
    """Hands out an endpoint's slots.

    Args:
        endpoint: the declared endpoint.
        platform: opens connections.
        weights: share of the slots by organisation.

    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        platform: EndpointPlatform,
        weights: Mapping[str, float],
    ) -> None:
        """Start without connections."""
        self.endpoint = endpoint
        self._platform = platform
        self._queue = FairQueue(weights=weights)
        self._idle: deque[EndpointConnection] = deque()
        self._free = endpoint.slots
        self._granted: dict[Ticket, Event] = {}
        self._service_time_s = INITIAL_SERVICE_TIME_S

    @property
    def in_use(self) -> int:
        """Return how many slots carry work."""
        return self.endpoint.slots - self._free

    async def take(
        self, organisation: str, deadline: float
    ) -> EndpointConnection:
        """Take a connection.

        Args:
            organisation: for whom.
            deadline: monotonic time by which the work has to be done.

        Returns:
            A connection that nobody else uses; `give_back` must follow.

        Raises:
            OverloadedError: no slot in time; nothing was run.
            RefusalError: the endpoint gave no connection; nothing was run.

        """
        await self._take_slot(Ticket(organisation, deadline))
        conn = None
        try:
            conn = self._warm() or await self._platform.connect(
                self.endpoint, deadline
            )
        finally:
            if conn is None:
                self._release_slot()
        return conn

    def give_back(self, conn: EndpointConnection) -> None:
        """Return a connection; one that is closed is forgotten.

        Args:
            conn: what `take` returned.

        """
        if not conn.closed:
            self._idle.append(conn)
        self._release_slot()

    @asynccontextmanager
    async def lease(
        self,
        organisation: str,
        deadline: float,
    ) -> AsyncIterator[EndpointConnection]:
        """Take a connection for the length of a block.

        Args:
            organisation: for whom.
            deadline: monotonic time by which the work has to be done.

        Yields:
            A connection that nobody else uses.

        """
        conn = await self.take(organisation, deadline)
        began = current_time()
        try:
            yield conn
        finally:
            self._learn(current_time() - began)
            self.give_back(conn)

    def close_idle(self) -> None:
        """Close the idle connections, which frees slots at the endpoint."""
        while self._idle:
            self._idle.pop().close()

    async def _take_slot(self, ticket: Ticket) -> None:
        if self._free:
            self._free -= 1
            return
        self._refuse_if_late(ticket)
        granted = Event()
        self._granted[ticket] = granted
        self._queue.push(ticket)
        try:
            with CancelScope(deadline=ticket.deadline):
                await granted.wait()
        except Cancelled:
            self._abandon(ticket, granted)
            raise
        if not granted.is_set():
            self._abandon(ticket, granted)
            raise OverloadedError('no slot before the deadline')

    def _abandon(self, ticket: Ticket, granted: Event) -> None:
        if granted.is_set():
            self._release_slot()
            return
        self._granted.pop(ticket)
        self._queue.discard(ticket)

    def _refuse_if_late(self, ticket: Ticket) -> None:
        ahead = self._queue.ahead_of(ticket.organisation) + 1
        wait_s = ahead * self._service_time_s / self.endpoint.slots
        if current_time() + wait_s > ticket.deadline:
            raise OverloadedError(
                'the queue is longer than the deadline allows',
                retry_at=time() + wait_s,
            )

    def _release_slot(self) -> None:
        ticket = self._queue.pop(current_time())
        if ticket is None:
            self._free += 1
            return
        self._granted.pop(ticket).set()

    def _warm(self) -> EndpointConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.has_ended():
                return conn
            conn.close()
        return None

    def _learn(self, spent_s: float) -> None:
        self._service_time_s += _SMOOTHING * (spent_s - self._service_time_s)
