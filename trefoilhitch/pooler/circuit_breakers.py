"""Which endpoints this node cannot reach: a circuit breaker for each.

The load that it answers: a lead goes dark, and every statement for it would
wait for a connection in turn, though it is known that there is none.
"""

from dataclasses import dataclass

# An endpoint counts as out of reach after so many failures in a row. A lost
# packet makes one.
FAILURES_TO_OPEN = 2
# How often one statement may try an endpoint that is out of reach.
TRIAL_INTERVAL_S = 0.4


@dataclass(slots=True)
class _Circuit:
    failures: int = 0
    next_trial_at: float = 0


class CircuitBreakers:
    """Counts failures to connect, by endpoint."""

    def __init__(self) -> None:
        """Start with all endpoints in reach."""
        self._circuits: dict[str, _Circuit] = {}

    def record_failure(self, endpoint: str, now: float) -> bool:
        """Take note that an endpoint accepted no connection.

        Args:
            endpoint: its id.
            now: monotonic time.

        Returns:
            True if it counts as out of reach.

        """
        circuit = self._circuits.setdefault(endpoint, _Circuit())
        circuit.failures += 1
        circuit.next_trial_at = now + TRIAL_INTERVAL_S
        return circuit.failures >= FAILURES_TO_OPEN

    def record_success(self, endpoint: str) -> bool:
        """Take note that an endpoint was reached.

        Args:
            endpoint: its id.

        Returns:
            True if it had counted as out of reach.

        """
        circuit = self._circuits.pop(endpoint, None)
        return circuit is not None and circuit.failures >= FAILURES_TO_OPEN

    def may_attempt(self, endpoint: str, now: float) -> bool:
        """Tell whether a statement may go to an endpoint.

        Args:
            endpoint: its id.
            now: monotonic time.

        Returns:
            True if it is in reach, or if this is the next trial.

        """
        circuit = self._circuits.get(endpoint)
        if circuit is None or circuit.failures < FAILURES_TO_OPEN:
            return True
        if now < circuit.next_trial_at:
            return False
        circuit.next_trial_at = now + TRIAL_INTERVAL_S
        return True
