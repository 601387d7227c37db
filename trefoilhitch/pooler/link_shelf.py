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

from trefoilhitch.fair_queue import FairQueue, Ticket
from trefoilhitch.pooler.answer import SessionState
from trefoilhitch.pooler.pooled_link import PooledLink

# How long users of other organisations may be passed over by users of the
# organisation that a connection is bound to.
PASSED_OVER_S = 0.1
# Uses after which opening a connection has paid off.
PAID_OFF_USES = 5


@dataclass(slots=True)
class LinkShelf:
    """The connections of one endpoint.

    Args:
        opened: connections that are open or being opened.
        in_use: how many of them are not idle, by organisation.

    """

    opened: int = 0
    in_use: Counter[str] = field(default_factory=Counter)
    _idle: deque[PooledLink] = field(default_factory=deque)
    _queue: FairQueue = field(default_factory=lambda: FairQueue(weights={}))
    _waiting_since: dict[Ticket, float] = field(default_factory=dict)
    _given: dict[Ticket, PooledLink | None] = field(default_factory=dict)

    def take_idle(
        self, organisation: str, variables: Mapping[str, str]
    ) -> PooledLink | None:
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
            if pooled.link.organisation == organisation
        ]
        # Sorting is stable: among equals, the one used last comes first.
        own.sort(key=lambda each: each.variables != variables)
        for pooled in own:
            self._idle.remove(pooled)
            if pooled.link.is_usable():
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
        if self.opened >= cap:
            return False
        self.opened += 1
        self.in_use[organisation] += 1
        return True

    def evict(self) -> bool:
        """Close the connection that has been idle for longest.

        Returns:
            False if none is idle.

        """
        if not self._idle:
            return False
        self._close(self._idle.popleft())
        return True

    def join(self, ticket: Ticket, now: float) -> None:
        """Add a user to those who wait.

        Args:
            ticket: the user.
            now: monotonic time.

        """
        self._queue.push(ticket)
        self._waiting_since[ticket] = now

    def leave(self, ticket: Ticket) -> None:
        """Remove a user from those who wait.

        Args:
            ticket: the user.

        """
        self._queue.discard(ticket)
        self._waiting_since.pop(ticket, None)

    def collect(self, ticket: Ticket) -> PooledLink | None:
        """Take what was given to a user that waited.

        Args:
            ticket: the user, whose turn has come.

        Returns:
            A connection, or None if a new one is reserved.

        """
        return self._given.pop(ticket)

    def put_back(
        self, pooled: PooledLink, cap: int, now: float
    ) -> Ticket | None:
        """Take back a connection that is not used any more.

        Args:
            pooled: the connection; unless it is idle and usable, it is closed.
            cap: most connections.
            now: monotonic time.

        Returns:
            The user whose turn has come, None if nobody's has.

        """
        organisation = pooled.link.organisation
        idle = pooled.link.state == SessionState.IDLE
        if not idle or self.opened > cap or not pooled.link.is_usable():
            pooled.link.close()
            return self.give_up(organisation, cap, now)
        self.in_use[organisation] -= 1
        ticket = self._next_user(pooled, now)
        if ticket is None:
            self._idle.append(pooled)
        elif ticket.organisation == organisation:
            self._give(ticket, pooled)
        else:
            pooled.link.close()
            self._give(ticket, None)
        return ticket

    def give_up(self, organisation: str, cap: int, now: float) -> Ticket | None:
        """Take back a reservation, or a connection that was closed.

        Args:
            organisation: for whom it was.
            cap: most connections.
            now: monotonic time.

        Returns:
            The user whose turn has come, None if nobody's has.

        """
        self.in_use[organisation] -= 1
        self.opened -= 1
        if self.opened >= cap:
            return None
        ticket = self._pop(now)
        if ticket is not None:
            self.opened += 1
            self._give(ticket, None)
        return ticket

    def dismiss(self) -> list[Ticket]:
        """Remove all users that wait.

        Returns:
            The users, who get no connection.

        """
        waiting = list(self._waiting_since)
        for ticket in waiting:
            self.leave(ticket)
        return waiting

    def trim(self, cap: int) -> None:
        """Close idle connections beyond a number.

        Args:
            cap: most connections.

        """
        for _ in range(self.opened - cap):
            self.evict()

    def _next_user(self, pooled: PooledLink, now: float) -> Ticket | None:
        first = next(iter(self._waiting_since.values()), now)
        paid_off = pooled.uses >= PAID_OFF_USES
        if not paid_off or now - first < PASSED_OVER_S:
            ticket = self._queue.pop_of(pooled.link.organisation, now)
            if ticket is not None:
                self._waiting_since.pop(ticket)
                return ticket
        return self._pop(now)

    def _pop(self, now: float) -> Ticket | None:
        ticket = self._queue.pop(now)
        if ticket is not None:
            self._waiting_since.pop(ticket)
        return ticket

    def _give(self, ticket: Ticket, pooled: PooledLink | None) -> None:
        self.in_use[ticket.organisation] += 1
        self._given[ticket] = pooled
        if pooled is not None:
            pooled.uses += 1

    def _close(self, pooled: PooledLink) -> None:
        pooled.link.close()
        self.opened -= 1
