"""Estimates how long a statement waits for its turn at an endpoint.

Load pattern: more statements arrive than an endpoint can run, while more urgent
ones keep arriving that will go first. A statement that waits has only the turns
that these leave, but at least the share of the lower priorities.
"""

from dataclasses import dataclass, field
from math import exp

from trefoilhitch.pooler.scheduling.priority_queue import (
    TURNS_PER_LOWER_TURN,
    RequestsAhead,
)
from trefoilhitch.pooler.wait_estimate import WaitEstimate

# Time constant of the arrival rates, in seconds.
RATE_WINDOW_S = 1.0
# Counts below this are forgotten.
SMALLEST_COUNT = 0.001
# Smallest share of the turns that a priority gets while it waits.
MIN_SHARE = 1 / TURNS_PER_LOWER_TURN


@dataclass(slots=True)
class _DecayingCount:
    """Number of recent arrivals, each counting less with its age."""

    number: float = 0
    at: float = 0

    def value_at(self, now: float) -> float:
        age_s = max(0, now - self.at)
        return self.number * exp(-age_s / RATE_WINDOW_S)

    def add(self, now: float) -> None:
        self.number = self.value_at(now) + 1
        self.at = now


@dataclass(slots=True)
class TurnEstimate:
    """How long turns last, and how often statements of each priority arrive.

    Args:
        use: average length of a turn.

    """

    use: WaitEstimate = field(default_factory=WaitEstimate)
    _interval: WaitEstimate = field(default_factory=WaitEstimate)
    _last_start: float | None = None
    _arrivals: dict[int, _DecayingCount] = field(default_factory=dict)

    def record_arrival(self, priority: int, now: float) -> None:
        """Record a statement that has arrived and was not refused.

        Args:
            priority: priority of the statement.
            now: monotonic time.

        """
        self._arrivals.setdefault(priority, _DecayingCount()).add(now)
        if len(self._arrivals) > 1:
            self._forget_old(now)

    def record_start(self, now: float, *, others_wait: bool) -> None:
        """Record that a waiting statement got its turn.

        Args:
            now: monotonic time.
            others_wait: whether others wait, so that the next one to start
                shows how fast turns become free.

        """
        if self._last_start is not None:
            self._interval.record_use(now - self._last_start)
        self._last_start = now if others_wait else None

    def wait_s(
        self, priority: int, ahead: RequestsAhead, turns: int, now: float
    ) -> float:
        """Return how long a statement is expected to wait for its turn.

        Args:
            priority: priority of the statement.
            ahead: statements that are served before it.
            turns: statements that may be in flight.
            now: monotonic time.

        Returns:
            Time in seconds, 0 while the length of a turn is unknown.

        """
        interval_s = self._interval_s(turns)
        urgent_per_s = sum(
            count.value_at(now) / RATE_WINDOW_S
            for each, count in self._arrivals.items()
            if each < priority
        )
        share = max(MIN_SHARE, 1 - urgent_per_s * interval_s)
        # The next turn that ends may already be its own.
        by_order_s = ahead.total * interval_s / share
        by_share_s = (ahead.same + 1) * interval_s / MIN_SHARE
        return min(by_order_s, by_share_s)

    def _interval_s(self, turns: int) -> float:
        """Return the time between two turns that become free.

        The shorter of two estimates is used, so that a temporary decrease of
        the limit or a slow period that is over refuses nothing.
        """
        by_use_s = self.use.expected_s(1, turns)
        measured_s = self._interval.use_s
        return min(by_use_s, measured_s) if measured_s else by_use_s

    def _forget_old(self, now: float) -> None:
        old = [
            priority
            for priority, count in self._arrivals.items()
            if count.value_at(now) < SMALLEST_COUNT
        ]
        for priority in old:
            self._arrivals.pop(priority)
