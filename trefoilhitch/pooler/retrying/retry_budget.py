"""Budgets that limit the retries at each endpoint.

Load pattern: an endpoint is overloaded and refuses statements. If each refused
statement is sent again, the retries alone keep it overloaded.
"""

from dataclasses import dataclass, field

# Largest ratio of retries to the statements sent to an endpoint.
MAX_RETRY_RATIO = 0.2
# Retries that are allowed however few statements were sent.
MIN_RETRIES = 10
# Length of the periods in which statements are counted; the present and the
# previous one count.
PERIOD_S = 5.0


@dataclass(slots=True)
class _Counts:
    sent: int = 0
    retries: int = 0


@dataclass(slots=True)
class _Budget:
    period: int = 0
    present: _Counts = field(default_factory=_Counts)
    previous: _Counts = field(default_factory=_Counts)

    def advance(self, period: int) -> None:
        """Drop the counts of periods that are over."""
        if period == self.period:
            return
        is_next = period == self.period + 1
        self.previous = self.present if is_next else _Counts()
        self.present = _Counts()
        self.period = period


class RetryBudgets:
    """Counts the statements and the retries at each endpoint."""

    def __init__(self) -> None:
        """Start without statements."""
        self._budgets: dict[str, _Budget] = {}

    def record_sent(self, endpoint: str, now: float, *, is_retry: bool) -> None:
        """Record that a statement is sent to an endpoint.

        Args:
            endpoint: endpoint id.
            now: monotonic time.
            is_retry: whether an earlier attempt at it failed.

        """
        counts = self._at(endpoint, now).present
        counts.sent += 1
        counts.retries += is_retry

    def may_retry(self, endpoint: str, now: float) -> bool:
        """Return whether a retry may be sent to an endpoint.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            False if the budget of the endpoint is used up.

        """
        budget = self._at(endpoint, now)
        sent = budget.present.sent + budget.previous.sent
        retries = budget.present.retries + budget.previous.retries
        return retries < max(MIN_RETRIES, sent * MAX_RETRY_RATIO)

    def _at(self, endpoint: str, now: float) -> _Budget:
        budget = self._budgets.setdefault(endpoint, _Budget())
        budget.advance(int(now // PERIOD_S))
        return budget
