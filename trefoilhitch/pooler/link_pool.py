"""Endpoint connections, bound to an organisation, used by one at a time."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from trio import Event, current_time, move_on_at

from trefoilhitch.fair_queue import FairQueue, Ticket
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.answer import SessionState
from trefoilhitch.pooler.outcome import Loss
from trefoilhitch.pooler.pooled_link import PooledLink
from trefoilhitch.pooler.ports import EndpointDialer, LinkLostError

# A connection that cannot be opened within this time is given up. A lost
# packet is sent again only after a second.
DIAL_TIMEOUT_S = 0.25


@dataclass(slots=True)
class _Shelf:
    opened: int = 0
    idle: deque[PooledLink] = field(default_factory=deque)
    queue: FairQueue = field(default_factory=lambda: FairQueue(weights={}))
    waiting: dict[Ticket, Event] = field(default_factory=dict)


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
        dialer: EndpointDialer,
        cap: Callable[[str], int],
        metrics: Metrics,
    ) -> None:
        """Start without connections."""
        self._dialer = dialer
        self._cap = cap
        self._metrics = metrics
        self._shelves: dict[str, _Shelf] = {}

    async def acquire(
        self,
        endpoint: str,
        organisation: str,
        variables: Mapping[str, str],
        deadline: float,
    ) -> PooledLink:
        """Take a connection for one user.

        Args:
            endpoint: id of the endpoint.
            organisation: for whom statements will run.
            variables: session variables that it should preferably hold.
            deadline: monotonic time.

        Returns:
            The connection; it has to be released.

        Raises:
            LinkLostError: none could be had; nothing was sent.
            LinkRefusedError: the endpoint refused a new one.

        """
        shelf = self._shelves.setdefault(endpoint, _Shelf())
        while True:
            pooled = _take_idle(shelf, organisation, variables)
            if pooled is not None:
                return pooled
            if shelf.opened < self._cap(endpoint) or _evict(shelf):
                return await self._dial(shelf, endpoint, organisation, deadline)
            await self._wait(shelf, organisation, deadline)

    def release(self, endpoint: str, pooled: PooledLink) -> None:
        """Give a connection back.

        Args:
            endpoint: id of the endpoint.
            pooled: the connection; unless it is idle and usable, it is closed.

        """
        shelf = self._shelves[endpoint]
        usable = pooled.link.is_usable()
        if usable and pooled.link.state == SessionState.IDLE:
            shelf.idle.append(pooled)
        else:
            _close(shelf, pooled)
        _wake_next(shelf)

    def retire(self, endpoint: str) -> None:
        """Close the idle connections of an endpoint that is not used any more.

        Args:
            endpoint: id of the endpoint.

        """
        shelf = self._shelves.get(endpoint)
        while shelf is not None and shelf.idle:
            _close(shelf, shelf.idle.pop())

    def opened(self) -> int:
        """Return how many connections are open."""
        return sum(shelf.opened for shelf in self._shelves.values())

    async def _dial(
        self, shelf: _Shelf, endpoint: str, organisation: str, deadline: float
    ) -> PooledLink:
        shelf.opened += 1
        pooled = None
        limit = min(deadline, current_time() + DIAL_TIMEOUT_S)
        try:
            link = await self._dialer.dial(endpoint, organisation, limit)
            pooled = PooledLink(link)
        finally:
            if pooled is None:
                shelf.opened -= 1
                _wake_next(shelf)
        self._metrics.count('endpoint_connections_opened', endpoint)
        return pooled

    async def _wait(
        self, shelf: _Shelf, organisation: str, deadline: float
    ) -> None:
        ticket = Ticket(organisation, deadline)
        turn = Event()
        shelf.queue.push(ticket)
        shelf.waiting[ticket] = turn
        try:
            with move_on_at(deadline):
                await turn.wait()
        finally:
            shelf.queue.discard(ticket)
            shelf.waiting.pop(ticket, None)
        if not turn.is_set():
            raise LinkLostError(Loss.NOT_SENT, 'no free connection in time')


def _take_idle(
    shelf: _Shelf, organisation: str, variables: Mapping[str, str]
) -> PooledLink | None:
    own = [
        pooled
        for pooled in reversed(shelf.idle)
        if pooled.link.organisation == organisation
    ]
    # Sorting is stable: among equals, the one used last comes first.
    own.sort(key=lambda each: each.variables != variables)
    for pooled in own:
        shelf.idle.remove(pooled)
        if pooled.link.is_usable():
            return pooled
        _close(shelf, pooled)
    return None


def _evict(shelf: _Shelf) -> bool:
    if not shelf.idle:
        return False
    _close(shelf, shelf.idle.popleft())
    return True


def _close(shelf: _Shelf, pooled: PooledLink) -> None:
    pooled.link.close()
    shelf.opened -= 1


def _wake_next(shelf: _Shelf) -> None:
    ticket = shelf.queue.pop(current_time())
    if ticket is not None:
        shelf.waiting[ticket].set()
