"""Runs transactions, each bound to one connection from its first statement."""

from functools import partial

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.outcome import (
    ResponseLoss,
    lost_transaction_response,
    unproved_commit_response,
)
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.primary_confirmer import ReplicaStatuses
from trefoilhitch.pooler.primary_proof import PrimaryProof, PrimaryProver
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
    success_response,
)
from trefoilhitch.pooler.session import (
    OpenTransaction,
    SessionData,
    StatementTrace,
)
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)
from trefoilhitch.pooler.statement_run import StatementRun
from trefoilhitch.pooler.statement_runner import StatementRunner
from trefoilhitch.pooler.transaction_connection import TransactionConnection


class TransactionRunner:
    """Begins transactions, runs their statements and ends them.

    Args:
        cluster: known endpoints and primaries.
        statements: runs the statement that begins a transaction.
        prover: applies what commits prove.
        log: records lost transactions.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        statements: StatementRunner,
        prover: PrimaryProver,
        log: DecisionLog,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._statements = statements
        self._prover = prover
        self._log = log

    async def begin(self, run: StatementRun) -> Response:
        """Begin a transaction on an endpoint.

        Args:
            run: state of the statement that begins it.

        Returns:
            The response; a transaction is open only if it succeeded.

        """
        response = await self._statements.run(
            run, partial(_store_transaction, run)
        )
        if response.ok and response.state != SessionState.TRANSACTION:
            self.abandon(run.session)
            return refusal_response(
                Refusal.ABORTED, 'the endpoint began no transaction'
            )
        return response

    async def run(self, session: SessionData, statement: Statement) -> Response:
        """Run a statement of an open transaction, including its end.

        Args:
            session: session that sent it.
            statement: the client's statement.

        Returns:
            The response.

        """
        transaction = session.transaction
        if transaction is None or session.state == SessionState.FAILED:
            return self._run_after_failure(session, statement)
        transaction.wrote = (
            transaction.wrote or session.access(statement) == 'write'
        )
        service = transaction.route.service
        endpoint = transaction.conn.endpoint
        term = self._cluster.proved_term(service)
        session.trace = StatementTrace(endpoint, 1, term)
        deadline = current_time() + transaction.route.timeout_s
        proof = PrimaryProof(
            Primary(service, endpoint, term),
            permitted=False,
            replicas=ReplicaStatuses((), 0),
            sent_at=self._cluster.clock(),
            known_position=transaction.position,
        )
        commits = statement.verb == Verb.COMMIT and transaction.wrote
        if commits:
            self._prover.expect_commit()
        if self._cluster.evacuated.excludes_transactions(endpoint):
            return self._on_connection_lost(
                session,
                transaction,
                statement,
                ResponseLoss.NOT_SENT,
                proof.sent_at,
            )
        try:
            reply = await self._send(session, transaction, statement, deadline)
        except EndpointConnectionError as exc:
            session.trace = session.trace.on_connection(exc.connection)
            return self._on_connection_lost(
                session, transaction, statement, exc.loss, proof.sent_at
            )
        session.trace = session.trace.on_connection(reply.connection)
        self._cluster.positions.record(endpoint, reply.response)
        transaction.position = reply.response.position
        if reply.response.state == SessionState.IDLE:
            session.transaction = None
            if commits and reply.response.ok:
                return await self._acknowledge(session, reply, proof, deadline)
        return reply.response

    def abandon(self, session: SessionData) -> None:
        """Roll back a transaction without its client.

        Args:
            session: session that owns the transaction.

        """
        if session.transaction is None:
            return
        self._discard(session, session.transaction)

    async def _send(
        self,
        session: SessionData,
        transaction: OpenTransaction,
        statement: Statement,
        deadline: float,
    ) -> StatementResult:
        request = StatementRequest(
            statement, session.prepared.get(statement.name)
        )
        return await transaction.conn.run(session.variables, request, deadline)

    def _discard(
        self, session: SessionData, transaction: OpenTransaction
    ) -> None:
        session.transaction = None
        transaction.conn.discard()

    def _on_connection_lost(
        self,
        session: SessionData,
        transaction: OpenTransaction,
        statement: Statement,
        loss: ResponseLoss,
        sent_at: float,
    ) -> Response:
        endpoint = transaction.conn.endpoint
        self._log.event(
            'transaction_lost',
            request=statement.request_id,
            endpoint=endpoint,
            loss=loss.value,
            wrote=transaction.wrote,
        )
        committing = statement.verb == Verb.COMMIT and transaction.wrote
        if committing and loss == ResponseLoss.DEADLINE_PASSED:
            self._cluster.record_commit_overdue(
                transaction.route.service,
                endpoint,
                sent_at,
                transaction.route.timeout_s,
            )
        self._discard(session, transaction)
        return lost_transaction_response(
            statement.verb, wrote=transaction.wrote, loss=loss
        )

    async def _acknowledge(
        self,
        session: SessionData,
        reply: StatementResult,
        proof: PrimaryProof,
        deadline: float,
    ) -> Response:
        """Return the response to a commit once it surely survives."""
        if not await self._prover.admit_commit(proof, reply, deadline):
            return unproved_commit_response()
        position = reply.response.position
        session.record_commit(proof.primary.service, position)
        return reply.response

    def _run_after_failure(
        self, session: SessionData, statement: Statement
    ) -> Response:
        if statement.verb not in {Verb.COMMIT, Verb.ROLLBACK}:
            return refusal_response(
                Refusal.MALFORMED,
                'the transaction failed and has to be rolled back',
                SessionState.FAILED,
            )
        self.abandon(session)
        if statement.verb == Verb.ROLLBACK:
            return success_response(SessionState.IDLE)
        return refusal_response(Refusal.ABORTED, 'the transaction had failed')


def _store_transaction(run: StatementRun, conn: TransactionConnection) -> None:
    run.session.transaction = OpenTransaction(conn, run.route)
