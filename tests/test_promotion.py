"""Tests of suspicion, the choice of a primary, and retries."""

import pytest
from msgspec.structs import replace

from trefoilhitch._generated.messages import Refusal
from trefoilhitch._generated.record import Sighting, Vote
from trefoilhitch.promotion import (
    SUSPICION_TIMEOUT_S,
    choose_primary,
    evaluate_suspicion,
    next_term,
)
from trefoilhitch.retry import RetryBudget, backoff_s, next_step

SILENT_MS = int(SUSPICION_TIMEOUT_S * 1000)


def _seen(
    name: str, role: str = 'replica', silent_ms: int = 0, term: int = 1
) -> Sighting:
    return Sighting(
        name=name,
        role=role,  # type: ignore[arg-type]
        term=term,
        last_term=1,
        last_position=1,
        reachable=True,
        silent_ms=silent_ms,
    )


def _unreachable(name: str) -> Sighting:
    return Sighting(
        name=name,
        role='replica',
        term=0,
        last_term=0,
        last_position=0,
        reachable=False,
        silent_ms=0,
    )


PRIMARY = _seen('p', 'primary')
SILENT_REPLICAS = [
    _seen('a', silent_ms=SILENT_MS),
    _seen('b', silent_ms=SILENT_MS),
]
CONNECTED_REPLICAS = [_seen('a'), _seen('b')]


@pytest.mark.parametrize(
    ('sightings', 'unseen_since', 'expected'),
    [
        ([PRIMARY, *CONNECTED_REPLICAS], None, (False, 'primary_seen')),
        ([_unreachable('p'), *SILENT_REPLICAS], None, (True, 'primary_lost')),
        ([PRIMARY, *SILENT_REPLICAS], None, (True, 'primary_lost')),
        (
            [_unreachable('p'), *CONNECTED_REPLICAS],
            0,
            (False, 'replicas_hear_primary'),
        ),
        (
            [_unreachable('p'), SILENT_REPLICAS[0], CONNECTED_REPLICAS[1]],
            0,
            (False, 'replicas_hear_primary'),
        ),
        ([_unreachable('p'), *CONNECTED_REPLICAS], 99, (False, 'not_yet')),
        (
            [_unreachable('p'), _unreachable('a'), SILENT_REPLICAS[1]],
            0,
            (False, 'no_majority'),
        ),
        (
            [PRIMARY, _seen('a', 'fenced', term=2), CONNECTED_REPLICAS[1]],
            0,
            (True, 'fence_unresolved'),
        ),
    ],
)
def test_only_a_lost_primary_is_replaced(
    sightings: list[Sighting],
    unseen_since: float | None,
    expected: tuple[bool, str],
) -> None:
    decided = evaluate_suspicion(
        sightings, unseen_since=unseen_since, rank=0, now=100
    )
    assert (decided.claim, decided.reason) == expected


def test_a_leaving_primary_is_replaced_if_a_replica_stays() -> None:
    leaving = replace(PRIMARY, leaving=True)
    decided = evaluate_suspicion(
        [leaving, *CONNECTED_REPLICAS], unseen_since=None, rank=0, now=1
    )
    assert (decided.claim, decided.reason) == (True, 'primary_leaving')
    all_leaving = [replace(each, leaving=True) for each in CONNECTED_REPLICAS]
    assert not evaluate_suspicion(
        [leaving, *all_leaving], unseen_since=None, rank=0, now=1
    ).claim
    assert not evaluate_suspicion(
        [leaving, *CONNECTED_REPLICAS], unseen_since=None, rank=1, now=1
    ).claim


def test_a_higher_rank_waits_longer() -> None:
    lost = [_unreachable('p'), *SILENT_REPLICAS]
    assert not evaluate_suspicion(lost, unseen_since=0, rank=1, now=1.6).claim


def _vote(name: str, last: tuple[int, int], *, accepted: bool = True) -> Vote:
    return Vote(
        name=name,
        accepted=accepted,
        term=5,
        last_term=last[0],
        last_position=last[1],
    )


@pytest.mark.parametrize(
    ('votes', 'preferred', 'expected'),
    [
        ([_vote('a', (4, 9))], '', ''),
        ([_vote('a', (4, 9)), _vote('b', (4, 9), accepted=False)], '', ''),
        ([_vote('a', (4, 9)), _vote('b', (3, 50))], '', 'a'),
        (
            [_vote('a', (4, 9)), _vote('b', (4, 10)), _vote('c', (1, 1))],
            '',
            'b',
        ),
        (
            [_vote('a', (4, 9)), _vote('b', (4, 10)), _vote('c', (4, 9))],
            'a',
            'a',
        ),
        (
            [_vote('a', (4, 9)), _vote('b', (4, 10)), _vote('c', (4, 10))],
            'a',
            'c',
        ),
        ([_vote('a', (4, 9)), _vote('b', (4, 9))], 'x', 'b'),
    ],
)
def test_the_most_advanced_of_a_majority_is_chosen(
    votes: list[Vote],
    preferred: str,
    expected: str,
) -> None:
    choice = choose_primary(votes, term=5, members=3, preferred=preferred)
    assert choice.primary == expected


def test_the_replaced_primary_is_chosen_only_if_needed() -> None:
    votes = [_vote('old', (4, 30)), _vote('b', (4, 9)), _vote('c', (4, 8))]
    without = choose_primary(votes, term=5, members=3, avoided='old')
    assert without.primary == 'b'
    needed = choose_primary(votes[:2], term=5, members=3, avoided='old')
    assert needed.primary == 'old'


def test_the_next_term_is_later_than_any_reported() -> None:
    assert next_term([_seen('a', term=4), _seen('b', term=7)]) == 8


@pytest.mark.parametrize(
    ('code', 'run', 'access', 'repeatable', 'expected'),
    [
        ('sql_rejected', 'no', 'write', False, 'give_up'),
        ('overloaded', 'no', 'read', False, 'give_up'),
        ('too_old', 'no', 'read', False, 'elsewhere'),
        ('stale_term', 'no', 'write', False, 'wait'),
        ('unreachable', 'no', 'write', False, 'again'),
        ('connection_lost', 'unknown', 'read', False, 'again'),
        ('connection_lost', 'unknown', 'write', True, 'again'),
        ('connection_lost', 'unknown', 'write', False, 'settle'),
        ('unconfirmed', 'unknown', 'write', False, 'settle'),
    ],
)
def test_a_request_that_may_have_run_is_looked_up_first(
    code: str,
    run: str,
    access: str,
    repeatable: bool,
    expected: str,
) -> None:
    refusal = Refusal(code=code, run=run)  # type: ignore[arg-type]
    step = next_step(refusal, access=access, repeatable=repeatable)  # type: ignore[arg-type]
    assert step == expected


def test_the_retry_budget_prevents_a_retry_storm() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.try_withdraw()
    assert retries <= 10 + 1000 * 0.2


def test_backoff_delays_grow_to_a_limit_with_jitter() -> None:
    assert backoff_s(1, 0) < backoff_s(1, 0.9) <= backoff_s(2, 0.9)
    assert backoff_s(50, 0.99) <= 0.5
