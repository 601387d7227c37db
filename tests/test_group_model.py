"""Model check of failovers by nodes that forget, and of its sensitivity."""

from dataclasses import replace
from typing import Any

import pytest

from tests.group_model import GroupModel, Rules
from tests.model_search import search_model
from trefoilhitch.pooler.failover_decision import (
    FencedEndpoint,
    choose_promotion,
)

STEPS = 30
EXAMPLES = 300
MUTATION_EXAMPLES = 1500


def _with_fenced_members(
    fenced: list[FencedEndpoint],
    members: list[str],
    sync_replicas: int,
    **inputs: Any,
) -> FencedEndpoint | None:
    names = [each.endpoint for each in fenced]
    return choose_promotion(fenced, names, sync_replicas, **inputs)


CORRECT_RULES = Rules()
MUTATIONS = {
    'knows the listed members only': replace(
        CORRECT_RULES,
        reads_record=False,
        waits_for_entries=False,
    ),
    'waits for no entries': replace(CORRECT_RULES, waits_for_entries=False),
    'reads no record': replace(CORRECT_RULES, reads_record=False),
    'records what it lists at once': replace(
        CORRECT_RULES, records_settled_only=False
    ),
    'forgets what was recorded': replace(CORRECT_RULES, merges_record=False),
    'counts the fenced members only': replace(
        CORRECT_RULES, choose=_with_fenced_members
    ),
}


def _check(rules: Rules, examples: int) -> None:
    search_model(GroupModel, rules, examples=examples, steps=STEPS)


def test_no_restart_or_outage_loses_a_commit() -> None:
    """Guards against lost commits: nodes that have restarted forget members."""
    _check(CORRECT_RULES, EXAMPLES)


@pytest.mark.parametrize('name', MUTATIONS)
def test_each_mutation_is_detected(name: str) -> None:
    with pytest.raises(AssertionError):
        _check(MUTATIONS[name], MUTATION_EXAMPLES)
