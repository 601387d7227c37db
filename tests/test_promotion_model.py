"""Model check of promotion and acknowledgement, and of its own sensitivity.

Each mutation breaks one rule of the model; the check has to detect it.
"""

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.model_search import search_model
from tests.promotion_model import PromotionModel, Rules
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.record import Vote
from trefoilhitch.position import majority_position
from trefoilhitch.promotion import Choice, choose_primary

STEPS = 60
MUTATION_EXAMPLES = 1500


def _least_advanced(votes: list[Vote], **inputs: Any) -> Choice:
    choice = choose_primary(votes, **inputs)
    if not choice.primary:
        return choice
    accepted = [vote for vote in votes if vote.accepted]
    least = min(accepted, key=lambda vote: (vote.last_term, vote.last_position))
    return Choice(least.name, 'most_advanced')


def _longest_log(votes: list[Vote], **inputs: Any) -> Choice:
    choice = choose_primary(votes, **inputs)
    if not choice.primary:
        return choice
    accepted = [vote for vote in votes if vote.accepted]
    longest = max(accepted, key=lambda vote: vote.last_position)
    return Choice(longest.name, 'most_advanced')


def _without_majority(votes: list[Vote], **inputs: Any) -> Choice:
    return choose_primary(votes, term=inputs['term'], members=1)


def _position_of_any_member(members: int, held: list[int]) -> int | None:
    return max(held) if members else majority_position(members, held)


def _positions_only(reached: LogPosition, needed: LogPosition) -> bool:
    return reached.position >= needed.position


CORRECT_RULES = Rules()
MUTATIONS = {
    'chooses the least advanced': replace(
        CORRECT_RULES, choose=_least_advanced
    ),
    'chooses the longest log of any term': replace(
        CORRECT_RULES, choose=_longest_log
    ),
    'promotes without a majority': replace(
        CORRECT_RULES, choose=_without_majority
    ),
    'acknowledges without a majority': replace(
        CORRECT_RULES, confirmed=_position_of_any_member
    ),
    'compares positions without terms': replace(
        CORRECT_RULES, covers=_positions_only
    ),
    'accepts two claimants in one term': replace(
        CORRECT_RULES, one_claimant=False
    ),
    'chooses a primary twice in one term': replace(
        CORRECT_RULES, chooses_once=False
    ),
    'accepts entries from a primary of an older term': replace(
        CORRECT_RULES, refuses_older_terms=False
    ),
    'retries a request without an outcome record': replace(
        CORRECT_RULES,
        records_outcomes=False,
        looks_up_first=False,
    ),
}


def _model(rules: Rules) -> type[PromotionModel]:
    return type('Model', (PromotionModel,), {'contract': rules})


def test_no_interleaving_violates_an_invariant() -> None:
    run_state_machine_as_test(
        _model(CORRECT_RULES),
        settings=settings(
            settings.default,
            stateful_step_count=STEPS,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize('name', MUTATIONS)
def test_each_mutation_is_detected(name: str) -> None:
    with pytest.raises(AssertionError):
        search_model(
            PromotionModel,
            MUTATIONS[name],
            examples=MUTATION_EXAMPLES,
            steps=STEPS,
        )
