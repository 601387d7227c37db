"""Circuit breakers for the endpoints that this node cannot reach.

Without them, every statement for a primary that stops responding would wait
in the queue for a connection, although the endpoint is known to accept none.
"""

from dataclasses import dataclass

# Consecutive failures after which an endpoint counts as unreachable. A single
# failure may be due to a lost packet.
FAILURES_TO_OPEN = 2
# Interval at which one statement may try an unreachable endpoint.
TRIAL_INTERVAL_S = 0.4
# How long a trial may take before another one is allowed. Longer than a pool
# takes to open a connection, so that trials do not overlap.
TRIAL_TIMEOUT_S = 1.0


@dataclass(slots=True)
class _Circuit:
    failures: int = 0
    next_trial_at: float = 0


class CircuitBreakers:
    """Counts consecutive connection failures of each endpoint.

    Args:
        trial_timeout_s: how long the outcome of a trial is awaited before
            another statement may try, in seconds.

    """

    def __init__(self, trial_timeout_s: float = TRIAL_INTERVAL_S) -> None:
        """Create closed circuit breakers for all endpoints."""
        self._trial_timeout_s = trial_timeout_s
        self._circuits: dict[str, _Circuit] = {}

    def record_failure(self, endpoint: str, now: float) -> bool:
        """Record that an endpoint accepted no connection.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            True if the endpoint now counts as unreachable.

        """
        circuit = self._circuits.setdefault(endpoint, _Circuit())
        circuit.failures += 1
        circuit.next_trial_at = now + TRIAL_INTERVAL_S
        return circuit.failures >= FAILURES_TO_OPEN

    def record_success(self, endpoint: str) -> bool:
        """Record that an endpoint was reached.

        Args:
            endpoint: endpoint id.

        Returns:
            True if the endpoint counted as unreachable before.

        """
        circuit = self._circuits.pop(endpoint, None)
        return circuit is not None and circuit.failures >= FAILURES_TO_OPEN

    def may_attempt(self, endpoint: str, now: float) -> bool:
        """Return whether a statement may be sent to an endpoint.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            True if the endpoint is reachable or a trial is due.

        """
        if self.is_blocked(endpoint, now):
            return False
        circuit = self._circuits.get(endpoint)
        if circuit is not None:
            circuit.next_trial_at = now + self._trial_timeout_s
        return True

    def is_blocked(self, endpoint: str, now: float) -> bool:
        """Return whether no statement may be sent, without starting a trial.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            True if the endpoint is unreachable and no trial is due.

        """
        circuit = self._circuits.get(endpoint)
        if circuit is None or circuit.failures < FAILURES_TO_OPEN:
            return False
        return now < circuit.next_trial_at
