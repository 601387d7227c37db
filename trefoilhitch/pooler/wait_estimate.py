"""Estimates how long a request waits for a connection.

Load pattern: more requests arrive than an endpoint can serve, for instance
when many clients return after an outage. Without an estimate, each of them
waits until its deadline before it is refused, and those that are served in the
end have little time left.
"""

from dataclasses import dataclass

# Weight of the newest use in the average.
SMOOTHING = 0.1


@dataclass(slots=True)
class WaitEstimate:
    """Average time for which an endpoint's connections are in use.

    Args:
        use_s: the average in seconds, 0 while it is unknown.

    """

    use_s: float = 0

    def record_use(self, duration_s: float) -> None:
        """Record how long a connection was in use.

        Args:
            duration_s: time in seconds.

        """
        if self.use_s:
            self.use_s += SMOOTHING * (duration_s - self.use_s)
        else:
            self.use_s = duration_s

    def expected_s(self, ahead: float, connections: int) -> float:
        """Return how long a request would wait.

        Args:
            ahead: number of requests that are served before it.
            connections: number of connections to the endpoint.

        Returns:
            Time in seconds.

        """
        return ahead * self.use_s / max(1, connections)
