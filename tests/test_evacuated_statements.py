"""Statements for evacuated endpoints, on the node that would send them."""

from collections.abc import Callable
from typing import Any, cast

import pytest
from trio import current_time, move_on_after

from tests.support import with_virtual_clock
from tests.test_leaving_endpoints import READY
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_selection import (
    EndpointSelector,
    ReadRequirements,
)
from trefoilhitch.pooler.evacuation.enforcer import (
    ENFORCE_INTERVAL_S,
    EvacuationEnforcer,
)
from trefoilhitch.pooler.evacuation.evacuations import Evacuations
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import Refusal, SessionState
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    PassThroughScheduler,
)
from trefoilhitch.pooler.session import OpenTransaction, SessionData
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    LocalExecutor,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import StatementRequest
from trefoilhitch.pooler.transaction_runner import TransactionRunner

BOUND_S = 5.0
ENDPOINT = READY.endpoint
READ = Statement('q1', Verb.READ, 'READ row')
ROUTE = Route(
    database='orders',
    service='ledger',
    freshness=Freshness.LATEST,
    max_age_s=0,
    timeout_s=1,
    target_latency_s=1,
    public=False,
)


def cluster_state(*evacuated: str) -> ClusterState:
    """Return the state of a node that listed some evacuations."""
    cluster = ClusterState(
        selector=EndpointSelector(data_centre='patan', regions={}),
        log=NullLog(),
        clock=current_time,
        evacuation_timeout_s=BOUND_S,
    )
    cluster.endpoints.put(READY)
    cluster.record_primary(Primary('ledger', ENDPOINT, 1), 'test')
    data_centres = cluster.evacuated.data_centres
    data_centres.replace_all(evacuated, 1, 1, current_time())
    return cluster


class Parts:
    """Pool, runner, admission and connection that count what reaches them."""

    endpoint = ENDPOINT

    def __init__(self, while_waiting: Callable[[], None]) -> None:
        """Set what happens while a statement waits for a connection."""
        self.while_waiting = while_waiting
        self.calls: list[str] = []

    async def admit(self, *_: object) -> bool:
        """Spend a token."""
        self.calls.append('admit')
        return True

    async def acquire(self, *_: object) -> Any:
        """Return a connection."""
        self.while_waiting()
        self.calls.append('acquire')
        return cast('Any', self)

    def release(self, *_: object) -> None:
        """Take a connection back."""
        self.calls.append('release')

    async def run(self, *_: object) -> Any:
        """Send a statement."""
        self.calls.append('run')
        raise AssertionError('a statement was sent')

    def discard(self) -> None:
        """Close the connection."""
        self.calls.append('discard')

    @property
    def variables(self) -> dict[str, str]:
        """No variables are set."""
        return {}


async def start_statement(cluster: ClusterState, parts: Parts) -> None:
    """Start a statement, as an entry or a gateway does."""
    executor = LocalExecutor(
        pool=cast('Any', parts),
        runner=cast('Any', parts),
        admission=cast('Any', parts),
        scheduler=PassThroughScheduler(),
        loads=LoadObserver(
            cluster.loads, cluster.selector, cluster.find, cluster.positions
        ),
        has_left=lambda endpoint: False,
        evacuated=cluster.evacuated,
    )
    job = StatementJob(
        endpoint=ENDPOINT,
        organisation='himal',
        variables={},
        request=StatementRequest(READ, None),
        deadline=current_time() + 1,
        keeps_connection=False,
        is_admitted=False,
        on_admitted=lambda: None,
    )
    await executor.start(job)


@with_virtual_clock
async def test_gateway_sends_what_an_entry_did_not_know_to_be_evacuated() -> (
    None
):
    """Guards against a sent statement, and against a token spent for it."""
    parts = Parts(lambda: None)
    with pytest.raises(ConnectionNotOpenedError) as caught:
        await start_statement(cluster_state('patan'), parts)
    assert caught.value.overloaded
    assert not parts.calls


@with_virtual_clock
async def test_statement_that_waited_is_sent_after_all() -> None:
    """Guards against an evacuation that begins during a long wait."""
    cluster = cluster_state()
    data_centres = cluster.evacuated.data_centres

    def learn() -> None:
        data_centres.apply_changes(['patan'], [], 2, current_time() - BOUND_S)

    parts = Parts(learn)
    with pytest.raises(ConnectionNotOpenedError):
        await start_statement(cluster, parts)
    assert parts.calls == ['admit', 'acquire', 'release']


class Pool:
    """Records for which endpoints waits end and connections are closed."""

    def __init__(self) -> None:
        """Start without calls."""
        self.calls: list[tuple[str, str]] = []

    def reject_waiters(self, endpoint: str) -> None:
        """End all waits for a connection."""
        self.calls.append(('reject', endpoint))

    def close_idle(self, endpoint: str) -> None:
        """Close idle connections."""
        self.calls.append(('close', endpoint))


@with_virtual_clock
async def test_waits_and_connections_outlast_an_evacuation() -> None:
    """Guards against them, and against a node that seems to be suspended."""
    cluster = cluster_state('patan')
    cluster.endpoints.declare_services(['ledger'])
    pool = Pool()
    enforcer = EvacuationEnforcer(
        evacuations=Evacuations(
            data_centres=cluster.evacuated.data_centres,
            clock=current_time,
            notify_change=cluster.notify_change,
            log=NullLog(),
            metrics=Metrics(),
        ),
        cluster=cluster,
        pool=cast('Any', pool),
        reject_waiters=pool.reject_waiters,
        end_transactions=lambda: None,
    )
    with move_on_after(20 * ENFORCE_INTERVAL_S + 0.01):
        await enforcer.run()
    assert pool.calls == [('reject', ENDPOINT), ('close', ENDPOINT)]
    assert not cluster.evacuated.must_delay_statements
    suspension = cluster.evacuated.data_centres.suspension
    assert suspension.must_delay_statements(current_time() + BOUND_S)


@pytest.mark.parametrize('evacuated', [True, False])
def test_evacuated_primary_is_no_target(*, evacuated: bool) -> None:
    @with_virtual_clock
    async def play() -> None:
        cluster = cluster_state(*(['patan'] if evacuated else []))
        requirements = ReadRequirements(ROUTE, current_time(), None)
        begun = cluster.choose_begin_target(requirements)
        read = cluster.choose_read_target(requirements, current_time(), ())
        assert (begun is None) == (read is None) == evacuated
        # The hand-over still knows it.
        assert cluster.primary('ledger') == ENDPOINT

    play()


@with_virtual_clock
async def test_entry_goes_on_with_a_transaction_at_an_uninformed_gateway() -> (
    None
):
    """Guards against statements through a gateway that has not heard of it."""
    conn = Parts(lambda: None)
    runner = TransactionRunner(
        cluster=cluster_state('patan'),
        statements=cast('Any', None),
        prover=cast('Any', None),
        log=NullLog(),
    )
    session = SessionData('orders', 'himal', 'key')
    session.transaction = OpenTransaction(cast('Any', conn), ROUTE)
    response = await runner.run(session, READ)
    assert response.refusal == Refusal.ABORTED
    assert response.state == SessionState.FAILED
    assert conn.calls == ['discard']
