"""Model check of promotion and acknowledgement, and proof that it can fail."""

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.promotion_model import PromotionModel, Rules
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.record import Vote
from trefoilhitch.position import majority_position
from trefoilhitch.promotion import Choice, choose_primary

STEPS = 60
MUTATION_EXAMPLES = 1500


def _least_advanced(votes: list[Vote], **known: Any) -> Choice:
    choice = choose_primary(votes, **known)
    if not choice.primary:
        return choice
    taken = [vote for vote in votes if vote.accepted]
    least = min(taken, key=lambda vote: (vote.last_term, vote.last_position))
    return Choice(least.name, 'most_advanced')


def _longest_log(votes: list[Vote], **known: Any) -> Choice:
    choice = choose_primary(votes, **known)
    if not choice.primary:
        return choice
    taken = [vote for vote in votes if vote.accepted]
    longest = max(taken, key=lambda vote: vote.last_position)
    return Choice(longest.name, 'most_advanced')


def _any_vote(votes: list[Vote], **known: Any) -> Choice:
    return choose_primary(votes, term=known['term'], members=1)


def _anyone_holds(members: int, held: list[int]) -> int | None:
    return max(held) if members else majority_position(members, held)


def _positions_only(reached: LogPosition, needed: LogPosition) -> bool:
    return reached.position >= needed.position


GOOD = Rules()
MUTATIONS = {
    'chooses the least advanced': replace(GOOD, choose=_least_advanced),
    'chooses the longest log of any term': replace(GOOD, choose=_longest_log),
    'promotes without a majority': replace(GOOD, choose=_any_vote),
    'acknowledges without a majority': replace(GOOD, confirmed=_anyone_holds),
    'compares positions without terms': replace(GOOD, covers=_positions_only),
    'takes a term for two claimants': replace(GOOD, one_claimant=False),
    'decides a term twice': replace(GOOD, decides_once=False),
    'follows an older primary': replace(GOOD, refuses_older_terms=False),
    'repeats without a record': replace(
        GOOD,
        records_outcomes=False,
        settles_first=False,
    ),
}


def _model(rules: Rules) -> type[PromotionModel]:
    return type('Model', (PromotionModel,), {'contract': rules})


def test_no_interleaving_breaks_a_promise() -> None:
    run_state_machine_as_test(
        _model(GOOD),
        settings=settings(
            settings.default,
            stateful_step_count=STEPS,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize('name', MUTATIONS)
def test_each_broken_rule_is_caught(name: str) -> None:
    searching = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=MUTATION_EXAMPLES,
        stateful_step_count=STEPS,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(_model(MUTATIONS[name]), settings=searching)
