"""Search of promotions under fences, and of its own sensitivity.

Guards against a promotion that relies on fences which do not stand. Each
mutation breaks one rule; the search has to detect it.
"""

from dataclasses import replace

import pytest

from tests.fence_model import FenceModel, Rules
from tests.model_search import search_model
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.fence_state import FenceState
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.promotion_evidence import PromotionEvidence
from trefoilhitch.pooler.restarted_endpoints import RestartedEndpoints

STEPS = 25
EXAMPLES = 400
MUTATION_EXAMPLES = 3000


class _CountsPrimaries(FenceState):
    """Takes a primary that reports a fence for a fenced endpoint."""

    def record(self, endpoint: str, status: EndpointStatus | None) -> None:
        super().record(
            endpoint, replace(status, is_primary=False) if status else None
        )


class _CountsSilent(FenceState):
    """Takes a fence for standing whose endpoint does not answer."""

    def record_check(
        self, endpoint: str, status: EndpointStatus | None
    ) -> None:
        if status is not None:
            super().record_check(endpoint, status)
        self._unchecked.discard(endpoint)


class _ForgetsLogs(FenceState):
    """Does not notice that an endpoint has lost its log."""

    def _holds_its_log(self, endpoint: str, status: EndpointStatus) -> bool:
        return True


class _IgnoresStarts(RestartedEndpoints):
    """Counts an endpoint that has started again as a holder of its log."""

    def compare(self, known: EndpointRecord, entry: EndpointRecord) -> None:
        self._restarted.clear()


def _no_objection(*_judged: FenceState | PromotionEvidence | str) -> str:
    return ''


CORRECT_RULES = Rules()
MUTATIONS = {
    'a primary counts as fenced': replace(
        CORRECT_RULES, state=_CountsPrimaries
    ),
    'a silent endpoint counts as fenced': replace(
        CORRECT_RULES, state=_CountsSilent
    ),
    'an empty log counts as whole': replace(CORRECT_RULES, state=_ForgetsLogs),
    'a start without a log is not noticed': replace(
        CORRECT_RULES, restarted=_IgnoresStarts
    ),
    'fences are not judged': replace(CORRECT_RULES, objection=_no_objection),
    'a repeated command is not judged': replace(
        CORRECT_RULES, judges_again=False
    ),
}


def _search(rules: Rules, examples: int) -> None:
    search_model(FenceModel, rules, examples=examples, steps=STEPS)


def test_no_command_loses_an_acknowledged_commit() -> None:
    _search(CORRECT_RULES, EXAMPLES)


@pytest.mark.parametrize('name', MUTATIONS)
def test_each_mutation_is_detected(name: str) -> None:
    with pytest.raises(AssertionError):
        _search(MUTATIONS[name], MUTATION_EXAMPLES)
