"""Which endpoints count as fenced when a promotion is judged."""

from dataclasses import replace

import pytest

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.fence_state import FenceState
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.promotion_evidence import (
    PromotionEvidence,
    find_objection,
)
from trefoilhitch.position import ORIGIN

TERM = 2
FENCED = EndpointStatus(
    is_primary=False,
    term=1,
    position=LogPosition(term=1, position=5),
    fenced_term=TERM,
)
EMPTY = replace(FENCED, term=0, position=ORIGIN)
PRIMARY = replace(FENCED, is_primary=True, fenced_term=0)
MEMBERS = frozenset(('a', 'b', 'c'))


def make_state(**statuses: EndpointStatus) -> FenceState:
    """Return the state of a group led by `a` in term 1."""
    state = FenceState(term=TERM, known_term=1, primary='a')
    for endpoint, status in statuses.items():
        state.record(endpoint, status)
    return state


def names(state: FenceState) -> list[str]:
    """Return the ids of the fenced endpoints."""
    return [each.endpoint for each in state.fenced]


def objection(state: FenceState, endpoint: str) -> str | None:
    """Return what a promotion lacks."""
    evidence = PromotionEvidence(state.checked, MEMBERS, 1, state.primary)
    return find_objection(state, evidence, endpoint)


def test_primary_that_reports_a_fence_is_not_fenced() -> None:
    state = make_state(a=replace(PRIMARY, fenced_term=TERM), b=FENCED)
    assert names(state) == ['b']
    assert state.needs_demotion('a')


def test_demoted_primary_counts_without_a_fence() -> None:
    demoted = replace(FENCED, fenced_term=0)
    state = make_state(a=PRIMARY, b=FENCED)
    state.record_demotion('a', demoted)
    state.record('a', demoted)
    assert names(state) == ['a', 'b']


@pytest.mark.parametrize('returned', [PRIMARY, replace(EMPTY, fenced_term=0)])
def test_demoted_primary_that_restarted_does_not_count(
    returned: EndpointStatus,
) -> None:
    state = make_state(a=PRIMARY, b=FENCED)
    state.record_demotion('a', replace(FENCED, fenced_term=0))
    state.record('a', returned)
    assert names(state) == ['b']


def test_silent_endpoint_confirms_nothing() -> None:
    state = make_state(b=FENCED, c=FENCED)
    assert objection(state, 'b') is None
    for endpoint in state.begin_check():
        state.record_check(endpoint, FENCED if endpoint == 'b' else None)
    assert objection(state, 'b') == 'too few fences were confirmed'


def test_lifted_fence_forbids_a_promotion_until_it_is_renewed() -> None:
    state = make_state(b=FENCED, c=FENCED)
    state.record_check('c', replace(FENCED, fenced_term=0))
    assert objection(state, 'b') == 'a fence was lifted'
    state.record('c', FENCED)
    assert objection(state, 'b') is None


def test_later_promotion_lifts_fences_rightly() -> None:
    state = make_state(b=FENCED, c=FENCED)
    state.record_check('c', replace(FENCED, term=TERM, fenced_term=0))
    assert state.stands
    assert not state.needs_fence('c')


def test_endpoint_that_lost_its_log_proves_nothing() -> None:
    """Guards against lost orders that only the lost log has held."""
    state = make_state(b=FENCED, c=FENCED)
    state.record('c', EMPTY)
    assert names(state) == ['b']
    assert objection(state, 'b') == 'too few fences were confirmed'
    state.record('c', FENCED)
    assert objection(state, 'b') is None


def test_replica_behind_another_is_not_promoted() -> None:
    ahead = replace(FENCED, position=LogPosition(term=1, position=6))
    state = make_state(b=FENCED, c=ahead)
    assert objection(state, 'c') is None
    assert objection(state, 'b') == 'too few fences were confirmed'
