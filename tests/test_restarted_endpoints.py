"""Which position proves that a restarted endpoint has its log."""

import pytest

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import EndpointRegistry
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.pooler.restarted_endpoints import (
    RestartedEndpoints,
    has_its_log,
)

SERVICE = 'ledger'


def entry(started_at_ms: int) -> EndpointRecord:
    """Return an entry of the endpoint b."""
    return EndpointRecord(
        endpoint='b',
        service=SERVICE,
        address='127.0.0.1:1',
        data_centre='patan',
        started_at_ms=started_at_ms,
        leaving=False,
        role='replica',
        slots=1,
    )


def seen(number: int, sent_at: float, term: int = 1) -> PrimaryObservation:
    """Return an observation of the primary a."""
    position = LogPosition(term=term, position=number)
    return PrimaryObservation(SERVICE, 'a', term, position, sent_at)


def restarted() -> RestartedEndpoints:
    """Return the state after a restart of b."""
    state = RestartedEndpoints()
    state.compare(entry(1), entry(2))
    return state


@pytest.mark.parametrize('later', [0, 1])
def test_endpoint_without_a_later_start_counts(later: int) -> None:
    state = RestartedEndpoints()
    state.compare(entry(1), entry(later))
    assert state.needed_position('b', [seen(5, 0)]) is None


def test_observation_sent_before_the_start_was_known_proves_nothing() -> None:
    state = restarted()
    state.observe(seen(5, 1), 2)
    state.observe(seen(6, 1.5), 2.5)
    history = [seen(5, 1), seen(9, 1.5)]
    needed = state.needed_position('b', history)
    assert needed == LogPosition(term=1, position=5)
    state.observe(seen(9, 3), 3)
    state.observe(seen(20, 4), 4)
    needed = state.needed_position('b', history)
    assert needed == LogPosition(term=1, position=9)


def test_later_term_replaces_commits_that_may_be_rolled_back() -> None:
    state = restarted()
    for number, term in ((9, 1), (9, 1), (8, 2)):
        state.observe(seen(number, 3, term), 3)
    needed = state.needed_position('b', ())
    assert needed == LogPosition(term=2, position=8)


def test_empty_log_of_a_node_without_observations_is_no_proof() -> None:
    needed = restarted().needed_position('b', ())
    assert not has_its_log(LogPosition(term=3, position=0), needed)
    assert has_its_log(LogPosition(term=1, position=1), needed)


@pytest.mark.parametrize('listed_first', [True, False])
def test_restart_is_known_from_the_record_of_the_group(
    listed_first: bool,
) -> None:
    """Guards against nodes that start after the restart of an endpoint."""
    registry = EndpointRegistry()
    if listed_first:
        registry.put(entry(2))
        registry.remember(entry(1), 0)
    else:
        registry.remember(entry(1), 0)
        registry.put(entry(2))
    assert registry.restarted.needed_position('b', ()) is not None
    assert registry.restarted.first_start(entry(2)) == 1
