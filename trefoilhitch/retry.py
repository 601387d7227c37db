"""Retries: what follows a failure, a budget, and jittered delays."""

from dataclasses import dataclass
from typing import Literal, TypeAlias

from trefoilhitch._generated.messages import Access, Refusal

BASE_DELAY_S = 0.02
MAX_DELAY_S = 0.5
BACKOFF_FACTOR = 2.0
RETRY_COST = 1.0
RetryStep: TypeAlias = Literal[
    'give_up', 'elsewhere', 'wait', 'again', 'settle'
]
_FINAL_CODES = frozenset(
    (
        'bad_request',
        'body_too_large',
        'internal',
        'invalid_session',
        'not_found',
        'overloaded',
        'sql_rejected',
        'transaction_lost',
        'unauthorised',
        'unknown_service',
    )
)
_WAIT_CODES = frozenset(
    ('no_primary', 'stale_term', 'slots_exhausted', 'shutting_down')
)


def next_step(
    refusal: Refusal, *, access: Access, repeatable: bool
) -> RetryStep:
    """Decide what follows an attempt that failed.

    Args:
        refusal: how it failed.
        access: what the statement does.
        repeatable: whether the caller allows the statement to run again.

    Returns:
        `give_up`; `elsewhere`: at once, on another endpoint; `wait` for the
        group to change and try again, which costs an endpoint nothing; `again`
        as a retry; or `settle`: look the outcome up first, because the
        statement may have run.

    """
    if refusal.code in _FINAL_CODES:
        return 'give_up'
    if refusal.code == 'too_old':
        return 'elsewhere'
    if refusal.run == 'no':
        return 'wait' if refusal.code in _WAIT_CODES else 'again'
    if access == 'read' or repeatable:
        return 'again'
    return 'settle'


def backoff_s(attempt: int, draw: float) -> float:
    """Return how long to wait before an attempt, with full jitter.

    Args:
        attempt: number of attempts made so far, from 1.
        draw: random number in [0, 1).

    Returns:
        Seconds.

    """
    ceiling = min(MAX_DELAY_S, BASE_DELAY_S * BACKOFF_FACTOR ** (attempt - 1))
    return ceiling * (1 + draw) / 2


@dataclass(slots=True)
class RetryBudget:
    """Allows retries in proportion to requests.

    Args:
        ratio: retries earned by each request.
        max_balance: most retries that can be saved up.

    """

    ratio: float = 0.2
    max_balance: float = 50
    _balance: float = 10

    def deposit(self) -> None:
        """Note a first attempt."""
        self._balance = min(self.max_balance, self._balance + self.ratio)

    def try_withdraw(self) -> bool:
        """Take a retry.

        Returns:
            True if the budget allowed it.

        """
        if self._balance < RETRY_COST:
            return False
        self._balance -= RETRY_COST
        return True
