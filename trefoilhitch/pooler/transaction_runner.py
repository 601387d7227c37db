"""Transactions: bound to one connection from their first statement on."""

from functools import partial

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.link_pool import LinkPool
from trefoilhitch.pooler.link_runner import LinkRunner, StatementCall
from trefoilhitch.pooler.outcome import ResponseLoss, lost_transaction_response
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
    success_response,
)
from trefoilhitch.pooler.run import Run
from trefoilhitch.pooler.session import (
    OpenTransaction,
    SessionData,
    StatementTrace,
)
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_runner import StatementRunner


class TransactionRunner:
    """Begins transactions, runs their statements and ends them.

    Args:
        knowledge: endpoints and leads.
        pool: connections.
        links: runs statements on connections.
        statements: finds the endpoint for a transaction's begin.
        log: takes note of decisions.

    """

    def __init__(
        self,
        *,
        knowledge: ClusterState,
        pool: LinkPool,
        links: LinkRunner,
        statements: StatementRunner,
        log: DecisionLog,
    ) -> None:
        """Keep the collaborators."""
        self._knowledge = knowledge
        self._pool = pool
        self._links = links
        self._statements = statements
        self._log = log

    async def begin(self, run: Run) -> Response:
        """Open a transaction at an endpoint.

        Args:
            run: the statement that begins it.

        Returns:
            The answer; nothing is open unless it is a success.

        """
        return await self._statements.run(run, partial(_bind, run))

    async def run(self, session: SessionData, statement: Statement) -> Response:
        """Run a statement of an open transaction, its end among them.

        Args:
            session: whose it is.
            statement: the statement.

        Returns:
            The answer.

        """
        opened = session.transaction
        if opened is None or session.state == SessionState.FAILED:
            return self._end_failed(session, statement)
        opened.wrote = opened.wrote or session.access(statement) == 'write'
        call = StatementCall(statement, session.prepared.get(statement.name))
        deadline = current_time() + opened.route.timeout_s
        term = self._knowledge.proved_term(opened.route.service)
        session.trace = StatementTrace(opened.endpoint, 1, term)
        sent_at = self._knowledge.clock()
        try:
            found = await self._links.run(
                opened.pooled, session.variables, call, deadline
            )
        except EndpointConnectionError as exc:
            return self._lost(session, opened, statement, exc.loss, sent_at)
        if found.answer.state == SessionState.IDLE:
            self._ended(session, opened, statement, found.answer, sent_at)
        return found.answer

    def abandon(self, session: SessionData) -> None:
        """End a transaction without its client; it is rolled back.

        Args:
            session: whose transaction it is.

        """
        if session.transaction is None:
            return
        self._discard(session, session.transaction)

    def _discard(self, session: SessionData, opened: OpenTransaction) -> None:
        session.transaction = None
        opened.pooled.conn.close()
        self._pool.release(opened.endpoint, opened.pooled)

    def _lost(
        self,
        session: SessionData,
        opened: OpenTransaction,
        statement: Statement,
        loss: ResponseLoss,
        sent_at: float,
    ) -> Response:
        self._log.event(
            'transaction_lost',
            request=statement.request_id,
            endpoint=opened.endpoint,
            loss=loss.value,
            wrote=opened.wrote,
        )
        service = opened.route.service
        committing = statement.verb == Verb.COMMIT and opened.wrote
        if committing and loss == ResponseLoss.DEADLINE:
            self._knowledge.record_commit_overdue(
                service, opened.endpoint, sent_at, opened.route.timeout_s
            )
        self._discard(session, opened)
        return lost_transaction_response(
            statement.verb, wrote=opened.wrote, loss=loss
        )

    def _ended(
        self,
        session: SessionData,
        opened: OpenTransaction,
        statement: Statement,
        answer: Response,
        sent_at: float,
    ) -> None:
        session.transaction = None
        changed = opened.pooled.variables != opened.initial_variables
        if changed and statement.verb == Verb.ROLLBACK:
            # Whether a rollback takes variables back is the endpoint's matter.
            opened.pooled.conn.close()
        self._pool.release(opened.endpoint, opened.pooled)
        committed = statement.verb == Verb.COMMIT and answer.ok
        if not (committed and opened.wrote) or answer.position is None:
            return
        service = opened.route.service
        session.record_commit(service, answer.position)
        lead = Primary(service, opened.endpoint, answer.position.term)
        self._knowledge.record_proof(lead, answer.position, sent_at, 'commit')
        self._knowledge.commits.record_acknowledged(
            service, opened.endpoint, sent_at
        )

    def _end_failed(
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


def _bind(run: Run, endpoint: str, pooled: PooledConnection) -> None:
    run.session.transaction = OpenTransaction(
        endpoint,
        pooled,
        run.route,
        run.statement.read_only,
        dict(pooled.variables),
    )
