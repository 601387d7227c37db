"""Where attempts at reads go: past unreachable and spent endpoints."""

import pytest
from trio import current_time, sleep

from tests.support import with_virtual_clock
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.circuit_breakers import (
    TRIAL_INTERVAL_S,
    TRIAL_TIMEOUT_S,
    CircuitBreakers,
)
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.retrying.read_target_finder import (
    ReadTargetFinder,
    RetryBudgetError,
)
from trefoilhitch.pooler.retrying.retry_policy import (
    BudgetedBackoff,
    FixedPause,
    RetryPolicy,
)
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_run import StatementRun

SERVICE = 'ledger'
REGIONS = {'a': 'east', 'b': 'west', 'c': 'south'}


def make_cluster() -> ClusterState:
    """Return a cluster whose primary 'a' has just been proved."""
    cluster = ClusterState(
        selector=EndpointSelector(data_centre='b', regions=REGIONS),
        log=NullLog(),
        clock=current_time,
        draw=lambda: 0.5,
        breakers=CircuitBreakers(TRIAL_TIMEOUT_S),
    )
    records = {
        name: EndpointRecord(
            name, SERVICE, '127.0.0.1:1', name, 1, False, 'replica', 4
        )
        for name in REGIONS
    }
    cluster.endpoints.replace_all(records, current_time())
    cluster.record_proof(
        Primary(SERVICE, 'a', 1),
        LogPosition(term=1, position=1),
        current_time(),
        'test',
    )
    return cluster


def make_run(
    freshness: Freshness = Freshness.BOUNDED_STALENESS,
) -> StatementRun:
    """Return a read before its first attempt."""
    max_age_s = 0 if freshness == Freshness.LATEST else 1.5
    return StatementRun.from_statement(
        SessionData('stock', 'himal', 'key'),
        Statement('r1', Verb.READ, 'READ x'),
        Route('stock', SERVICE, freshness, max_age_s, 1, 1),
    )


def chosen(finder: ReadTargetFinder, run: StatementRun) -> str:
    """Return the endpoint that a read is sent to."""
    target = finder.choose(run)
    assert target is not None
    return target.endpoint


def make_policy() -> BudgetedBackoff:
    """Return budgets of which nothing is spent."""
    return BudgetedBackoff(lambda: 0.5)


@pytest.mark.parametrize(
    ('policy', 'second'), [(make_policy(), 'ac'), (FixedPause(), 'b')]
)
def test_read_passes_over_an_endpoint_that_another_one_tries(
    policy: RetryPolicy, second: str
) -> None:
    """Without the part, it chose the endpoint too and waited for it."""

    @with_virtual_clock
    async def scenario() -> None:
        cluster = make_cluster()
        finder = ReadTargetFinder(cluster, policy)
        for _ in range(2):
            cluster.breakers.record_failure('b', current_time())
        await sleep(TRIAL_INTERVAL_S)
        assert chosen(finder, make_run()) == 'b'
        assert cluster.breakers.may_attempt('b', current_time())
        assert chosen(finder, make_run()) in second

    scenario()


def spend(policy: RetryPolicy, *endpoints: str) -> None:
    """Use up the budgets of endpoints."""
    for endpoint in endpoints:
        for _ in range(10):
            policy.record_sent(endpoint, current_time(), is_retry=True)


@with_virtual_clock
async def test_retry_goes_where_a_budget_is_left() -> None:
    policy = make_policy()
    finder = ReadTargetFinder(make_cluster(), policy)
    run = make_run()
    run.is_retry = True
    run.failed_endpoints.add('b')
    spend(policy, 'a')
    assert chosen(finder, run) == 'c'
    assert finder.has_other(run)
    spend(policy, 'c')
    with pytest.raises(RetryBudgetError):
        finder.choose(run)


@with_virtual_clock
async def test_first_attempts_need_no_budget() -> None:
    policy = make_policy()
    finder = ReadTargetFinder(make_cluster(), policy)
    spend(policy, *REGIONS)
    assert chosen(finder, make_run()) == 'b'


@with_virtual_clock
async def test_read_of_the_latest_data_needs_no_budget() -> None:
    """It has no substitute for the primary."""
    policy = make_policy()
    finder = ReadTargetFinder(make_cluster(), policy)
    run = make_run(Freshness.LATEST)
    run.is_retry = True
    run.failed_endpoints.add('a')
    spend(policy, *REGIONS)
    assert chosen(finder, run) == 'a'
    assert not finder.has_other(run)
