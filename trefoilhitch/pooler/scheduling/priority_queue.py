"""Orders waiting statements by priority, organisation and deadline.

Load pattern: a flood of the least urgent kind of statements, and organisations
that send several times their usual load. More urgent statements are served
first, organisations of the same priority take turns, and lower priorities get
a share of the turns, so that they do not starve.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilhitch.fair_queue import FairQueue, QueuedRequest

# How long an organisation without a usable connection may be passed over in
# favour of those that have one. Opening one costs the endpoint more work than
# a statement.
MAX_PASSED_OVER_S = 0.1

# While lower priorities wait, one turn in this number goes to them.
TURNS_PER_LOWER_TURN = 8
# Turns with idle connections, while there are any, for each turn that may need
# a new connection, so that opening them does not take most of the endpoint.
READY_TURNS_PER_OTHER_TURN = 5


@dataclass(frozen=True, slots=True)
class RequestsAhead:
    """How many waiting requests are served before a further one.

    Args:
        more_urgent: requests of higher priorities.
        same: requests of its own priority.
        less_urgent: requests of lower priorities, by their share of the turns.

    """

    more_urgent: float
    same: float
    less_urgent: float

    @property
    def total(self) -> float:
        """Number of requests."""
        return self.more_urgent + self.same + self.less_urgent


@dataclass(slots=True)
class _Level:
    """The waiting requests of one priority.

    Args:
        queue: the requests by organisation.
        queued_at: when each request arrived, the oldest first.
        turns: turns since one was left to lower priorities.
        ready_turns: turns with idle connections since another one.

    """

    queue: FairQueue
    queued_at: dict[QueuedRequest, float] = field(default_factory=dict)
    turns: int = 0
    ready_turns: int = 0

    def pop(
        self, is_ready: Callable[[str], bool] | None, now: float
    ) -> QueuedRequest | None:
        if is_ready is None:
            return self.queue.pop(now)
        if self._prefers_ready(now):
            queued = self.queue.pop_ready(is_ready, now)
            if queued is not None:
                self.ready_turns += 1
                return queued
        self.ready_turns = 0
        queued = self.queue.pop_ready(lambda name: not is_ready(name), now)
        return queued or self.queue.pop(now)

    def _prefers_ready(self, now: float) -> bool:
        oldest_at = next(iter(self.queued_at.values()), now)
        if now - oldest_at < MAX_PASSED_OVER_S:
            return True
        return self.ready_turns < READY_TURNS_PER_OTHER_TURN


class PriorityQueue:
    """Waiting requests of all priorities.

    Args:
        by_deadline: whether the requests of one organisation and priority are
            ordered by deadline instead of arrival.

    """

    def __init__(self, *, by_deadline: bool) -> None:
        """Start empty."""
        self._by_deadline = by_deadline
        self._levels: dict[int, _Level] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(level.queued_at) for level in self._levels.values())

    def lengths(self) -> dict[int, int]:
        """Return the number of waiting requests by priority."""
        return {
            priority: len(level.queued_at)
            for priority, level in self._levels.items()
        }

    def waiting(self) -> list[QueuedRequest]:
        """Return all waiting requests."""
        return [
            queued
            for level in self._levels.values()
            for queued in level.queued_at
        ]

    def oldest_at(self, default: float) -> float:
        """Return when the request that waits longest arrived.

        Args:
            default: what to return if none waits.

        """
        return min(
            (
                next(iter(level.queued_at.values()))
                for level in self._levels.values()
            ),
            default=default,
        )

    def push(self, queued: QueuedRequest, now: float) -> None:
        """Add a request.

        Args:
            queued: the request.
            now: monotonic time.

        """
        level = self._levels.get(queued.priority)
        if level is None:
            level = _Level(FairQueue(weights={}, by_deadline=self._by_deadline))
            self._levels[queued.priority] = level
        level.queue.push(queued)
        level.queued_at[queued] = now

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request that no longer waits.

        Args:
            queued: the request; one that is not queued is ignored.

        """
        level = self._levels.get(queued.priority)
        if level is not None:
            level.queue.discard(queued)
            self._forget(queued)

    def pop(
        self, now: float, is_ready: Callable[[str], bool] | None = None
    ) -> QueuedRequest | None:
        """Remove and return the request that is served next.

        Args:
            now: monotonic time; requests past their deadline are passed over.
            is_ready: returns whether an organisation has an idle connection;
                None if that does not matter.

        Returns:
            The request, None if none can be served.

        """
        priorities = sorted(
            priority for priority, level in self._levels.items() if level.queue
        )
        for priority in self._in_turn(priorities):
            queued = self._levels[priority].pop(is_ready, now)
            if queued is not None:
                self._forget(queued)
                return queued
        return None

    def pop_for(self, organisation: str, now: float) -> QueuedRequest | None:
        """Remove and return the most urgent request of an organisation.

        Args:
            organisation: name of the organisation.
            now: monotonic time; requests past their deadline are passed over.

        Returns:
            The request, None if the organisation has none.

        """
        for priority in sorted(self._levels):
            queued = self._levels[priority].queue.pop_for(organisation, now)
            if queued is not None:
                self._forget(queued)
                return queued
        return None

    def ahead_of(self, organisation: str, priority: int) -> RequestsAhead:
        """Estimate how many requests are served before a further one.

        Args:
            organisation: organisation of the request.
            priority: its priority.

        Returns:
            The numbers.

        """
        lengths = self.lengths()
        level = self._levels.get(priority)
        same = level.queue.estimate_ahead(organisation) if level else 0
        return self._ahead(lengths, priority, same)

    def ahead_of_waiting(self, queued: QueuedRequest) -> RequestsAhead:
        """Count the requests that are served before the last of its priority.

        Args:
            queued: a waiting request, the last of its priority.

        Returns:
            The numbers.

        """
        lengths = self.lengths()
        same = lengths[queued.priority] - 1
        return self._ahead(lengths, queued.priority, same)

    def last_below(self, priority: int) -> QueuedRequest | None:
        """Return the last request of the lowest priority that waits.

        Args:
            priority: only requests of lower priorities are considered.

        Returns:
            The request, which stays in the queue; None if there is none.

        """
        lowest = max(
            (each for each, level in self._levels.items() if level.queue),
            default=priority,
        )
        return self._levels[lowest].queue.last() if lowest > priority else None

    def _ahead(
        self, lengths: dict[int, int], priority: int, same: float
    ) -> RequestsAhead:
        more_urgent = sum(
            number for each, number in lengths.items() if each < priority
        )
        below = sum(
            number for each, number in lengths.items() if each > priority
        )
        turns_of_lower = (more_urgent + same) / (TURNS_PER_LOWER_TURN - 1)
        return RequestsAhead(more_urgent, same, min(below, turns_of_lower))

    def _in_turn(self, priorities: list[int]) -> list[int]:
        """Order the priorities of waiting requests for one turn."""
        for index, priority in enumerate(priorities[:-1]):
            level = self._levels[priority]
            level.turns += 1
            if level.turns < TURNS_PER_LOWER_TURN:
                return priorities[index:] + priorities[:index]
            level.turns = 0
        return priorities[-1:] + priorities[:-1]

    def _forget(self, queued: QueuedRequest) -> None:
        level = self._levels[queued.priority]
        level.queued_at.pop(queued, None)
        if not level.queued_at:
            self._levels.pop(queued.priority)
