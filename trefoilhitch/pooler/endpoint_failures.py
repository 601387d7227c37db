"""Applies what failed attempts at statements say about endpoints."""

from collections.abc import Callable

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.cluster_state import (
    AVOID_CLOSED_S,
    AVOID_SILENT_S,
    ClusterState,
    record_lagging,
)
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.pooler.statement_executor import ConnectionNotOpenedError
from trefoilhitch.pooler.statement_run import StatementRun

# Failures to reach the primary that end a statement, if an earlier statement
# did not reach it either.
REPEATED_FAILURES = 2


class EndpointFailures:
    """Records failures of endpoints, so that later attempts avoid them.

    Args:
        cluster: known endpoints and primaries.
        loads: takes refusals into account in the choice of endpoints.
        reject_waiters: rejects the requests that wait for a connection to an
            unreachable endpoint.
        log: records the failures.
        metrics: counts them.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        loads: LoadObserver,
        reject_waiters: Callable[[str], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._loads = loads
        self._reject_waiters = reject_waiters
        self._log = log
        self._metrics = metrics

    def record_not_opened(
        self,
        run: StatementRun,
        endpoint: str,
        exc: ConnectionNotOpenedError,
    ) -> bool:
        """Record that no connection to an endpoint was available.

        Args:
            run: the statement that needed one.
            endpoint: endpoint id.
            exc: what failed.

        Returns:
            Whether the endpoint is the primary, which has no substitute.

        """
        self._log.event(
            'connection_not_opened',
            request=run.statement.request_id,
            endpoint=endpoint,
            detail=str(exc),
        )
        now = current_time()
        self._metrics.count('connections_not_opened', endpoint)
        if exc.refused:
            self._metrics.count('endpoint_refusals', 'connection_refused')
        self._record_failed_attempt(run, endpoint)
        if exc.overloaded:
            return False
        # An earlier failure of any statement counts as well: the primary is
        # then not just slow for this one.
        failed_before = self._cluster.selector.is_avoided(endpoint, now)
        if not exc.refused:
            self._cluster.selector.avoid(endpoint, now + AVOID_SILENT_S)
        if exc.unreachable:
            self._mark_unreachable(endpoint, now)
        if endpoint != self._cluster.primary(run.route.service):
            return False
        sent_at = self._cluster.clock()
        self._cluster.record_unanswered(run.route.service, sent_at)
        run.primary_failures += REPEATED_FAILURES if failed_before else 1
        return True

    def record_lost(
        self,
        run: StatementRun,
        endpoint: str,
        exc: EndpointConnectionError,
        sent_at: float,
    ) -> None:
        """Record that the response to a statement was lost.

        Args:
            run: the statement.
            endpoint: endpoint id.
            exc: how the response was lost.
            sent_at: when the statement was sent.

        """
        now = current_time()
        self._log.event(
            'answer_lost',
            request=run.statement.request_id,
            endpoint=endpoint,
            loss=exc.loss.value,
            detail=str(exc),
        )
        closed = exc.loss == ResponseLoss.CONNECTION_LOST
        avoid_s = AVOID_CLOSED_S if closed else AVOID_SILENT_S
        self._cluster.selector.avoid(endpoint, now + avoid_s)
        self._record_failed_attempt(run, endpoint)
        service = run.route.service
        if endpoint != self._cluster.primary(service):
            return
        timeout_s = run.attempt_timeout_s
        self._cluster.record_unanswered(service, sent_at, timeout_s)
        if run.writes and exc.loss == ResponseLoss.DEADLINE_PASSED:
            self._cluster.record_commit_overdue(
                service, endpoint, sent_at, timeout_s
            )

    def record_refusal(
        self, run: StatementRun, endpoint: str, response: Response
    ) -> None:
        """Record that an endpoint did not run a statement.

        Args:
            run: the statement.
            endpoint: endpoint id.
            response: its response.

        """
        run.failed_endpoints.add(endpoint)
        if response.refusal == Refusal.BUSY:
            self._record_failed_attempt(run, endpoint)
        if response.refusal == Refusal.TOO_OLD:
            record_lagging(self._cluster, endpoint, current_time())
        elif response.refusal == Refusal.NOT_PRIMARY:
            self._cluster.record_not_primary(
                run.route.service, endpoint, 'statement'
            )

    def _record_failed_attempt(self, run: StatementRun, endpoint: str) -> None:
        """Let the failure count in the next choice of all statements."""
        run.failed_endpoints.add(endpoint)
        run.is_retry = True
        self._loads.record_refusal(endpoint)

    def _mark_unreachable(self, endpoint: str, now: float) -> None:
        if self._cluster.breakers.record_failure(endpoint, now):
            self._log.event('endpoint_out_of_reach', endpoint=endpoint)
            self._reject_waiters(endpoint)
