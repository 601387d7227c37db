"""Reserves tokens of a rate for requests of a higher priority.

Load pattern: an organisation sends many requests of a low priority, for
instance a batch of notifications. Served in the order of arrival, they spend
each token as soon as it is available, and its urgent requests are refused
although they alone are far within the rate.
"""

from collections import Counter
from dataclasses import dataclass, field

from trefoilhitch.pooler.rate_accounting import Demand

# Tokens are reserved for the urgent requests that are expected in this time.
# The share gains tokens faster than urgent requests spend them, so this only
# has to outlast a short cluster of arrivals.
RESERVE_S = 1.0
# Nothing is reserved for a priority without requests in this time.
DEMAND_MEMORY_S = 5.0


@dataclass(slots=True)
class _PriorityDemand:
    """Requests of one priority.

    Args:
        demand: their rate.
        requested_at: when the last one arrived, in seconds.

    """

    demand: Demand
    requested_at: float


@dataclass(slots=True)
class PriorityReserve:
    """Tells how many tokens a request has to leave for more urgent ones."""

    _demands: dict[int, _PriorityDemand] = field(default_factory=dict)
    _waiting: Counter[int] = field(default_factory=Counter)

    def record_request(self, priority: int, now: float) -> None:
        """Count a request.

        Args:
            priority: its priority, of which 0 is the highest.
            now: time in seconds.

        """
        demand = self._touch(priority, now)
        demand.update(now)
        demand.request_count += 1

    def expect_requests(self, priority: int, now: float) -> None:
        """Reserve a token for another node's requests of a priority.

        Args:
            priority: their priority.
            now: time in seconds.

        """
        self._touch(priority, now)

    def begin_wait(self, priority: int) -> None:
        """Count a request that waits for tokens of other nodes.

        Args:
            priority: its priority.

        """
        self._waiting[priority] += 1

    def end_wait(self, priority: int) -> None:
        """Stop counting a request that waited.

        Args:
            priority: its priority.

        """
        self._waiting[priority] -= 1
        if not self._waiting[priority]:
            self._waiting.pop(priority)

    def waiting_count(self, priority: int) -> int:
        """Return how many requests wait for tokens of other nodes.

        Args:
            priority: their priority.

        """
        return self._waiting[priority]

    def tokens_above(self, priority: int, now: float) -> float:
        """Return how many tokens are reserved for more urgent requests.

        Args:
            priority: priority of the request that would spend a token.
            now: time in seconds.

        Returns:
            The number; 0 if no more urgent request arrived recently.

        """
        waiting = sum(
            count for each, count in self._waiting.items() if each < priority
        )
        return max(waiting, self._expected_above(priority, now))

    def demand_per_s(self, priority: int, now: float) -> float:
        """Return the demand that is at least as urgent as a priority.

        Args:
            priority: the priority.
            now: time in seconds.

        Returns:
            Requested operations per second.

        """
        demands = self._recent_demands(priority, now)
        for each in demands:
            each.update(now)
        return sum(demand.per_s for demand in demands)

    def _expected_above(self, priority: int, now: float) -> float:
        if not self._recent_demands(priority - 1, now):
            return 0
        return max(1, self.demand_per_s(priority - 1, now) * RESERVE_S)

    def _recent_demands(self, priority: int, now: float) -> list[Demand]:
        return [
            known.demand
            for each, known in self._demands.items()
            if each <= priority and now < known.requested_at + DEMAND_MEMORY_S
        ]

    def _touch(self, priority: int, now: float) -> Demand:
        known = self._demands.get(priority)
        if known is None:
            self._drop_expired(now)
            known = _PriorityDemand(Demand(measured_at=now), now)
            self._demands[priority] = known
        known.requested_at = now
        return known.demand

    def _drop_expired(self, now: float) -> None:
        """Forget priorities that are no longer requested.

        Priorities are free numbers of the declaration, which may change.
        """
        expired = [
            priority
            for priority, known in self._demands.items()
            if now >= known.requested_at + DEMAND_MEMORY_S
        ]
        for priority in expired:
            self._demands.pop(priority)
