"""Runs single statements: choice of endpoint, retries and outcome."""

import math
from collections.abc import Callable

from trio import current_time, move_on_at, sleep_until

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.catalogue import Freshness
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_failures import EndpointFailures
from trefoilhitch.pooler.endpoint_selection import (
    ChoiceKind,
    Target,
    choose_write_target,
)
from trefoilhitch.pooler.outcome import (
    FailedAttempt,
    ResponseLoss,
    lost_statement_response,
    proves_not_run,
    unproved_commit_response,
)
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.primary_proof import PrimaryProof, PrimaryProver
from trefoilhitch.pooler.proof_fetcher import ProofFetcher
from trefoilhitch.pooler.response import Refusal, Response, refusal_response
from trefoilhitch.pooler.retrying.read_target_finder import (
    ReadTargetFinder,
    RetryBudgetError,
)
from trefoilhitch.pooler.retrying.retry_policy import RetryPolicy
from trefoilhitch.pooler.session import StatementTrace
from trefoilhitch.pooler.statement import Verb
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    PrimaryUnconfirmedError,
    RateExceededError,
    StartedStatement,
    StatementNotSentError,
    StatementTooLargeError,
)
from trefoilhitch.pooler.statement_request import (
    StatementResult,
)
from trefoilhitch.pooler.statement_run import StatementRun
from trefoilhitch.pooler.statement_sender import StatementSender
from trefoilhitch.pooler.transaction_connection import TransactionConnection

MAX_ATTEMPTS = 8
# A single failure to reach the primary may be due to a lost packet.
MAX_PRIMARY_FAILURES = 2
_MS_PER_S = 1000

TakeOver = Callable[[TransactionConnection], None]


