"""Fair queueing: deficit round robin by organisation, bounded by deadlines."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

QUANTUM = 1.0


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    Args:
        organisation: for whom it runs.
        deadline: monotonic time by which it has to start.

    """

    organisation: str
    deadline: float


@dataclass(slots=True)
class _OrganisationQueue:
    pending: deque[QueuedRequest] = field(default_factory=deque)
    deficit: float = 0


class FairQueue:
    """Orders waiting requests so that each organisation gets its share.

    Args:
        weights: share by organisation; others weigh as much as the lightest.

    """

    def __init__(self, *, weights: Mapping[str, float]) -> None:
        """Start empty."""
        self._weights = dict(weights)
        self._max_weight = max(weights.values(), default=QUANTUM)
        self._min_weight = min(weights.values(), default=QUANTUM)
        self._queues: dict[str, _OrganisationQueue] = {}
        self._rotation: deque[str] = deque()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(lane.pending) for lane in self._queues.values())

    def push(self, req: QueuedRequest) -> None:
        """Add a request at the end of its organisation's lane.

        Args:
            req: the request.

        """
        queue = self._queues.get(req.organisation)
        if queue is None:
            queue = _OrganisationQueue()
            self._queues[req.organisation] = queue
            self._rotation.append(req.organisation)
        queue.pending.append(req)

    def discard(self, req: QueuedRequest) -> None:
        """Remove a request that waits no longer.

        Args:
            req: the request; one that is not queued is ignored.

        """
        queue = self._queues.get(req.organisation)
        if queue is not None and req in queue.pending:
            queue.pending.remove(req)
            self._remove_if_empty(req.organisation)

    def pop(self, now: float) -> QueuedRequest | None:
        """Take the request that may start next.

        Args:
            now: monotonic time; requests whose deadline passed are skipped.

        Returns:
            The request, or None if none waits.

        """
        while self._rotation:
            organisation = self._rotation[0]
            queue = self._queues[organisation]
            _discard_expired(queue, now)
            if queue.pending and queue.deficit >= QUANTUM:
                return self._pop_from(organisation, queue)
            self._advance_rotation(organisation, queue)
        return None

    def pop_for(self, organisation: str, now: float) -> QueuedRequest | None:
        """Take the next request of one organisation, out of turn.

        Args:
            organisation: whose request.
            now: monotonic time; requests whose deadline passed are skipped.

        Returns:
            The request, or None if the organisation has none that waits.

        """
        queue = self._queues.get(organisation)
        if queue is None:
            return None
        _discard_expired(queue, now)
        req = queue.pending.popleft() if queue.pending else None
        self._remove_if_empty(organisation)
        return req

    def estimate_ahead(self, organisation: str) -> float:
        """Estimate how many requests start before a new one of an organisation.

        Args:
            organisation: whose request would be added.

        Returns:
            Its own lane, and from each other lane at most that lane's share of
            the same number of turns.

        """
        own = (
            len(self._queues[organisation].pending)
            if organisation in self._queues
            else 0
        )
        turns = (own + 1) / self._share(organisation)
        others = sum(
            min(len(lane.pending), turns * self._share(name))
            for name, lane in self._queues.items()
            if name != organisation
        )
        return own + others

    def _pop_from(
        self, organisation: str, queue: _OrganisationQueue
    ) -> QueuedRequest:
        queue.deficit -= QUANTUM
        req = queue.pending.popleft()
        self._remove_if_empty(organisation)
        return req

    def _advance_rotation(
        self, organisation: str, queue: _OrganisationQueue
    ) -> None:
        self._rotation.rotate(-1)
        queue.deficit += self._share(organisation)
        self._remove_if_empty(organisation)

    def _remove_if_empty(self, organisation: str) -> None:
        if not self._queues[organisation].pending:
            self._queues.pop(organisation)
            self._rotation.remove(organisation)

    def _share(self, organisation: str) -> float:
        return (
            self._weights.get(organisation, self._min_weight) / self._max_weight
        )


def _discard_expired(queue: _OrganisationQueue, now: float) -> None:
    while queue.pending and queue.pending[0].deadline <= now:
        queue.pending.popleft()
