"""Retries: pauses, budgets and one trial at a time, without a network."""

from dataclasses import dataclass
from random import Random

import pytest

from trefoilhitch.pooler.circuit_breakers import (
    TRIAL_INTERVAL_S,
    TRIAL_TIMEOUT_S,
    CircuitBreakers,
)
from trefoilhitch.pooler.retrying.backoff import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    pause_s,
)
from trefoilhitch.pooler.retrying.retry_budget import RetryBudgets
from trefoilhitch.pooler.retrying.retry_policy import (
    BudgetedBackoff,
    FixedPause,
    RetryPolicy,
)

ENDPOINT = 'ledger-0'
MAX_ATTEMPTS = 8
STEP_S = 0.01
# Statements that the endpoint runs in a step.
CAPACITY = 4.0
# Work of refusing a statement, as a part of the work of running one.
REFUSAL_WORK = 0.25


def test_pauses_double_up_to_a_limit() -> None:
    longest = [pause_s(number, 1) for number in range(6)]
    assert longest[:3] == [FIRST_PAUSE_S, FIRST_PAUSE_S * 2, FIRST_PAUSE_S * 4]
    assert longest[-1] == MAX_PAUSE_S
    shortest = [pause_s(number, 0) for number in range(6)]
    assert shortest == [longest_s / 2 for longest_s in longest]


def test_statements_refused_together_do_not_return_together() -> None:
    random = Random(1)
    pauses = sorted(pause_s(2, random.random()) for _ in range(100))
    assert pauses[-1] - pauses[0] > FIRST_PAUSE_S
    assert len(set(pauses)) == 100


def test_retries_are_at_most_a_fifth_of_the_statements() -> None:
    budgets = RetryBudgets()
    retries = 0
    for _ in range(500):
        budgets.record_sent(ENDPOINT, 1, is_retry=False)
        for _ in range(3):
            if budgets.may_retry(ENDPOINT, 1):
                budgets.record_sent(ENDPOINT, 1, is_retry=True)
                retries += 1
    assert retries == pytest.approx((500 + retries) / 5, abs=1)


def test_ten_retries_are_allowed_at_least_at_each_endpoint() -> None:
    budgets = RetryBudgets()
    for endpoint in ('a', 'b'):
        sent = 0
        while budgets.may_retry(endpoint, 1):
            budgets.record_sent(endpoint, 1, is_retry=True)
            sent += 1
        assert sent == 10


def test_spent_budget_is_available_again_later() -> None:
    budgets = RetryBudgets()
    for _ in range(10):
        budgets.record_sent(ENDPOINT, 4, is_retry=True)
    assert not budgets.may_retry(ENDPOINT, 9.9)
    assert budgets.may_retry(ENDPOINT, 10)
    assert budgets.may_retry(ENDPOINT, 100)


# A retry storm


@dataclass(slots=True)
class _Statement:
    due_at: float
    arrived_at: float
    attempts: int = 0


@dataclass(slots=True)
class _Storm:
    """Statements for one endpoint, which has no substitute.

    The endpoint refuses what it cannot run at once, and refusing costs work.
    """

    policy: RetryPolicy
    random: Random
    waiting: list[_Statement]
    served: list[float]
    refused: list[float]
    sent: int = 0

    def step(self, now: float, arriving: int) -> None:
        """Let statements arrive, and the endpoint run what it can."""
        self.waiting += [_Statement(now, now) for _ in range(arriving)]
        due = [each for each in self.waiting if each.due_at <= now]
        self.random.shuffle(due)
        sent = [each for each in due if self._is_sent(each, now)]
        work_left = CAPACITY - len(sent) * REFUSAL_WORK
        runs = max(0, int(work_left / (1 - REFUSAL_WORK)))
        for statement in sent[:runs]:
            self.served.append(statement.arrived_at)
            self.waiting.remove(statement)
        for statement in sent[runs:]:
            self._repeat(statement, now)

    def _is_sent(self, statement: _Statement, now: float) -> bool:
        is_retry = statement.attempts > 0
        if is_retry and self.policy.without_budget({ENDPOINT}, now):
            self._refuse(statement)
            return False
        statement.attempts += 1
        self.sent += 1
        self.policy.record_sent(ENDPOINT, now, is_retry=is_retry)
        return True

    def _repeat(self, statement: _Statement, now: float) -> None:
        if statement.attempts == MAX_ATTEMPTS:
            self._refuse(statement)
        else:
            statement.due_at = now + self.policy.pause_s(statement.attempts - 1)

    def _refuse(self, statement: _Statement) -> None:
        self.refused.append(statement.arrived_at)
        self.waiting.remove(statement)


