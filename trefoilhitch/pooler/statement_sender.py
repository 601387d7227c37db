"""Sends statements to endpoints, with what proves their primary."""

from functools import partial

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.primary_confirmer import ReplicaStatuses
from trefoilhitch.pooler.primary_proof import PrimaryProof, PrimaryProver
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.statement_executor import (
    StartedStatement,
    StatementExecutor,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import StatementRequest
from trefoilhitch.pooler.statement_run import StatementRun


class StatementSender:
    """Sends statements to endpoints.

    Args:
        cluster: known endpoints and primaries.
        executor: runs statements on endpoints.
        prover: proves that an endpoint is the primary.
        loads: counts the statements in flight to each endpoint.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        executor: StatementExecutor,
        prover: PrimaryProver,
        loads: LoadObserver,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._executor = executor
        self._prover = prover
        self._loads = loads

    async def send(
        self, run: StatementRun, target: Target, *, keeps_connection: bool
    ) -> tuple[StartedStatement, PrimaryProof]:
        """Send a statement, with the requests that prove its primary.

        Args:
            run: state of the statement.
            target: its endpoint.
            keeps_connection: whether the connection is kept if it succeeds.

        Returns:
            The outcome, and what it may prove.

        Raises:
            TrefoilhitchError: the statement failed; see `StatementExecutor`.

        """
        sent_at = self._cluster.clock()
        primary = self._primary(run, target)
        permitted = target.requires_primary_proof and (
            await self._prover.is_permitted(primary.service, primary.endpoint)
        )
        job = _make_job(
            run,
            target,
            keeps_connection=keeps_connection,
            needs_status=target.requires_primary_proof and not permitted,
        )
        known_position = None
        if run.writes:
            known_position = self._known_position(primary)
            self._prover.expect_commit()
        with self._loads.attempting(target.endpoint):
            started, replicas = await self._start(job, primary)
        self._loads.record_position(
            target.endpoint, started.reply.response, target.minimum_position
        )
        proof = PrimaryProof(
            primary, permitted, replicas, sent_at, known_position
        )
        return started, proof

    def _known_position(self, primary: Primary) -> LogPosition | None:
        """Return the newest known end of a primary's log."""
        newest = self._cluster.observations.newest(primary.service)
        if newest is None or newest.endpoint != primary.endpoint:
            return None
        return newest.position

    def _primary(self, run: StatementRun, target: Target) -> Primary:
        service = run.route.service
        term = self._cluster.proved_term(service)
        return Primary(service, target.endpoint, term)

    async def _start(
        self, job: StatementJob, primary: Primary
    ) -> tuple[StartedStatement, ReplicaStatuses]:
        send = partial(self._executor.start, job)
        if job.request.requires_primary_proof:
            return await self._prover.run_confirmed(
                send, primary.service, primary.endpoint
            )
        return await send(), ReplicaStatuses((), 0)


def _make_job(
    run: StatementRun,
    target: Target,
    *,
    keeps_connection: bool,
    needs_status: bool,
) -> StatementJob:
    request = StatementRequest(
        run.statement,
        run.session.prepared.get(run.statement.name),
        target.minimum_position,
        needs_status,
    )
    return StatementJob(
        endpoint=target.endpoint,
        organisation=run.session.organisation,
        variables=run.session.variables,
        request=request,
        deadline=run.attempt_deadline(),
        keeps_connection=keeps_connection,
        is_admitted=run.is_admitted,
        on_admitted=run.mark_admitted,
        priority=run.route.statement_priority,
    )
