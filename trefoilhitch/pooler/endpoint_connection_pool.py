"""Allocates the connections of one endpoint to waiting statements.

Under load, several organisations take turns on few connections. Each
connection is bound to one organisation, and opening a connection costs the
endpoint as much as running a statement. So a released connection goes to a
waiter of the same organisation, unless it has been used often enough to repay
the cost of opening it and other organisations have waited for too long.
Requests of nodes themselves come first, and run on any connection.
"""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from trefoilhitch.fair_queue import QueuedRequest
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.response import SessionState
from trefoilhitch.pooler.scheduling.priority_queue import (
    MAX_PASSED_OVER_S,
    PriorityQueue,
)
from trefoilhitch.pooler.wait_estimate import WaitEstimate

# Uses after which the cost of opening a connection is repaid.
MIN_USES_BEFORE_REASSIGNMENT = 5
# Priority of requests that nodes send on their own behalf, before statements.
CONTROL_PRIORITY = -1


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
    _queue: PriorityQueue = field(
        default_factory=lambda: PriorityQueue(by_deadline=False)
    )
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
        self._queue.push(queued, now)

    def expected_wait_s(self, organisation: str, priority: int) -> float:
        """Return how long a further request would wait for a connection.

        Args:
            organisation: organisation of the request.
            priority: its priority.

        Returns:
            Time in seconds.

        """
        ahead = self._queue.ahead_of(organisation, priority)
        return self.estimate.expected_s(ahead.total, self.open_count)

    def readiness(self, cap: int) -> Callable[[str], bool]:
        """Return which organisations need no other one's connection.

        Args:
            cap: maximum number of connections.

        Returns:
            A function that returns whether an organisation, by its name, has an
            idle connection or one may be opened.

        """
        if self.open_count < cap:
            return lambda _organisation: True
        idle = {pooled.conn.organisation for pooled in self._idle}
        return idle.__contains__

    def cancel_wait(self, queued: QueuedRequest) -> None:
        """Remove a waiter from the queue.

        Args:
            queued: queued request of the waiter.

        """
        self._queue.discard(queued)

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
        if self.open_count > cap or not _is_reusable(pooled):
            pooled.conn.close()
            return self.release_slot(organisation, cap, now)
        self.in_use[organisation] -= 1
        queued = self._next_queued(pooled, now)
        if queued is None:
            self._idle.append(pooled)
        elif queued.organisation == organisation or _is_control(queued):
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
        queued = self._queue.pop(now)
        if queued is not None:
            self.open_count += 1
            self._assign(queued, None)
        return queued

    def cancel_all_waits(self) -> list[QueuedRequest]:
        """Remove all waiters from the queue.

        Returns:
            The queued requests, which get no connection.

        """
        waiting = self._queue.waiting()
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
        waiting_s = now - self._queue.oldest_at(now)
        amortised = pooled.uses >= MIN_USES_BEFORE_REASSIGNMENT
        may_prefer = not amortised or waiting_s < MAX_PASSED_OVER_S
        if may_prefer and CONTROL_PRIORITY not in self._queue.lengths():
            queued = self._queue.pop_for(pooled.conn.organisation, now)
            if queued is not None:
                return queued
        return self._queue.pop(now)

    def _assign(
        self, queued: QueuedRequest, pooled: PooledConnection | None
    ) -> None:
        holder = queued.organisation
        if pooled is not None:
            holder = pooled.conn.organisation
            pooled.uses += 1
        self.in_use[holder] += 1
        self._assigned[queued] = pooled

    def _close(self, pooled: PooledConnection) -> None:
        pooled.conn.close()
        self.open_count -= 1


def _is_reusable(pooled: PooledConnection) -> bool:
    if pooled.conn.state != SessionState.IDLE or pooled.holds_much_text:
        return False
    return pooled.conn.is_usable()


def _is_control(queued: QueuedRequest) -> bool:
    return queued.priority == CONTROL_PRIORITY
