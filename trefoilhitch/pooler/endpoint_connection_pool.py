"""Allocates the connections of one endpoint to waiting statements.

Under load, several organisations take turns on few connections. Each
connection is bound to one organisation, and opening a connection costs the
endpoint as much as running a statement. So a released connection goes to a
waiter of the same organisation, unless it has been used often enough to repay
the cost of opening it and other organisations have waited for too long.
"""

from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilhitch.fair_queue import FairQueue, QueuedRequest
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.response import SessionState
from trefoilhitch.pooler.wait_estimate import WaitEstimate

# How long waiters of other organisations may be passed over in favour of the
# organisation that a connection is bound to.
MAX_PASSED_OVER_S = 0.1
# Uses after which the cost of opening a connection is repaid.
MIN_USES_BEFORE_REASSIGNMENT = 5


@dataclass(slots=True)
class EndpointConnectionPool:
    """The connections of one endpoint and the waiters for them.

    Args:
        open_count: number of connections that are open or being opened.
        in_use: number of connections that are not idle, by organisation.
        estimate: how long the connections are in use.

    """

    open_count: int = 0
    in_use: Counter[str] = field(default_factory=Counter)
    estimate: WaitEstimate = field(default_factory=WaitEstimate)
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
            organisation: organisation that the connection is bound to.
            variables: preferred session variables of the connection.

        Returns:
            The connection, None if the organisation has no idle one.

        """
        own = [
            pooled
            for pooled in reversed(self._idle)
            if pooled.conn.organisation == organisation
        ]
        # Sorting is stable: the most recently used of equals comes first.
        own.sort(key=lambda pooled: pooled.variables != variables)
        for pooled in own:
            self._idle.remove(pooled)
            if pooled.conn.is_usable():
                self.in_use[organisation] += 1
                pooled.uses += 1
                return pooled
            self._close(pooled)
        return None

    def take_any_idle(self) -> PooledConnection | None:
        """Take the most recently used idle connection of any organisation.

        Returns:
            The connection, None if none is idle.

        """
        while self._idle:
            pooled = self._idle.pop()
            if pooled.conn.is_usable():
                self.in_use[pooled.conn.organisation] += 1
                return pooled
            self._close(pooled)
        return None

    def reserve(self, organisation: str, cap: int) -> bool:
        """Reserve a slot for a new connection.

        Args:
            organisation: organisation that the connection will be bound to.
            cap: maximum number of connections.

        Returns:
            True if a connection may be opened.

        """
        if self.open_count >= cap:
            return False
        self.open_count += 1
        self.in_use[organisation] += 1
        return True

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest.

        Returns:
            False if none is idle.

        """
        if not self._idle:
            return False
        self._close(self._idle.popleft())
        return True

    def enqueue(self, queued: QueuedRequest, now: float) -> None:
        """Add a waiter to the queue.

        Args:
            queued: queued request of the waiter.
            now: monotonic time.

        """
        self._queue.push(queued)
        self._waiting_since[queued] = now

    def expected_wait_s(self, organisation: str) -> float:
        """Return how long a further request would wait for a connection.

        Args:
            organisation: organisation of the request.

        Returns:
            Time in seconds.

        """
        ahead = self._queue.estimate_ahead(organisation)
        return self.estimate.expected_s(ahead, self.open_count)

    def cancel_wait(self, queued: QueuedRequest) -> None:
        """Remove a waiter from the queue.

        Args:
            queued: queued request of the waiter.

        """
        self._queue.discard(queued)
        self._waiting_since.pop(queued, None)

    def take_assigned(self, queued: QueuedRequest) -> PooledConnection | None:
        """Take the connection that was assigned to a waiter.

        Args:
            queued: queued request of a waiter that was woken.

        Returns:
            The connection, None if a slot for a new one is reserved instead.

        """
        return self._assigned.pop(queued)

    def release(
        self, pooled: PooledConnection, cap: int, now: float
    ) -> QueuedRequest | None:
        """Release a connection.

        Args:
            pooled: the connection; it is closed unless it is idle and usable.
            cap: maximum number of connections.
            now: monotonic time.

        Returns:
            Queued request to wake next, None if there is none.

        """
        organisation = pooled.conn.organisation
        self.estimate.record_use(now - pooled.taken_at)
        idle = pooled.conn.state == SessionState.IDLE
        if not idle or self.open_count > cap or not pooled.conn.is_usable():
            pooled.conn.close()
            return self.release_slot(organisation, cap, now)
        self.in_use[organisation] -= 1
        queued = self._next_queued(pooled, now)
        if queued is None:
            self._idle.append(pooled)
        elif queued.organisation == organisation:
            self._assign(queued, pooled)
        else:
            pooled.conn.close()
            self._assign(queued, None)
        return queued

    def release_slot(
        self, organisation: str, cap: int, now: float
    ) -> QueuedRequest | None:
        """Release a reserved slot, or the slot of a closed connection.

        Args:
            organisation: organisation that held the slot.
            cap: maximum number of connections.
            now: monotonic time.

        Returns:
            Queued request to wake next, None if there is none.

        """
        self.in_use[organisation] -= 1
        self.open_count -= 1
        return self.grant_slot(cap, now)

    def grant_slot(self, cap: int, now: float) -> QueuedRequest | None:
        """Reserve a slot for the next waiter.

        Args:
            cap: maximum number of connections.
            now: monotonic time.

        Returns:
            Queued request to wake, None if there is none or no slot.

        """
        if self.open_count >= cap:
            return None
        queued = self._pop_queued(now)
        if queued is not None:
            self.open_count += 1
            self._assign(queued, None)
        return queued

    def cancel_all_waits(self) -> list[QueuedRequest]:
        """Remove all waiters from the queue.

        Returns:
            The queued requests, which get no connection.

        """
        waiting = list(self._waiting_since)
        for queued in waiting:
            self.cancel_wait(queued)
        return waiting

    def trim(self, cap: int) -> None:
        """Close idle connections that exceed the cap.

        Args:
            cap: maximum number of connections.

        """
        for _ in range(self.open_count - cap):
            self.evict_idle()

    def _next_queued(
        self, pooled: PooledConnection, now: float
    ) -> QueuedRequest | None:
        longest_waiting_since = next(iter(self._waiting_since.values()), now)
        amortised = pooled.uses >= MIN_USES_BEFORE_REASSIGNMENT
        if not amortised or now - longest_waiting_since < MAX_PASSED_OVER_S:
            queued = self._queue.pop_for(pooled.conn.organisation, now)
            if queued is not None:
                self._waiting_since.pop(queued)
                return queued
        return self._pop_queued(now)

    def _pop_queued(self, now: float) -> QueuedRequest | None:
        queued = self._queue.pop(now)
        if queued is not None:
            self._waiting_since.pop(queued)
        return queued

    def _assign(
        self, queued: QueuedRequest, pooled: PooledConnection | None
    ) -> None:
        self.in_use[queued.organisation] += 1
        self._assigned[queued] = pooled
        if pooled is not None:
            pooled.uses += 1

    def _close(self, pooled: PooledConnection) -> None:
        pooled.conn.close()
        self.open_count -= 1
