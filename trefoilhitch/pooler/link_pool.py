"""Endpoint connections, bound to an organisation, used by one at a time."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from trio import Event, current_time, move_on_at

from trefoilhitch.fair_queue import Ticket
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
DIAL_TIMEOUT_S = 0.7
# How long a user waits for a connection of its own organisation that is in
# use, before one of another organisation is closed for it.
OWN_WAIT_S = 0.06


@dataclass(frozen=True, slots=True)
class _User:
    endpoint: str
    organisation: str
    deadline: float


@dataclass(slots=True)
class _Turn:
    begun: Event = field(default_factory=Event)
    dismissed: bool = False


class LinkPool:
    """Keeps connections by endpoint, within this node's part of their number.

    Args:
        dialer: opens connections.
        cap: returns how many this node may hold to an endpoint.
        metrics: counts connections.

    """

    def __init__(
        self,
        *,
        dialer: EndpointConnector,
        cap: Callable[[str], int],
        metrics: Metrics,
    ) -> None:
        """Start without connections."""
        self._dialer = dialer
        self._cap = cap
        self._metrics = metrics
        self._shelves: dict[str, EndpointConnectionPool] = {}
        self._turns: dict[Ticket, _Turn] = {}

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
        shelf = self._shelves.setdefault(endpoint, EndpointConnectionPool())
        user = _User(endpoint, organisation, deadline)
        pooled = shelf.take_idle(organisation, variables)
        if pooled is None and not shelf.reserve(
            organisation, self._cap(endpoint)
        ):
            pooled = await self._wait_or_evict(shelf, user)
        return pooled or await self._dial(shelf, user)

    def release(self, endpoint: str, pooled: PooledConnection) -> None:
        """Give a connection back.

        Args:
            endpoint: id of the endpoint.
            pooled: the connection; unless it is idle and usable, it is closed.

        """
        shelf = self._shelves[endpoint]
        cap = self._cap(endpoint)
        self._wake(shelf.release(pooled, cap, current_time()))

    def retire(self, endpoint: str) -> None:
        """Close the idle connections of an endpoint that is not used any more.

        Args:
            endpoint: id of the endpoint.

        """
        shelf = self._shelves.get(endpoint)
        if shelf is not None:
            shelf.trim(0)

    def dismiss(self, endpoint: str) -> None:
        """Tell all who wait for a connection that there is none.

        Args:
            endpoint: id of an endpoint that is out of reach.

        """
        for ticket in self._shelves[endpoint].cancel_all_waits():
            self._turns[ticket].dismissed = True
            self._wake(ticket)

    def trim(self) -> None:
        """Close idle connections beyond this node's part of their number."""
        for endpoint, shelf in self._shelves.items():
            shelf.trim(self._cap(endpoint))

    async def _wait_or_evict(
        self, shelf: EndpointConnectionPool, user: _User
    ) -> PooledConnection | None:
        """Return a connection, or None if a new one is reserved."""
        ticket = None
        if shelf.in_use[user.organisation]:
            patience = min(user.deadline, current_time() + OWN_WAIT_S)
            ticket = await self._wait(shelf, user, patience)
        if ticket is None:
            cap = self._cap(user.endpoint)
            if shelf.evict_idle() and shelf.reserve(user.organisation, cap):
                return None
            ticket = await self._wait(shelf, user, user.deadline)
        if ticket is None:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'no free connection in time'
            )
        return shelf.take_assigned(ticket)

    async def _wait(
        self, shelf: EndpointConnectionPool, user: _User, deadline: float
    ) -> Ticket | None:
        """Wait for a turn; None if it did not come in time."""
        ticket = Ticket(user.organisation, deadline)
        turn = _Turn()
        self._turns[ticket] = turn
        shelf.enqueue(ticket, current_time())
        try:
            with move_on_at(deadline):
                await turn.begun.wait()
        except BaseException:
            if turn.begun.is_set() and not turn.dismissed:
                self._decline(shelf, user.endpoint, ticket)
            raise
        finally:
            self._turns.pop(ticket)
            shelf.cancel_wait(ticket)
        if turn.dismissed:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'the endpoint is out of reach'
            )
        return ticket if turn.begun.is_set() else None

    async def _dial(
        self, shelf: EndpointConnectionPool, user: _User
    ) -> PooledConnection:
        pooled = None
        now = current_time()
        try:
            link = await self._dialer.connect(
                user.endpoint,
                user.organisation,
                connect_by=min(user.deadline, now + CONNECT_TIMEOUT_S),
                deadline=min(user.deadline, now + DIAL_TIMEOUT_S),
            )
            pooled = PooledConnection(link, uses=1)
        finally:
            if pooled is None:
                self._give_up(shelf, user.endpoint, user.organisation)
        self._metrics.count('endpoint_connections_opened', user.endpoint)
        return pooled

    def _decline(
        self, shelf: EndpointConnectionPool, endpoint: str, ticket: Ticket
    ) -> None:
        """Pass on what was given to a user that was cancelled."""
        pooled = shelf.take_assigned(ticket)
        if pooled is None:
            self._give_up(shelf, endpoint, ticket.organisation)
        else:
            self.release(endpoint, pooled)

    def _give_up(
        self, shelf: EndpointConnectionPool, endpoint: str, organisation: str
    ) -> None:
        cap = self._cap(endpoint)
        self._wake(shelf.release_slot(organisation, cap, current_time()))

    def _wake(self, ticket: Ticket | None) -> None:
        if ticket is not None:
            self._turns[ticket].begun.set()
