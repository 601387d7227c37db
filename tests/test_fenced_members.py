"""Exhaustive check of which fenced endpoints hold every acknowledged commit."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import combinations

import pytest

from trefoilhitch.pooler.failover_decision import MIN_FENCED, holds_every_commit

MAX_MEMBERS = 5
Rule = Callable[[set[str], str | None, set[str], int], bool]


@dataclass(frozen=True)
class Case:
    """A group, one commit that it acknowledged, and what was fenced.

    Args:
        members: all endpoints.
        leads: the primary.
        sync_replicas: replicas that held the commit when it was acknowledged.
        holders: endpoints that hold it.
        fenced: endpoints that were fenced.

    """

    members: set[str]
    leads: str
    sync_replicas: int
    holders: set[str]
    fenced: set[str]


def subsets(members: set[str]) -> Iterator[set[str]]:
    """Return all subsets."""
    for size in range(len(members) + 1):
        for chosen in combinations(sorted(members), size):
            yield set(chosen)


def cases() -> Iterator[Case]:
    """Return all cases of small groups; which endpoint leads is no matter."""
    for size in range(2, MAX_MEMBERS + 1):
        members = set('abcde'[:size])
        for sync_replicas in range(1, size):
            for replicas in combinations(
                sorted(members - {'a'}), sync_replicas
            ):
                for fenced in subsets(members):
                    holders = {'a', *replicas}
                    yield Case(members, 'a', sync_replicas, holders, fenced)


def loses_a_commit(rule: Rule, case: Case, known: str | None) -> bool:
    """Return whether a rule accepts fences that may lose a commit.

    Either no fenced endpoint holds the commit, or the primary and enough
    replicas are not fenced, so that they acknowledge further ones.
    """
    if not rule(case.fenced, known, case.members, case.sync_replicas):
        return False
    unfenced = case.members - case.fenced
    goes_on = case.leads in unfenced and len(unfenced) > case.sync_replicas
    return goes_on or not case.fenced & case.holders


@pytest.mark.parametrize('known', ['a', None])
def test_no_acknowledged_commit_is_outside_the_fence(known: str | None) -> None:
    assert not any(
        loses_a_commit(holds_every_commit, case, known) for case in cases()
    )


@pytest.mark.parametrize('known', ['a', None])
def test_fence_suffices_if_no_more_are_missing_than_hold_a_commit(
    known: str | None,
) -> None:
    for case in cases():
        missing = case.members - case.fenced
        if (
            len(missing) <= case.sync_replicas
            and len(case.fenced) >= MIN_FENCED
        ):
            assert holds_every_commit(
                case.fenced, known, case.members, case.sync_replicas
            )


def _counts_one_too_few(
    fenced: set[str],
    primary: str | None,
    members: set[str],
    sync_replicas: int,
) -> bool:
    return holds_every_commit(fenced, primary, members, sync_replicas + 1)


def _forgets_the_missing(
    fenced: set[str],
    primary: str | None,
    members: set[str],
    sync_replicas: int,
) -> bool:
    return holds_every_commit(fenced, primary, fenced, sync_replicas)


@pytest.mark.parametrize('known', ['a', None])
@pytest.mark.parametrize('rule', [_counts_one_too_few, _forgets_the_missing])
def test_wrong_rule_is_detected(rule: Rule, known: str | None) -> None:
    assert any(loses_a_commit(rule, case, known) for case in cases())
