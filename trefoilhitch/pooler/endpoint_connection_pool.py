"""One endpoint's connections: who may use, open or wait for one.

Under load, several organisations take turns on few connections. Each
connection is bound to one of them, and opening one costs the endpoint as much
as a statement does. So a connection that comes free goes to a user of the
same organisation, unless it has been used often enough to be worth its
opening and others have been passed over for too long.
"""

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilhitch.fair_queue import FairQueue, QueuedRequest
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.response import SessionState

# How long users of other organisations may be passed over by users of the
# organisation that a connection is bound to.
MAX_PASSED_OVER_S = 0.1
# Uses after which opening a connection has paid off.
MIN_USES_BEFORE_REASSIGNMENT = 5


@dataclass(slots=True)
class EndpointConnectionPool:
    """The connections of one endpoint.

    Args:
        open_count: connections that are open or being opened.
        in_use: how many of them are not idle, by organisation.

    """

    open_count: int = 0
    in_use: Counter[str] = field(default_factory=Counter)
    _idle: deque[PooledConnection] = field(default_factory=deque)
    _queue: FairQueue = field(default_factory=lambda: FairQueue(weights={}))
    _waiting_since: dict[QueuedRequest, float] = field(default_factory=dict)
    _assigned: dict[QueuedRequest, PooledConnection | None] = field(
        default_factory=dict
    )

    def take_idle(
        self, organisation: str, variables: Mapping[str, str]
    ) -> PooledConnection | None:
        """Take an idle connection.

        Args:
            organisation: for whom statements will run.
            variables: session variables that it should preferably hold.

        Returns:
            The connection, None if the organisation has no idle one.

        """
        own = [
            pooled
            for pooled in reversed(self._idle)
            if pooled.conn.organisation == organisation
        ]
        # Sorting is stable: among equals, the one used last comes first.
        own.sort(key=lambda each: each.variables != variables)
        for pooled in own:
            self._idle.remove(pooled)
            if pooled.conn.is_usable():
                self.in_use[organisation] += 1
                pooled.uses += 1
                return pooled
            self._close(pooled)
        return None

    def reserve(self, organisation: str, cap: int) -> bool:
        """Reserve a new connection.

        Args:
            organisation: for whom statements will run.
            cap: most connections.

        Returns:
            True if one may be opened.

        """
        if self.open_count >= cap:
            return False
        self.open_count += 1
        self.in_use[organisation] += 1
        return True

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest.

        Returns:
            False if none is idle.

        """
        if not self._idle:
            return False
        self._close(self._idle.popleft())
        return True

    def enqueue(self, ticket: QueuedRequest, now: float) -> None:
        """Add a user to those who wait.

        Args:
            ticket: the user.
            now: monotonic time.

        """
        self._queue.push(ticket)
        self._waiting_since[ticket] = now

    def cancel_wait(self, ticket: QueuedRequest) -> None:
        """Remove a user from those who wait.

        Args:
            ticket: the user.

        """
        self._queue.discard(ticket)
        self._waiting_since.pop(ticket, None)

    def take_assigned(self, ticket: QueuedRequest) -> PooledConnection | None:
        """Take what was given to a user that waited.

        Args:
            ticket: the user, whose turn has come.

        Returns:
            A connection, or None if a new one is reserved.

        """
        return self._assigned.pop(ticket)

    def release(
        self, pooled: PooledConnection, cap: int, now: float
    ) -> QueuedRequest | None:
        """Take back a connection that is not used any more.

        Args:
            pooled: the connection; unless it is idle and usable, it is closed.
            cap: most connections.
            now: monotonic time.

        Returns:
            The user whose turn has come, None if nobody's has.

        """
        organisation = pooled.conn.organisation
        idle = pooled.conn.state == SessionState.IDLE
        if not idle or self.open_count > cap or not pooled.conn.is_usable():
            pooled.conn.close()
            return self.release_slot(organisation, cap, now)
        self.in_use[organisation] -= 1
        ticket = self._next_queued(pooled, now)
        if ticket is None:
            self._idle.append(pooled)
        elif ticket.organisation == organisation:
            self._assign(ticket, pooled)
        else:
            pooled.conn.close()
            self._assign(ticket, None)
        return ticket

    def release_slot(
        self, organisation: str, cap: int, now: float
    ) -> QueuedRequest | None:
        """Take back a reservation, or a connection that was closed.

        Args:
            organisation: for whom it was.
            cap: most connections.
            now: monotonic time.

        Returns:
            The user whose turn has come, None if nobody's has.

        """
        self.in_use[organisation] -= 1
        self.open_count -= 1
        if self.open_count >= cap:
            return None
        ticket = self._pop_queued(now)
        if ticket is not None:
            self.open_count += 1
            self._assign(ticket, None)
        return ticket

    def cancel_all_waits(self) -> list[QueuedRequest]:
        """Remove all users that wait.

        Returns:
            The users, who get no connection.

        """
        waiting = list(self._waiting_since)
        for ticket in waiting:
            self.cancel_wait(ticket)
        return waiting

    def trim(self, cap: int) -> None:
        """Close idle connections beyond a number.

        Args:
            cap: most connections.

        """
        for _ in range(self.open_count - cap):
            self.evict_idle()

    def _next_queued(
        self, pooled: PooledConnection, now: float
    ) -> QueuedRequest | None:
        first = next(iter(self._waiting_since.values()), now)
        amortised = pooled.uses >= MIN_USES_BEFORE_REASSIGNMENT
        if not amortised or now - first < MAX_PASSED_OVER_S:
            ticket = self._queue.pop_for(pooled.conn.organisation, now)
            if ticket is not None:
                self._waiting_since.pop(ticket)
                return ticket
        return self._pop_queued(now)

    def _pop_queued(self, now: float) -> QueuedRequest | None:
        ticket = self._queue.pop(now)
        if ticket is not None:
            self._waiting_since.pop(ticket)
        return ticket

    def _assign(
        self, ticket: QueuedRequest, pooled: PooledConnection | None
    ) -> None:
        self.in_use[ticket.organisation] += 1
        self._assigned[ticket] = pooled
        if pooled is not None:
            pooled.uses += 1

    def _close(self, pooled: PooledConnection) -> None:
        pooled.conn.close()
        self.open_count -= 1
