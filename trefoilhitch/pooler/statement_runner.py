"""Runs single statements: choice of endpoint, proof, repetition, outcome."""

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
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.link_pool import LinkPool
from trefoilhitch.pooler.link_runner import (
    LinkRunner,
    StatementCall,
    StatementResult,
)
from trefoilhitch.pooler.outcome import (
    FailedAttempt,
    ResponseLoss,
    lost_statement_response,
    may_retry_response,
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
from trefoilhitch.pooler.run import Run
from trefoilhitch.pooler.session import StatementTrace

MAX_ATTEMPTS = 8
# A lead that could not be reached once may have lost a packet.
MAX_LEAD_FAILURES = 2
# Pause before a busy endpoint is asked again.
BUSY_PAUSE_S = 0.03
_MS_PER_S = 1000


class StatementRunner:
    """Finds an endpoint for a statement and brings back its answer.

    Args:
        knowledge: endpoints and leads.
        pool: connections.
        links: runs statements on connections.
        log: takes note of decisions.
        metrics: counts.

    """

    def __init__(
        self,
        *,
        knowledge: ClusterState,
        pool: LinkPool,
        links: LinkRunner,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Keep the collaborators."""
        self._knowledge = knowledge
        self._pool = pool
        self._links = links
        self._log = log
        self._metrics = metrics

    async def run(
        self,
        run: Run,
        keep: Callable[[str, PooledConnection], None] | None = None,
    ) -> Response:
        """Run a statement until it has an answer for the client.

        Args:
            run: the statement.
            keep: takes the connection over if the statement succeeds; it is
                released if this is None.

        Returns:
            The answer.

        """
        while run.attempts < MAX_ATTEMPTS and current_time() < run.deadline:
            run.attempts += 1
            target = await self._find_target(run)
            if target is None:
                return refusal_response(
                    Refusal.BUSY, 'no endpoint leads the service'
                )
            answer = await self._attempt(run, target, keep)
            if answer is not None:
                return answer
            hopeless = run.lead_failures >= MAX_LEAD_FAILURES
            if hopeless and current_time() > run.refuse_at:
                break
        return lost_statement_response(FailedAttempt(run.writes, run.loss))

    async def _find_target(self, run: Run) -> Target | None:
        while True:
            target = self._choose(run)
            if target is not None and self._may_try(target):
                return target
            expects = self._knowledge.expects_primary(run.route.service)
            limit = run.wait_until if expects else run.refuse_at
            if current_time() >= limit:
                return None
            with move_on_at(limit):
                await self._knowledge.wait_for_change()

    def _may_try(self, target: Target) -> bool:
        reach = self._knowledge.breakers
        return reach.may_attempt(target.endpoint, current_time())

    def _choose(self, run: Run) -> Target | None:
        if run.reads:
            return self._knowledge.choose_read_target(
                run.need(self._knowledge.clock()), current_time(), run.tried
            )
        lead = self._knowledge.primary(run.route.service)
        return (
            Target(lead, None, None, requires_primary_proof=False)
            if lead
            else None
        )

    async def _attempt(
        self,
        run: Run,
        target: Target,
        keep: Callable[[str, PooledConnection], None] | None,
    ) -> Response | None:
        run.loss = ResponseLoss.NOT_SENT
        self._note_target(run, target)
        try:
            pooled = await self._pool.acquire(
                target.endpoint,
                run.session.organisation,
                run.session.variables,
                run.attempt_deadline(),
            )
        except (EndpointConnectionError, EndpointRefusedError) as exc:
            await self._unopened(run, target, exc)
            return None
        kept = False
        try:
            answer = await self._run_on(run, target, pooled)
            kept = keep is not None and answer is not None and answer.ok
        finally:
            if not kept:
                self._pool.release(target.endpoint, pooled)
        if kept and keep is not None:
            keep(target.endpoint, pooled)
        return answer

    def _note_target(self, run: Run, target: Target) -> None:
        age_ms = None
        if target.proof_sent_at is not None:
            age_s = self._knowledge.clock() - target.proof_sent_at
            age_ms = int(age_s * _MS_PER_S)
        run.session.trace = StatementTrace(
            target.endpoint,
            run.attempts,
            self._knowledge.proved_term(run.route.service),
            age_ms,
        )
        if run.reads:
            own_proof = (
                'lead' if target.requires_primary_proof else 'proved_position'
            )
            self._metrics.count('read_targets', own_proof)

    async def _unopened(self, run: Run, target: Target, exc: Exception) -> None:
        self._log.event(
            'connection_not_opened',
            request=run.statement.request_id,
            endpoint=target.endpoint,
            detail=str(exc),
        )
        now = current_time()
        self._metrics.count('connections_not_opened', target.endpoint)
        run.tried.add(target.endpoint)
        # Others' failures count: the lead is not only slow for this one.
        failed_before = self._knowledge.selector.is_avoided(
            target.endpoint, now
        )
        if isinstance(exc, EndpointConnectionError):
            self._knowledge.selector.avoid(
                target.endpoint, now + AVOID_SILENT_S
            )
        if isinstance(exc, EndpointUnreachableError):
            self._unreachable(target.endpoint, now)
        if target.endpoint == self._knowledge.primary(run.route.service):
            asked_at = self._knowledge.clock()
            self._knowledge.record_unanswered(run.route.service, asked_at)
            run.lead_failures += MAX_LEAD_FAILURES if failed_before else 1
            await sleep(BUSY_PAUSE_S)

    def _unreachable(self, endpoint: str, now: float) -> None:
        if self._knowledge.breakers.record_failure(endpoint, now):
            self._log.event('endpoint_out_of_reach', endpoint=endpoint)
            self._pool.dismiss(endpoint)

    async def _run_on(
        self, run: Run, target: Target, pooled: PooledConnection
    ) -> Response | None:
        sent_at = self._knowledge.clock()
        sent_monotonic = current_time()
        deadline = run.attempt_deadline()
        call = StatementCall(
            run.statement,
            run.session.prepared.get(run.statement.name),
            target.minimum_position,
            target.requires_primary_proof,
        )
        variables = run.session.variables
        try:
            found = await self._links.run(pooled, variables, call, deadline)
        except EndpointConnectionError as exc:
            patience_s = deadline - sent_monotonic
            return self._lost(run, target, exc, sent_at, patience_s)
        self._knowledge.record_reached(target.endpoint)
        return await self._judge(run, target, found, sent_at)

    def _lost(
        self,
        run: Run,
        target: Target,
        exc: EndpointConnectionError,
        sent_at: float,
        patience_s: float,
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
        closed = exc.loss == ResponseLoss.CONNECTION
        span = AVOID_CLOSED_S if closed else AVOID_SILENT_S
        self._knowledge.selector.avoid(target.endpoint, now + span)
        run.tried.add(target.endpoint)
        service = run.route.service
        if target.endpoint == self._knowledge.primary(service):
            self._knowledge.record_unanswered(service, sent_at, patience_s)
            if run.writes and exc.loss == ResponseLoss.DEADLINE:
                self._knowledge.record_commit_overdue(
                    service, target.endpoint, sent_at, patience_s
                )
        attempt = FailedAttempt(run.writes, exc.loss)
        return None if attempt.may_retry else lost_statement_response(attempt)

    async def _judge(
        self,
        run: Run,
        target: Target,
        found: StatementResult,
        sent_at: float,
    ) -> Response | None:
        if found.status is not None:
            self._learn_status(run, target, found.status, sent_at)
        if found.answer.ok:
            return self._accept(run, target, found, sent_at)
        return await self._refused(run, target, found.answer)

    def _accept(
        self,
        run: Run,
        target: Target,
        found: StatementResult,
        sent_at: float,
    ) -> Response | None:
        if target.requires_primary_proof and not (
            found.status and found.status.is_primary
        ):
            self._metrics.count('reads_unproved')
            return None
        if not self._still_fresh(run, target.proof_sent_at):
            self._metrics.count('reads_outdated')
            return None
        position = found.answer.position
        if not run.reads and position is not None:
            lead = Primary(run.route.service, target.endpoint, position.term)
            self._knowledge.record_proof(lead, position, sent_at, 'statement')
        if run.writes:
            service = run.route.service
            run.session.record_commit(service, position)
            self._knowledge.commits.record_acknowledged(
                service, target.endpoint, sent_at
            )
        return found.answer

    def _still_fresh(self, run: Run, proved_at: float | None) -> bool:
        """Judge the proof's age again, in case this process stood still."""
        if proved_at is None:
            return True
        return self._knowledge.clock() - proved_at <= run.route.max_age_s

    def _learn_status(
        self,
        run: Run,
        target: Target,
        status: EndpointStatus,
        asked_at: float,
    ) -> None:
        service = run.route.service
        if status.is_primary:
            lead = Primary(service, target.endpoint, status.term)
            self._knowledge.record_proof(
                lead, status.position, asked_at, 'status'
            )
        else:
            self._knowledge.record_not_primary(
                service, target.endpoint, 'status'
            )

    async def _refused(
        self, run: Run, target: Target, answer: Response
    ) -> Response | None:
        self._metrics.count('endpoint_refusals', str(answer.refusal))
        if not may_retry_response(answer):
            return answer
        run.tried.add(target.endpoint)
        if answer.refusal == Refusal.TOO_OLD:
            until = current_time() + AVOID_LAGGING_S
            self._knowledge.selector.mark_lagging(target.endpoint, until)
        elif answer.refusal == Refusal.NOT_PRIMARY:
            self._knowledge.record_not_primary(
                run.route.service, target.endpoint, 'statement'
            )
        elif answer.refusal == Refusal.BUSY:
            await sleep(BUSY_PAUSE_S)
        return None
