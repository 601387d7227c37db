"""Averages of what reads at an endpoint experienced, and how old they are.

Load pattern: an endpoint becomes slow or is flooded, and later recovers, while
this node sees only some of its statements.
"""

import math
from dataclasses import dataclass

# Time constant of the averages. Shorter than a second, in which clients notice
# a slow endpoint.
SMOOTHING_S = 0.3
# Limits of the weight of one statement: statements that end together count, and
# a single fast one does not return all reads to an endpoint that was slow.
MIN_WEIGHT = 0.05
MAX_WEIGHT = 0.3
# A report is an average already. Those of several gateways alternate.
REPORT_WEIGHT = 0.5
# Fraction of the remaining confidence that a refused statement takes away.
REFUSAL_WEIGHT = 0.5
# Time constant with which refusals are forgotten.
RECOVERY_S = 2.0
# What a refused statement costs: it is sent again after a pause.
REFUSAL_COST_S = 0.2


@dataclass(slots=True)
class LoadEstimate:
    """Average wait and response time of reads at one endpoint.

    Args:
        valid_for_s: age in seconds from which an observation does not count.
        wait_s: wait before a read is sent, in seconds.
        response_s: time from sending a read to its response, in seconds,
            without the network's.
        in_flight: number of statements that waited or ran there when another
            node reported last.
        observed_at: monotonic time of the newest observation.

    """

    valid_for_s: float
    wait_s: float = 0
    response_s: float = 0
    in_flight: int = 0
    observed_at: float = -math.inf

    @property
    def delay_s(self) -> float:
        """Time that a read spends waiting and running, in seconds."""
        return self.wait_s + self.response_s

    def observe(self, wait_s: float, response_s: float, now: float) -> None:
        """Add a statement to the averages.

        Args:
            wait_s: wait before it was sent, in seconds.
            response_s: time until its response, in seconds.
            now: monotonic time.

        """
        weight = 1 - math.exp((self.observed_at - now) / SMOOTHING_S)
        if self.freshness(now):
            weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        self._move(weight, wait_s, response_s, now)

    def merge(self, other: 'LoadEstimate') -> bool:
        """Add the averages of another node.

        Args:
            other: what it observed.

        Returns:
            False if it is older than the newest observation.

        """
        at = other.observed_at
        if at < self.observed_at:
            return False
        weight = REPORT_WEIGHT if self.freshness(at) else 1
        self.in_flight = other.in_flight
        self._move(weight, other.wait_s, other.response_s, at)
        return True

    def freshness(self, now: float) -> float:
        """Return how much the averages count.

        Args:
            now: monotonic time.

        Returns:
            From 1 for a new observation to 0 for an outdated one.

        """
        age_s = max(0, now - self.observed_at)
        return max(0, 1 - age_s / self.valid_for_s)

    def _move(
        self, weight: float, wait_s: float, response_s: float, at: float
    ) -> None:
        self.wait_s += weight * (wait_s - self.wait_s)
        self.response_s += weight * (response_s - self.response_s)
        self.observed_at = at


@dataclass(slots=True)
class RefusalLevel:
    """Level of recent refusals of an endpoint, from 0 to 1.

    Args:
        recorded_at: monotonic time of the newest refusal.

    """

    recorded_at: float = -math.inf
    _level: float = 0

    def record(self, now: float) -> None:
        """Record that the endpoint refused a statement or lost one.

        Args:
            now: monotonic time.

        """
        level = self._at(now)
        self._level = level + REFUSAL_WEIGHT * (1 - level)
        self.recorded_at = now

    def cost_s(self, now: float) -> float:
        """Return the expected time that a refusal costs a statement.

        Args:
            now: monotonic time.

        Returns:
            Time in seconds; it falls gradually after the last refusal.

        """
        return self._at(now) * REFUSAL_COST_S

    def _at(self, now: float) -> float:
        return self._level * math.exp((self.recorded_at - now) / RECOVERY_S)
