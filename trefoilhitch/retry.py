"""Retry policy: next step after a failure, jittered backoff, retry budget."""

from dataclasses import dataclass
from typing import Literal, TypeAlias

from trefoilhitch._generated.messages import Access, Refusal

BASE_DELAY_S = 0.02
MAX_DELAY_S = 0.5
BACKOFF_FACTOR = 2.0
MAX_DOUBLINGS = 64
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
    """Choose the next step after a failed attempt.

    Args:
        refusal: failure of the attempt.
        access: whether the statement reads or writes.
        repeatable: whether the client allows the statement to run twice.

    Returns:
        `give_up`: report the failure; `elsewhere`: try another endpoint
        immediately; `wait`: retry after the group has changed, without using
        the retry budget, since no endpoint did any work; `again`: retry within
        the budget; `settle`: look up the outcome first, because the statement
        may have run.

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
    """Return the exponential delay before the next attempt, with jitter.

    Args:
        attempt: number of attempts made so far, from 1.
        draw: random number in [0, 1).

    Returns:
        The delay in seconds, between half of the exponential delay and all
        of it.

    """
    return jittered_s(attempt - 1, BASE_DELAY_S, MAX_DELAY_S, draw)


def jittered_s(
    failures: int, first_s: float, max_s: float, draw: float
) -> float:
    """Return a delay as `exponential_s` does, with jitter.

    Args:
        failures: number of failures before the last one.
        first_s: delay after the first failure, in seconds.
        max_s: longest delay, in seconds.
        draw: random number in [0, 1).

    Returns:
        The delay in seconds, between half of the exponential delay and all
        of it.

    """
    return exponential_s(failures, first_s, max_s) * (1 + draw) / 2


def exponential_s(failures: int, first_s: float, max_s: float) -> float:
    """Return a delay that doubles with each failure up to a limit.

    Args:
        failures: number of failures before the last one.
        first_s: delay after the first failure, in seconds.
        max_s: longest delay, in seconds.

    Returns:
        The delay in seconds.

    """
    # No float holds 2 ** 1024, and a failure may last for days.
    return min(max_s, first_s * BACKOFF_FACTOR ** min(failures, MAX_DOUBLINGS))


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of the requests.

    Args:
        ratio: retries that each request adds to the balance.
        max_balance: largest balance.

    """

    ratio: float = 0.2
    max_balance: float = 50
    _balance: float = 10

    def deposit(self) -> None:
        """Add to the balance for a new request."""
        self._balance = min(self.max_balance, self._balance + self.ratio)

    def try_withdraw(self) -> bool:
        """Withdraw one retry from the balance.

        Returns:
            True if the balance was sufficient.

        """
        if self._balance < RETRY_COST:
            return False
        self._balance -= RETRY_COST
        return True
