"""Runs single statements: choice of endpoint, proof, retries and outcome."""

from collections.abc import Callable

from trio import current_time, move_on_at, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.cluster_state import (
    AVOID_CLOSED_S,
    AVOID_LAGGING_S,
    AVOID_SILENT_S,
    ClusterState,
)
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.connection_runner import (
    ConnectionRunner,
    StatementRequest,
    StatementResult,
)
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.outcome import (
    FailedAttempt,
    ResponseLoss,
    lost_statement_response,
    proves_not_run,
)
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointRefusedError,
    EndpointStatus,
    EndpointUnreachableError,
)
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import Refusal, Response, refusal_response
from trefoilhitch.pooler.session import StatementTrace
from trefoilhitch.pooler.statement_run import StatementRun

MAX_ATTEMPTS = 8
# A single failure to reach the primary may be due to a lost packet.
MAX_PRIMARY_FAILURES = 2
# Pause before the next attempt after an endpoint was busy.
BUSY_PAUSE_S = 0.03
_MS_PER_S = 1000


class StatementRunner:
    """Finds an endpoint for a statement and returns its response.

    Args:
        cluster: known endpoints and primaries.
        pool: pool of endpoint connections.
        runner: runs statements on connections.
        log: records failed attempts.
        metrics: counts targets, failures and refusals.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        pool: ConnectionPool,
        runner: ConnectionRunner,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._pool = pool
        self._runner = runner
        self._log = log
        self._metrics = metrics

    async def run(
        self,
        run: StatementRun,
        take_over: Callable[[str, PooledConnection], None] | None = None,
    ) -> Response:
        """Run a statement until there is a response for the client.

        Args:
            run: state of the statement.
            take_over: takes the connection over if the statement succeeds; if
                None, the connection is released.

        Returns:
            The response for the client.

        """
        while run.attempts < MAX_ATTEMPTS and current_time() < run.deadline:
            run.attempts += 1
            target = await self._find_target(run)
            if target is None:
                return refusal_response(
                    Refusal.BUSY, 'no endpoint leads the service'
                )
            response = await self._attempt(run, target, take_over)
            if response is not None:
                return response
            primary_failed = run.primary_failures >= MAX_PRIMARY_FAILURES
            if primary_failed and current_time() > run.refuse_at:
                break
        return lost_statement_response(FailedAttempt(run.writes, run.loss))

    async def _find_target(self, run: StatementRun) -> Target | None:
        while True:
            target = self._choose_target(run)
            if target is not None and self._may_attempt(target):
                return target
            expects_primary = self._cluster.expects_primary(run.route.service)
            limit = run.wait_until if expects_primary else run.refuse_at
            if current_time() >= limit:
                return None
            with move_on_at(limit):
                await self._cluster.wait_for_change()

    def _may_attempt(self, target: Target) -> bool:
        breakers = self._cluster.breakers
        return breakers.may_attempt(target.endpoint, current_time())

    def _choose_target(self, run: StatementRun) -> Target | None:
        if run.reads:
            return self._cluster.choose_read_target(
                run.read_requirements(self._cluster.clock()),
                current_time(),
                run.failed_endpoints,
            )
        primary = self._cluster.primary(run.route.service)
        return (
            Target(primary, None, None, requires_primary_proof=False)
            if primary
            else None
        )

    async def _attempt(
        self,
        run: StatementRun,
        target: Target,
        take_over: Callable[[str, PooledConnection], None] | None,
    ) -> Response | None:
        run.loss = ResponseLoss.NOT_SENT
        self._record_target(run, target)
        try:
            conn = await self._pool.acquire(
                target.endpoint,
                run.session.organisation,
                run.session.variables,
                run.attempt_deadline(),
            )
        except (EndpointConnectionError, EndpointRefusedError) as exc:
            await self._on_connect_failure(run, target, exc)
            return None
        taken_over = False
        try:
            response = await self._run_on(run, target, conn)
            taken_over = (
                take_over is not None and response is not None and response.ok
            )
        finally:
            if not taken_over:
                self._pool.release(target.endpoint, conn)
        if taken_over and take_over is not None:
            take_over(target.endpoint, conn)
        return response

    def _record_target(self, run: StatementRun, target: Target) -> None:
        age_ms = None
        if target.proof_sent_at is not None:
            age_s = self._cluster.clock() - target.proof_sent_at
            age_ms = int(age_s * _MS_PER_S)
        run.session.trace = StatementTrace(
            target.endpoint,
            run.attempts,
            self._cluster.proved_term(run.route.service),
            age_ms,
        )
        if run.reads:
            proof = (
                'lead' if target.requires_primary_proof else 'proved_position'
            )
            self._metrics.count('read_targets', proof)

    async def _on_connect_failure(
        self, run: StatementRun, target: Target, exc: Exception
    ) -> None:
        self._log.event(
            'connection_not_opened',
            request=run.statement.request_id,
            endpoint=target.endpoint,
            detail=str(exc),
        )
        now = current_time()
        self._metrics.count('connections_not_opened', target.endpoint)
        run.failed_endpoints.add(target.endpoint)
        # An earlier failure of any statement counts as well: the primary is
        # then not just slow for this one.
        failed_before = self._cluster.selector.is_avoided(target.endpoint, now)
        if isinstance(exc, EndpointConnectionError):
            self._cluster.selector.avoid(target.endpoint, now + AVOID_SILENT_S)
        if isinstance(exc, EndpointUnreachableError):
            self._mark_unreachable(target.endpoint, now)
        if target.endpoint == self._cluster.primary(run.route.service):
            sent_at = self._cluster.clock()
            self._cluster.record_unanswered(run.route.service, sent_at)
            run.primary_failures += MAX_PRIMARY_FAILURES if failed_before else 1
            await sleep(BUSY_PAUSE_S)

    def _mark_unreachable(self, endpoint: str, now: float) -> None:
        if self._cluster.breakers.record_failure(endpoint, now):
            self._log.event('endpoint_out_of_reach', endpoint=endpoint)
            self._pool.reject_waiters(endpoint)

    async def _run_on(
        self, run: StatementRun, target: Target, conn: PooledConnection
    ) -> Response | None:
        sent_at = self._cluster.clock()
        sent_monotonic = current_time()
        deadline = run.attempt_deadline()
        request = StatementRequest(
            run.statement,
            run.session.prepared.get(run.statement.name),
            target.minimum_position,
            target.requires_primary_proof,
        )
        variables = run.session.variables
        try:
            reply = await self._runner.run(conn, variables, request, deadline)
        except EndpointConnectionError as exc:
            timeout_s = deadline - sent_monotonic
            return self._on_connection_lost(
                run, target, exc, sent_at, timeout_s
            )
        self._cluster.record_reached(target.endpoint)
        return await self._process_reply(run, target, reply, sent_at)

    def _on_connection_lost(
        self,
        run: StatementRun,
        target: Target,
        exc: EndpointConnectionError,
        sent_at: float,
        timeout_s: float,
    ) -> Response | None:
        now = current_time()
        run.loss = exc.loss
        self._log.event(
            'answer_lost',
            request=run.statement.request_id,
            endpoint=target.endpoint,
            loss=exc.loss.value,
            detail=str(exc),
        )
        closed = exc.loss == ResponseLoss.CONNECTION_LOST
        avoid_s = AVOID_CLOSED_S if closed else AVOID_SILENT_S
        self._cluster.selector.avoid(target.endpoint, now + avoid_s)
        run.failed_endpoints.add(target.endpoint)
        service = run.route.service
        if target.endpoint == self._cluster.primary(service):
            self._cluster.record_unanswered(service, sent_at, timeout_s)
            if run.writes and exc.loss == ResponseLoss.DEADLINE_PASSED:
                self._cluster.record_commit_overdue(
                    service, target.endpoint, sent_at, timeout_s
                )
        attempt = FailedAttempt(run.writes, exc.loss)
        return None if attempt.may_retry else lost_statement_response(attempt)

    async def _process_reply(
        self,
        run: StatementRun,
        target: Target,
        reply: StatementResult,
        sent_at: float,
    ) -> Response | None:
        if reply.status is not None:
            self._apply_status(run, target, reply.status, sent_at)
        if reply.response.ok:
            return self._accept_reply(run, target, reply, sent_at)
        return await self._on_refusal(run, target, reply.response)

    def _accept_reply(
        self,
        run: StatementRun,
        target: Target,
        reply: StatementResult,
        sent_at: float,
    ) -> Response | None:
        if target.requires_primary_proof and not (
            reply.status and reply.status.is_primary
        ):
            self._metrics.count('reads_unproved')
            return None
        if not self._is_still_fresh(run, target.proof_sent_at):
            self._metrics.count('reads_outdated')
            return None
        position = reply.response.position
        if not run.reads and position is not None:
            primary = Primary(run.route.service, target.endpoint, position.term)
            self._cluster.record_proof(primary, position, sent_at, 'statement')
        if run.writes:
            service = run.route.service
            run.session.record_commit(service, position)
            self._cluster.commits.record_acknowledged(
                service, target.endpoint, sent_at
            )
        return reply.response

    def _is_still_fresh(
        self, run: StatementRun, proof_sent_at: float | None
    ) -> bool:
        """Check the proof's age again, in case this process was stalled."""
        if proof_sent_at is None:
            return True
        return self._cluster.clock() - proof_sent_at <= run.route.max_age_s

    def _apply_status(
        self,
        run: StatementRun,
        target: Target,
        status: EndpointStatus,
        sent_at: float,
    ) -> None:
        service = run.route.service
        if status.is_primary:
            primary = Primary(service, target.endpoint, status.term)
            self._cluster.record_proof(
                primary, status.position, sent_at, 'status'
            )
        else:
            self._cluster.record_not_primary(service, target.endpoint, 'status')

    async def _on_refusal(
        self, run: StatementRun, target: Target, response: Response
    ) -> Response | None:
        self._metrics.count('endpoint_refusals', str(response.refusal))
        if not proves_not_run(response):
            return response
        run.failed_endpoints.add(target.endpoint)
        if response.refusal == Refusal.TOO_OLD:
            until = current_time() + AVOID_LAGGING_S
            self._cluster.selector.mark_lagging(target.endpoint, until)
        elif response.refusal == Refusal.NOT_PRIMARY:
            self._cluster.record_not_primary(
                run.route.service, target.endpoint, 'statement'
            )
        elif response.refusal == Refusal.BUSY:
            await sleep(BUSY_PAUSE_S)
        return None