def play_storm(policy: RetryPolicy, seed: int) -> _Storm:
    """Run 0.75 of the capacity, and five times it from 2 s to 4 s."""
    storm = _Storm(policy, Random(seed), [], [], [])
    for step in range(1200):
        now = step * STEP_S
        storm.step(now, 20 if 200 <= step < 400 else 3)
    return storm


def served_part(storm: _Storm, since: float) -> float:
    """Return the part of the statements served that arrived after a time."""
    served = sum(each >= since for each in storm.served)
    refused = sum(each >= since for each in storm.refused)
    return served / (served + refused)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_retry_storm_ends_with_the_overload(seed: int) -> None:
    """With a fixed pause, the retries keep the endpoint overloaded for good.

    Statements that arrive two seconds after the overload are counted.
    """
    fixed = play_storm(FixedPause(), seed)
    budgeted = play_storm(BudgetedBackoff(Random(seed).random), seed)
    assert served_part(fixed, 6) < 0.8
    assert served_part(budgeted, 6) > 0.99
    arrived = 200 * 20 + 1000 * 3
    assert fixed.sent > 4 * arrived
    assert budgeted.sent <= arrived * 1.25 + 10


# One trial at a time


def open_breaker(breakers: CircuitBreakers) -> None:
    """Record as many failures as open the breaker, at time 0."""
    breakers.record_failure(ENDPOINT, 0)
    assert breakers.record_failure(ENDPOINT, 0)


def test_concurrent_statements_do_not_all_try_an_unreachable_endpoint() -> None:
    """While the outcome of a trial is open, no other statement tries."""
    breakers = CircuitBreakers(TRIAL_TIMEOUT_S)
    open_breaker(breakers)
    moments = [TRIAL_INTERVAL_S + number / 100 for number in range(100)]
    trials = [each for each in moments if breakers.may_attempt(ENDPOINT, each)]
    assert trials == [TRIAL_INTERVAL_S]
    assert breakers.may_attempt(ENDPOINT, TRIAL_INTERVAL_S + TRIAL_TIMEOUT_S)


def test_former_breaker_let_trials_overlap() -> None:
    """A trial takes up to 0.7 s, and another one began every 0.4 s."""
    breakers = CircuitBreakers()
    open_breaker(breakers)
    moments = [TRIAL_INTERVAL_S + number / 100 for number in range(100)]
    assert sum(breakers.may_attempt(ENDPOINT, each) for each in moments) == 3


def test_failed_trial_allows_the_next_after_the_interval() -> None:
    breakers = CircuitBreakers(TRIAL_TIMEOUT_S)
    open_breaker(breakers)
    assert breakers.may_attempt(ENDPOINT, 0.5)
    breakers.record_failure(ENDPOINT, 0.6)
    assert not breakers.may_attempt(ENDPOINT, 0.9)
    assert breakers.may_attempt(ENDPOINT, 0.6 + TRIAL_INTERVAL_S)


def test_looking_at_a_breaker_starts_no_trial() -> None:
    breakers = CircuitBreakers(TRIAL_TIMEOUT_S)
    assert not breakers.is_blocked(ENDPOINT, 0)
    open_breaker(breakers)
    assert breakers.is_blocked(ENDPOINT, 0.3)
    assert not breakers.is_blocked(ENDPOINT, TRIAL_INTERVAL_S)
    assert breakers.may_attempt(ENDPOINT, TRIAL_INTERVAL_S)
    assert breakers.is_blocked(ENDPOINT, TRIAL_INTERVAL_S)
    breakers.record_success(ENDPOINT)
    assert not breakers.is_blocked(ENDPOINT, TRIAL_INTERVAL_S)
