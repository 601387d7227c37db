"""Fair queueing: deficit round robin by organisation, bounded by deadlines."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

QUANTUM = 1.0


@dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """A request that waits for a slot.

    Args:
        organisation: for whom it runs.
        deadline: monotonic time by which it has to start.

    """

    organisation: str
    deadline: float


@dataclass(slots=True)
class _Lane:
    waiting: deque[Ticket] = field(default_factory=deque)
    deficit: float = 0


class FairQueue:
    """Orders waiting requests so that each organisation gets its share.

    Args:
        weights: share by organisation; others weigh as much as the lightest.

    """

    def __init__(self, *, weights: Mapping[str, float]) -> None:
        """Start empty."""
        self._weights = dict(weights)
        self._heaviest = max(weights.values(), default=QUANTUM)
        self._lightest = min(weights.values(), default=QUANTUM)
        self._lanes: dict[str, _Lane] = {}
        self._turns: deque[str] = deque()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(lane.waiting) for lane in self._lanes.values())

    def push(self, ticket: Ticket) -> None:
        """Add a request at the end of its organisation's lane.

        Args:
            ticket: the request.

        """
        lane = self._lanes.get(ticket.organisation)
        if lane is None:
            lane = _Lane()
            self._lanes[ticket.organisation] = lane
            self._turns.append(ticket.organisation)
        lane.waiting.append(ticket)

    def discard(self, ticket: Ticket) -> None:
        """Remove a request that waits no longer.

        Args:
            ticket: the request; one that is not queued is ignored.

        """
        lane = self._lanes.get(ticket.organisation)
        if lane is not None and ticket in lane.waiting:
            lane.waiting.remove(ticket)
            self._drop_if_empty(ticket.organisation)

    def pop(self, now: float) -> Ticket | None:
        """Take the request that may start next.

        Args:
            now: monotonic time; requests whose deadline passed are skipped.

        Returns:
            The request, or None if none waits.

        """
        while self._turns:
            organisation = self._turns[0]
            lane = self._lanes[organisation]
            _skip_expired(lane, now)
            if lane.waiting and lane.deficit >= QUANTUM:
                return self._take(organisation, lane)
            self._next_turn(organisation, lane)
        return None

    def pop_of(self, organisation: str, now: float) -> Ticket | None:
        """Take the next request of one organisation, out of turn.

        Args:
            organisation: whose request.
            now: monotonic time; requests whose deadline passed are skipped.

        Returns:
            The request, or None if the organisation has none that waits.

        """
        lane = self._lanes.get(organisation)
        if lane is None:
            return None
        _skip_expired(lane, now)
        ticket = lane.waiting.popleft() if lane.waiting else None
        self._drop_if_empty(organisation)
        return ticket

    def ahead_of(self, organisation: str) -> float:
        """Estimate how many requests start before a new one of an organisation.

        Args:
            organisation: whose request would be added.

        Returns:
            Its own lane, and from each other lane at most that lane's share of
            the same number of turns.

        """
        own = (
            len(self._lanes[organisation].waiting)
            if organisation in self._lanes
            else 0
        )
        turns = (own + 1) / self._share(organisation)
        others = sum(
            min(len(lane.waiting), turns * self._share(name))
            for name, lane in self._lanes.items()
            if name != organisation
        )
        return own + others

    def _take(self, organisation: str, lane: _Lane) -> Ticket:
        lane.deficit -= QUANTUM
        ticket = lane.waiting.popleft()
        self._drop_if_empty(organisation)
        return ticket

    def _next_turn(self, organisation: str, lane: _Lane) -> None:
        self._turns.rotate(-1)
        lane.deficit += self._share(organisation)
        self._drop_if_empty(organisation)

    def _drop_if_empty(self, organisation: str) -> None:
        if not self._lanes[organisation].waiting:
            self._lanes.pop(organisation)
            self._turns.remove(organisation)

    def _share(self, organisation: str) -> float:
        return self._weights.get(organisation, self._lightest) / self._heaviest


def _skip_expired(lane: _Lane, now: float) -> None:
    while lane.waiting and lane.waiting[0].deadline <= now:
        lane.waiting.popleft()
