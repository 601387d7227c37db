"""How a node repeats statements that an endpoint did not run."""

from collections.abc import Callable, Iterable
from typing import Protocol

from trefoilhitch.pooler.retrying.backoff import FIRST_PAUSE_S, pause_s
from trefoilhitch.pooler.retrying.retry_budget import RetryBudgets


class RetryPolicy(Protocol):
    """Decides when and where a statement is repeated."""

    # Whether a read goes to another endpoint without a pause, and passes over
    # endpoints that another statement tries at present.
    seeks_others: bool

    def pause_s(self, earlier_pauses: int) -> float:
        """Return how long a statement pauses before its next attempt.

        Args:
            earlier_pauses: number of its pauses so far.

        Returns:
            Time in seconds.

        """

    def record_sent(self, endpoint: str, now: float, *, is_retry: bool) -> None:
        """Record that a statement is sent to an endpoint.

        Args:
            endpoint: endpoint id.
            now: monotonic time.
            is_retry: whether an earlier attempt at it failed.

        """

    def without_budget(
        self, endpoints: Iterable[str], now: float
    ) -> frozenset[str]:
        """Return the endpoints to which no retry may be sent.

        Args:
            endpoints: endpoint ids.
            now: monotonic time.

        Returns:
            Ids of those whose budget is used up.

        """


class FixedPause:
    """Repeats statements after a fixed pause and without a limit."""

    seeks_others = False

    def pause_s(self, earlier_pauses: int) -> float:
        """Return the same pause each time; see `RetryPolicy`."""
        return FIRST_PAUSE_S

    def record_sent(self, endpoint: str, now: float, *, is_retry: bool) -> None:
        """Count nothing; see `RetryPolicy`."""

    def without_budget(
        self, endpoints: Iterable[str], now: float
    ) -> frozenset[str]:
        """Return no endpoint; see `RetryPolicy`."""
        return frozenset()


class BudgetedBackoff:
    """Repeats statements after growing pauses and within budgets.

    Args:
        draw: returns a random number from 0 to 1.

    """

    seeks_others = True

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start without statements."""
        self._draw = draw
        self._budgets = RetryBudgets()

    def pause_s(self, earlier_pauses: int) -> float:
        """Return a pause that doubles each time; see `RetryPolicy`."""
        return pause_s(earlier_pauses, self._draw())

    def record_sent(self, endpoint: str, now: float, *, is_retry: bool) -> None:
        """Count a statement; see `RetryPolicy`."""
        self._budgets.record_sent(endpoint, now, is_retry=is_retry)

    def without_budget(
        self, endpoints: Iterable[str], now: float
    ) -> frozenset[str]:
        """Return the endpoints whose budget is used up; see `RetryPolicy`."""
        return frozenset(
            endpoint
            for endpoint in endpoints
            if not self._budgets.may_retry(endpoint, now)
        )
