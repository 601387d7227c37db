"""Routing decisions, lag estimates and group states."""

import pytest

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointView, GroupChange, GroupView
from trefoilhitch._generated.record import Candidate
from trefoilhitch.group_state import GroupState
from trefoilhitch.lag import LagEstimator
from trefoilhitch.routing import RouteCriteria, choose_route


def _candidate(name: str, **fields: object) -> Candidate:
    known = {
        'role': 'replica',
        'applied_term': 1,
        'applied_position': 10,
        'reachable': True,
        'leaving': False,
        'expected': False,
        'primary_distance': 2,
        'distance': 2,
        'load': 0,
        **fields,
    }
    return Candidate(name=name, **known)  # type: ignore[arg-type]


PRIMARY = _candidate('p', role='primary', applied_position=20, distance=0)
FAR = _candidate('far')
NEAR = _candidate('near', distance=0)
FRESH_FAR = _candidate('fresh', applied_position=20)


@pytest.mark.parametrize(
    ('criteria', 'candidates', 'expected'),
    [
        (RouteCriteria('write'), [FAR, PRIMARY], ('p', 'write_to_primary')),
        (RouteCriteria('write'), [FAR], ('', 'no_primary')),
        (
            RouteCriteria('read', 'strict'),
            [NEAR, PRIMARY],
            ('p', 'strict_to_primary'),
        ),
        (
            RouteCriteria('read'),
            [FAR, NEAR, PRIMARY],
            ('near', 'fresh_replica'),
        ),
        (
            RouteCriteria('read', minimum=LogPosition(term=1, position=20)),
            [NEAR, FRESH_FAR, PRIMARY],
            ('fresh', 'fresh_replica'),
        ),
        (
            RouteCriteria('read', minimum=LogPosition(term=1, position=20)),
            [NEAR, PRIMARY],
            ('p', 'no_fresh_replica'),
        ),
        (
            RouteCriteria('read', minimum=LogPosition(term=1, position=20)),
            [
                _candidate('behind', expected=True, distance=0),
                _candidate('beside', expected=True, primary_distance=0),
                PRIMARY,
            ],
            ('beside', 'expected_replica'),
        ),
        (
            RouteCriteria('read', excluded=['near']),
            [NEAR, PRIMARY],
            ('p', 'no_fresh_replica'),
        ),
        (RouteCriteria('read', excluded=['p']), [PRIMARY], ('', 'no_primary')),
        (
            RouteCriteria('read'),
            [
                _candidate('a', leaving=True),
                _candidate('b', reachable=False),
                PRIMARY,
            ],
            ('p', 'no_fresh_replica'),
        ),
        (
            RouteCriteria('read'),
            [_candidate('busy', load=3), _candidate('free', load=1)],
            ('free', 'fresh_replica'),
        ),
    ],
)
def test_the_best_endpoint_is_chosen(
    criteria: RouteCriteria,
    candidates: list[Candidate],
    expected: tuple[str, str],
) -> None:
    route = choose_route(criteria, candidates, 0.5)
    assert (route.endpoint, route.reason) == expected


def test_the_draw_breaks_ties() -> None:
    tied = [_candidate('a'), _candidate('b')]
    chosen = {
        choose_route(RouteCriteria('read'), tied, draw).endpoint
        for draw in (0, 0.9)
    }
    assert chosen == {'a', 'b'}


def test_lag_is_estimated_from_positions_of_the_primary() -> None:
    lags = LagEstimator()
    lags.add_sample(1, LogPosition(term=1, position=10))
    lags.add_sample(2, LogPosition(term=1, position=20))
    assert lags.lag_s(LogPosition(term=1, position=20), 2.5) == 0.5
    assert lags.lag_s(LogPosition(term=1, position=15), 2.5) == 1.5
    assert lags.lag_s(LogPosition(term=1, position=9), 2.5) is None
    assert lags.lag_s(LogPosition(term=2, position=1), 2.5) == 0.5


def _view(term: int, proved: int, age_ms: int | None) -> GroupView:
    return GroupView(
        service='orders',
        term=term,
        primary='p',
        proved_term=term,
        proved_position=proved,
        proved_age_ms=age_ms,
        endpoints=[
            EndpointView(
                name='r',
                role='replica',
                term=term,
                applied_term=1,
                applied_position=5,
                reachable=True,
            ),
        ],
    )


def test_maximum_age_needs_a_proof() -> None:
    state = GroupState()
    state.apply_view(_view(1, 10, 500), sent_at=10, expires_at=11)
    state.apply_view(_view(1, 20, 500), sent_at=12, expires_at=13)
    assert state.minimum_position_since(9) == LogPosition(term=1, position=10)
    assert state.minimum_position_since(10) == LogPosition(term=1, position=20)
    assert state.minimum_position_since(12) is None
    state.apply_view(_view(1, 99, None), sent_at=20, expires_at=21)
    assert state.minimum_position_since(19) is None


def test_view_of_an_older_term_is_ignored() -> None:
    state = GroupState()
    state.apply_view(_view(3, 10, 1), sent_at=1, expires_at=2)
    state.apply_view(_view(2, 99, 1), sent_at=2, expires_at=3)
    assert state.term == 3
    assert not state.replace_primary(
        GroupChange(service='orders', term=3, primary='r')
    )
    assert state.replace_primary(
        GroupChange(service='orders', term=4, primary='r')
    )
    assert (state.term, state.primary) == (4, 'r')