class StatementRunner:
    """Finds an endpoint for a statement and returns its response.

    Args:
        cluster: known endpoints and primaries.
        sender: sends statements to endpoints.
        prover: applies what statements prove.
        proofs: fetches proofs that reads need.
        failures: applies failures of endpoints.
        retries: decides when and where statements are repeated.
        log: records failed attempts.
        metrics: counts targets and refusals.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        sender: StatementSender,
        prover: PrimaryProver,
        proofs: ProofFetcher,
        failures: EndpointFailures,
        retries: RetryPolicy,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._sender = sender
        self._prover = prover
        self._proofs = proofs
        self._failures = failures
        self._retries = retries
        self._read_targets = ReadTargetFinder(cluster, retries)
        self._log = log
        self._metrics = metrics

    async def run(
        self, run: StatementRun, take_over: TakeOver | None = None
    ) -> Response:
        """Run a statement until there is a response for the client.

        Args:
            run: state of the statement.
            take_over: takes the connection over if the statement succeeds; if
                None, the connection is released.

        Returns:
            The response for the client.

        """
        await self._fetch_proof(run)
        try:
            return await self._run_attempts(run, take_over)
        except RateExceededError:
            return refusal_response(
                Refusal.BUSY, 'the rate of the organisation is used up'
            )
        except StatementTooLargeError as exc:
            return refusal_response(Refusal.MALFORMED, str(exc))
        except RetryBudgetError:
            self._metrics.count('retries_refused')
            return _refuse_retry(run)

    async def _run_attempts(
        self, run: StatementRun, take_over: TakeOver | None
    ) -> Response:
        while run.attempts < MAX_ATTEMPTS and current_time() < run.deadline:
            run.attempts += 1
            target = await self._find_target(run)
            if target is None:
                return refusal_response(
                    Refusal.BUSY, self._describe_missing_target(run)
                )
            response = await self._attempt(run, target, take_over)
            if response is not None:
                return response
            primary_failed = run.primary_failures >= MAX_PRIMARY_FAILURES
            if primary_failed and current_time() > run.refuse_at:
                break
        return lost_statement_response(FailedAttempt(run.writes, run.loss))

    async def _fetch_proof(self, run: StatementRun) -> None:
        """Wait for a proof that lets a replica serve the statement."""
        if run.writes or run.route.freshness == Freshness.LATEST:
            return
        requirements = run.read_requirements(self._cluster.clock())
        await self._proofs.ensure_recent(
            run.route.service, requirements.not_before
        )

    async def _find_target(self, run: StatementRun) -> Target | None:
        while True:
            target = self._choose_target(run)
            if target is not None and self._cluster.breakers.may_attempt(
                target.endpoint, current_time()
            ):
                return target
            limit = self._wait_limit(run, target)
            if current_time() >= limit:
                return None
            with move_on_at(limit):
                await self._cluster.wait_for_change()

    def _wait_limit(self, run: StatementRun, target: Target | None) -> float:
        """Return until when a statement waits for an endpoint."""
        if target is None and self._is_primary_excluded(run):
            return -math.inf
        expects_primary = self._cluster.expects_primary(run.route.service)
        return run.wait_until if expects_primary else run.refuse_at

    def _is_primary_excluded(self, run: StatementRun) -> bool:
        primary = self._cluster.primary(run.route.service)
        return self._cluster.evacuated.excludes(primary)

    def _describe_missing_target(self, run: StatementRun) -> str:
        if self._is_primary_excluded(run):
            return 'the data centre of the primary is evacuated'
        return 'no endpoint leads the service'

    def _choose_target(self, run: StatementRun) -> Target | None:
        if run.reads:
            return self._read_targets.choose(run)
        requirements = run.read_requirements(self._cluster.clock())
        if run.statement.verb == Verb.BEGIN:
            return self._cluster.choose_begin_target(requirements)
        primary = self._cluster.primary(run.route.service)
        permitted = self._cluster.evacuated.unless_excluded(primary)
        return choose_write_target(permitted)

    async def _pause(self, run: StatementRun) -> Response | None:
        """Pause before the next attempt, unless another endpoint is left.

        Returns:
            The response for the client if no time is left for an attempt.

        """
        if self._retries.seeks_others and self._read_targets.has_other(run):
            return None
        pause_s = self._retries.pause_s(run.pauses)
        run.pauses += 1
        ends_at = current_time() + pause_s
        if self._retries.seeks_others and ends_at >= run.deadline:
            return lost_statement_response(FailedAttempt(run.writes, run.loss))
        await sleep_until(ends_at)
        return None

    async def _attempt(
        self, run: StatementRun, target: Target, take_over: TakeOver | None
    ) -> Response | None:
        run.loss = ResponseLoss.NOT_SENT
        self._record_target(run, target)
        started_at = current_time()
        self._retries.record_sent(
            target.endpoint, started_at, is_retry=run.is_retry
        )
        sent_at = self._cluster.clock()
        try:
            started, proof = await self._sender.send(
                run, target, keeps_connection=take_over is not None
            )
        except ConnectionNotOpenedError as exc:
            return await self._on_not_opened(run, target, exc)
        except StatementNotSentError as exc:
            return await self._on_not_sent(run, target, exc, started_at)
        except EndpointConnectionError as exc:
            return self._on_connection_lost(run, target, exc, sent_at)
        self._cluster.record_reached(target.endpoint)
        _record_connection(run, started.reply.connection)
        response = None
        try:
            response = await self._process_reply(
                run, target, started.reply, proof
            )
        finally:
            self._finish(started, response, take_over)
        return response

    def _finish(
        self,
        started: StartedStatement,
        response: Response | None,
        take_over: TakeOver | None,
    ) -> None:
        conn = started.conn
        if conn is None:
            return
        if take_over is not None and response is not None and response.ok:
            take_over(conn)
        else:
            conn.discard()

    def _record_target(self, run: StatementRun, target: Target) -> None:
        age_ms = None
        if target.proof_sent_at is not None:
            age_s = self._cluster.clock() - target.proof_sent_at
            age_ms = int(age_s * _MS_PER_S)
        choice: ChoiceKind = 'retry' if run.is_retry else target.choice
        run.session.trace = StatementTrace(
            target.endpoint,
            run.attempts,
            self._cluster.proved_term(run.route.service),
            age_ms,
            choice,
        )
        sent = 'reads_sent' if run.reads else 'writes_sent'
        self._metrics.count(sent, target.endpoint)
        if run.reads:
            self._metrics.count('read_choices', choice)
            proof = (
                'lead' if target.requires_primary_proof else 'proved_position'
            )
            self._metrics.count('read_targets', proof)
            if target.lag_handling:
                self._metrics.count('reads_lagging', target.lag_handling)
            if target.lag_handling == 'tried':
                self._cluster.positions.record_trial(target.endpoint)

    async def _on_not_opened(
        self, run: StatementRun, target: Target, exc: ConnectionNotOpenedError
    ) -> Response | None:
        # Asking an overloaded endpoint again would be refused again, and could
        # cost a request to confirm the primary each time.
        run.failed_endpoints.add(target.endpoint)
        if exc.overloaded and not self._read_targets.has_other(run):
            return refusal_response(Refusal.BUSY, str(exc))
        pauses = self._failures.record_not_opened(run, target.endpoint, exc)
        if pauses or self._retries.seeks_others:
            return await self._pause(run)
        return None

    async def _on_not_sent(
        self,
        run: StatementRun,
        target: Target,
        exc: StatementNotSentError,
        started_at: float,
    ) -> Response | None:
        if isinstance(exc, PrimaryUnconfirmedError):
            # Refused early, like one whose primary is not reached.
            run.primary_failures += 1
            self._metrics.count('reads_unproved')
            # Nobody was asked if all relays and gateways are in backoff.
            await sleep_until(started_at + self._retries.pause_s(0))
            return None
        self._log.event(
            'gateway_unavailable',
            request=run.statement.request_id,
            detail=str(exc),
        )
        if self._retries.seeks_others:
            run.failed_endpoints.add(target.endpoint)
        return await self._pause(run)

    def _on_connection_lost(
        self,
        run: StatementRun,
        target: Target,
        exc: EndpointConnectionError,
        sent_at: float,
    ) -> Response | None:
        run.loss = exc.loss
        _record_connection(run, exc.connection)
        self._failures.record_lost(run, target.endpoint, exc, sent_at)
        attempt = FailedAttempt(run.writes, exc.loss)
        return None if attempt.may_retry else lost_statement_response(attempt)

    async def _process_reply(
        self,
        run: StatementRun,
        target: Target,
        reply: StatementResult,
        proof: PrimaryProof,
    ) -> Response | None:
        proved = target.requires_primary_proof and self._prover.apply(
            proof, reply
        )
        if not reply.response.ok:
            return await self._on_refusal(run, target, reply.response)
        if target.requires_primary_proof and not proved:
            self._metrics.count('reads_unproved')
            return await self._pause(run)
        if not self._is_still_fresh(run, target.proof_sent_at):
            self._metrics.count('reads_outdated')
            return None
        if run.writes:
            return await self._acknowledge(run, reply, proof)
        return reply.response

    async def _acknowledge(
        self, run: StatementRun, reply: StatementResult, proof: PrimaryProof
    ) -> Response:
        """Return the response to a commit once it surely survives."""
        if not await self._prover.admit_commit(proof, reply, run.deadline):
            return unproved_commit_response()
        position = reply.response.position
        run.session.record_commit(run.route.service, position)
        return reply.response

    def _is_still_fresh(
        self, run: StatementRun, proof_sent_at: float | None
    ) -> bool:
        """Check the proof's age again, in case this process was stalled."""
        if proof_sent_at is None:
            return True
        return self._cluster.clock() - proof_sent_at <= run.route.max_age_s

    async def _on_refusal(
        self, run: StatementRun, target: Target, response: Response
    ) -> Response | None:
        self._metrics.count('endpoint_refusals', str(response.refusal))
        if not proves_not_run(response):
            return response
        self._failures.record_refusal(run, target.endpoint, response)
        if response.refusal == Refusal.BUSY:
            return await self._pause(run)
        return None


def _record_connection(run: StatementRun, connection: str) -> None:
    run.session.trace = run.session.trace.on_connection(connection)


def _refuse_retry(run: StatementRun) -> Response:
    """Refuse a read, as not run unless its last attempt may have run."""
    if run.loss == ResponseLoss.NOT_SENT:
        return refusal_response(
            Refusal.BUSY, 'the budget for retries is used up'
        )
    return lost_statement_response(FailedAttempt(run.writes, run.loss))
