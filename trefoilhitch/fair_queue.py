"""Fair queue: deficit round robin by organisation, bounded by deadlines."""

from bisect import insort
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

QUANTUM = 1.0


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequest:
    """Request that waits for a slot.

    Args:
        organisation: organisation that the request is made for.
        deadline: monotonic time by which the request has to start.
        priority: priority, of which 0 is the highest for statements.

    """

    organisation: str
    deadline: float
    priority: int = 0


@dataclass(slots=True)
class _OrganisationQueue:
    pending: deque[QueuedRequest] = field(default_factory=deque)
    deficit: float = 0


class FairQueue:
    """Orders waiting requests so that each organisation gets its share.

    Args:
        weights: weight by organisation; one that is not listed gets the
            lowest weight.
        by_deadline: whether the requests of one organisation are ordered by
            deadline instead of arrival. An organisation of which none waited
            then gets its first turn in the current round.

    """

    def __init__(
        self, *, weights: Mapping[str, float], by_deadline: bool = False
    ) -> None:
        """Start empty."""
        self._by_deadline = by_deadline
        self._first_deficit = QUANTUM if by_deadline else 0
        self._weights = dict(weights)
        self._max_weight = max(weights.values(), default=QUANTUM)
        self._min_weight = min(weights.values(), default=QUANTUM)
        self._queues: dict[str, _OrganisationQueue] = {}
        self._rotation: deque[str] = deque()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue.pending) for queue in self._queues.values())

    def push(self, req: QueuedRequest) -> None:
        """Add a request to its organisation's queue.

        Args:
            req: request to add.

        """
        queue = self._queues.get(req.organisation)
        if queue is None:
            queue = _OrganisationQueue(deficit=self._first_deficit)
            self._queues[req.organisation] = queue
            self._rotation.append(req.organisation)
        if self._by_deadline:
            insort(queue.pending, req, key=_deadline)
        else:
            queue.pending.append(req)

    def discard(self, req: QueuedRequest) -> None:
        """Remove a request that no longer waits.

        Args:
            req: request to remove; one that is not queued is ignored.

        """
        queue = self._queues.get(req.organisation)
        if queue is not None and req in queue.pending:
            queue.pending.remove(req)
            self._remove_if_empty(req.organisation)

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the request that may start next.

        Args:
            now: monotonic time; requests past their deadline are discarded.

        Returns:
            The request, or None if the queue is empty.

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
        """Remove and return the next request of one organisation, out of turn.

        Args:
            organisation: name of the organisation.
            now: monotonic time; requests past their deadline are discarded.

        Returns:
            The request, or None if the organisation has none in the queue.

        """
        queue = self._queues.get(organisation)
        if queue is None:
            return None
        _discard_expired(queue, now)
        req = queue.pending.popleft() if queue.pending else None
        self._remove_if_empty(organisation)
        return req

    def pop_ready(
        self, is_ready: Callable[[str], bool], now: float
    ) -> QueuedRequest | None:
        """Remove and return the next request of an organisation that is ready.

        The organisation's next turn comes after those of the others.

        Args:
            is_ready: returns whether an organisation is ready.
            now: monotonic time; requests past their deadline are discarded.

        Returns:
            The request, None if no organisation with one is ready.

        """
        for organisation in tuple(self._rotation):
            if not is_ready(organisation):
                continue
            req = self.pop_for(organisation, now)
            if organisation in self._queues:
                self._rotation.remove(organisation)
                self._rotation.append(organisation)
            if req is not None:
                return req
        return None

    def last(self) -> QueuedRequest | None:
        """Return the last request of the organisation with the most requests.

        Returns:
            The request, which stays in the queue; None if the queue is empty.

        """
        longest = max(
            self._queues.values(),
            key=lambda queue: len(queue.pending),
            default=None,
        )
        return longest.pending[-1] if longest else None

    def estimate_ahead(self, organisation: str) -> float:
        """Estimate how many requests start before a new one of an organisation.

        Args:
            organisation: organisation of the new request.

        Returns:
            The organisation's own requests, plus those of each other
            organisation, limited to its share of the same number of turns.

        """
        own = (
            len(self._queues[organisation].pending)
            if organisation in self._queues
            else 0
        )
        turns = (own + 1) / self._share(organisation)
        others = sum(
            min(len(queue.pending), turns * self._share(name))
            for name, queue in self._queues.items()
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


def _deadline(req: QueuedRequest) -> float:
    return req.deadline
