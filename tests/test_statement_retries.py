"""When a node repeats a statement: endpoints in turn, then growing pauses."""

import pytest
from trio import current_time

from tests.support import run_virtual
from tests.test_read_target_finder import (
    make_cluster,
    make_policy,
    make_run,
    spend,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.catalogue import Freshness
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_failures import EndpointFailures
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.pooler.retrying.backoff import FIRST_PAUSE_S
from trefoilhitch.pooler.retrying.retry_policy import FixedPause, RetryPolicy
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    GatewayUnavailableError,
    PrimaryUnconfirmedError,
)
from trefoilhitch.pooler.statement_run import StatementRun
from trefoilhitch.pooler.statement_runner import StatementRunner

OVERLOADED = ConnectionNotOpenedError('too many wait', overloaded=True)
FAILURES = (
    ConnectionNotOpenedError('connlimit', refused=True),
    GatewayUnavailableError('no gateway'),
)


class FailingSender:
    """Fails to send each statement.

    Args:
        failure: the failure.

    """

    def __init__(self, failure: Exception) -> None:
        """Start without attempts."""
        self.attempts: list[tuple[str, float]] = []
        self._failure = failure

    async def send(
        self, run: StatementRun, target: Target, *, keeps_connection: bool
    ) -> None:
        """Record an attempt, and fail."""
        self.attempts.append((target.endpoint, current_time()))
        raise self._failure


class SpendingSender(FailingSender):
    """Fails, and uses up all budgets, so that no read is repeated.

    Args:
        failure: the failure.
        policy: has the budgets.

    """

    def __init__(self, failure: Exception, policy: RetryPolicy) -> None:
        """Start without attempts."""
        super().__init__(failure)
        self._policy = policy

    async def send(
        self, run: StatementRun, target: Target, *, keeps_connection: bool
    ) -> None:
        """Use up the budgets, and fail."""
        spend(self._policy, 'a', 'b', 'c')
        await super().send(run, target, keeps_connection=keeps_connection)


class KnownProofs:
    """Has all proofs."""

    async def ensure_recent(self, service: str, not_before: float) -> None:
        """Fetch nothing."""


def make_runner(
    cluster: ClusterState, sender: FailingSender, policy: RetryPolicy
) -> StatementRunner:
    """Return a runner whose statements all fail."""
    loads = LoadObserver(
        cluster.loads, cluster.selector, cluster.find, cluster.positions
    )
    metrics = Metrics()
    return StatementRunner(
        cluster=cluster,
        sender=sender,  # type: ignore[arg-type]
        prover=None,  # type: ignore[arg-type]
        proofs=KnownProofs(),  # type: ignore[arg-type]
        failures=EndpointFailures(
            cluster=cluster,
            loads=loads,
            reject_waiters=lambda _endpoint: None,
            log=NullLog(),
            metrics=metrics,
        ),
        retries=policy,
        log=NullLog(),
        metrics=metrics,
    )


def play(
    failure: Exception, policy: RetryPolicy
) -> tuple[Response, list[tuple[str, float]], float]:
    """Run a read that fails; return response, attempts and time taken."""
    sender = FailingSender(failure)

    async def scenario() -> tuple[Response, float]:
        runner = make_runner(make_cluster(), sender, policy)
        started_at = current_time()
        response = await runner.run(make_run())
        return response, current_time() - started_at

    response, took_s = run_virtual(scenario)
    return response, sender.attempts, took_s


@pytest.mark.parametrize('failure', FAILURES)
def test_read_tries_all_endpoints_before_it_pauses(failure: Exception) -> None:
    """An endpoint that failed is not tried again while another one is left."""
    response, attempts, took_s = play(failure, make_policy())
    assert response.refusal == Refusal.BUSY
    assert {endpoint for endpoint, _ in attempts[:3]} == {'a', 'b', 'c'}
    assert attempts[0][1] == attempts[2][1]
    moments = [moment for _, moment in attempts[2:]]
    pauses = [
        later - earlier
        for earlier, later in zip(moments, moments[1:], strict=False)
    ]
    assert pauses[0] >= FIRST_PAUSE_S / 2
    assert pauses == sorted(pauses)
    assert pauses[2] > 3 * pauses[0]
    assert took_s < 1


def test_read_of_overloaded_endpoints_is_refused_at_once() -> None:
    """None of them could run it before its deadline."""
    response, attempts, took_s = play(OVERLOADED, make_policy())
    assert response.refusal == Refusal.BUSY
    assert sorted(endpoint for endpoint, _ in attempts) == ['a', 'b', 'c']
    assert not took_s


def test_attempts_at_an_unconfirmed_primary_are_spaced() -> None:
    """Guards against eight attempts at once while nobody can be asked."""
    sender = FailingSender(PrimaryUnconfirmedError('no replica'))

    async def scenario() -> Response:
        runner = make_runner(make_cluster(), sender, make_policy())
        return await runner.run(make_run(Freshness.LATEST))

    response = run_virtual(scenario)
    moments = [moment for _, moment in sender.attempts]
    pauses = [
        later - earlier
        for earlier, later in zip(moments, moments[1:], strict=False)
    ]
    assert response.refusal == Refusal.BUSY
    assert min(pauses) >= FIRST_PAUSE_S / 2


def test_without_the_part_pauses_are_fixed() -> None:
    _, attempts, _ = play(FAILURES[-1], FixedPause())
    moments = [moment for _, moment in attempts]
    assert moments[-1] - moments[0] == pytest.approx(7 * FIRST_PAUSE_S)


def test_lost_read_without_budget_is_not_reported_as_not_run() -> None:
    """A read whose response was lost may have run."""
    policy = make_policy()
    sender = SpendingSender(
        EndpointConnectionError(ResponseLoss.CONNECTION_LOST, 'reset'), policy
    )

    async def scenario() -> Response:
        runner = make_runner(make_cluster(), sender, policy)
        return await runner.run(make_run())

    assert run_virtual(scenario).refusal == Refusal.ABORTED
    assert len(sender.attempts) == 1
