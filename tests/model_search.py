"""Seeded searches of hypothesis state machines."""

from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    run_state_machine_as_test,
)


def search_model(
    model: type[RuleBasedStateMachine], rules: Any, *, examples: int, steps: int
) -> None:
    """Search the same plays of a model in each run.

    Args:
        model: the model; it reads its rules from the attribute `contract`.
        rules: the rules.
        examples: number of plays.
        steps: number of steps of each play.

    """
    run_state_machine_as_test(
        type('Model', (model,), {'contract': rules}),
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
