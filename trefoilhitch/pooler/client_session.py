"""Client sessions: authorisation, admission and dispatch of statements."""

from dataclasses import dataclass

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.authorisation import Access, authorise
from trefoilhitch.pooler.catalogue import Route
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
    success_response,
)
from trefoilhitch.pooler.session import SessionData, StatementTrace
from trefoilhitch.pooler.statement import SessionStart, Statement, Verb
from trefoilhitch.pooler.statement_records import (
    UNSENDABLE_STATEMENTS,
    describe_execution,
)
from trefoilhitch.pooler.statement_run import StatementRun
from trefoilhitch.pooler.statement_runner import StatementRunner
from trefoilhitch.pooler.transaction_runner import TransactionRunner

_MS_PER_S = 1000
_LOCAL_VERBS = frozenset((Verb.SET, Verb.PREPARE, Verb.DEALLOCATE))
_END_VERBS = frozenset((Verb.COMMIT, Verb.ROLLBACK))


@dataclass(frozen=True, slots=True)
class SessionDependencies:
    """Dependencies that all sessions of a node share.

    Args:
        declaration: holds the catalogue in force.
        cluster: known endpoints and primaries.
        statements: runs single statements.
        transactions: runs transactions.
        log: records each statement.
        metrics: counts statements and measures their latency.

    """

    declaration: CurrentDeclaration
    cluster: ClusterState
    statements: StatementRunner
    transactions: TransactionRunner
    log: DecisionLog
    metrics: Metrics


class ClientSession:
    """Runs the statements of one client, one after the other.

    Args:
        deps: dependencies that all sessions share.
        session: state of the session.

    """

    def __init__(self, deps: SessionDependencies, session: SessionData) -> None:
        """Store the dependencies and the session's state."""
        self._deps = deps
        self._session = session

    @classmethod
    def open(
        cls, deps: SessionDependencies, start: SessionStart
    ) -> 'ClientSession | Refusal':
        """Open a session.

        Args:
            deps: dependencies that all sessions share.
            start: the client's first message.

        Returns:
            The session, or the reason for refusal.

        """
        catalogue = deps.declaration.catalogue
        if catalogue is None:
            return Refusal.BUSY
        found = authorise(catalogue, start)
        if isinstance(found, Refusal):
            return found
        return cls(
            deps, SessionData(start.database, found.organisation, start.key)
        )

    @property
    def in_transaction(self) -> bool:
        """Whether the client still has to end a transaction."""
        return self._session.state != SessionState.IDLE

    def abandon_transaction(self) -> None:
        """Roll back an open transaction; the next statement reports it."""
        if self._session.transaction is not None:
            self._deps.transactions.abandon(self._session)
            self._session.state = SessionState.FAILED

    def close(self) -> None:
        """Roll back the transaction that the client left open."""
        self._deps.transactions.abandon(self._session)

    async def run(self, statement: Statement) -> Response:
        """Run a statement.

        Args:
            statement: the client's statement.

        Returns:
            The response, with the session's state after the statement.

        """
        started_at = current_time()
        self._session.trace = StatementTrace()
        session = self._session
        try:
            response = await self._run(statement)
        except BaseException:
            session.state = SessionState.FAILED
            raise
        session.state = response.state
        took_s = current_time() - started_at
        if statement.verb not in _LOCAL_VERBS:
            self._deps.metrics.observe(took_s)
            self._log_statement(statement, response, took_s)
        return response

    def refuse(self, statement: Statement, detail: str) -> Response:
        """Refuse a statement that no endpoint can be sent.

        Args:
            statement: the client's statement.
            detail: explanation for people.

        Returns:
            The response; the session's state stays as it is.

        """
        self._session.trace = StatementTrace()
        self._deps.metrics.count(UNSENDABLE_STATEMENTS)
        response = refusal_response(
            Refusal.MALFORMED, detail, self._session.state
        )
        self._log_statement(statement, response, 0)
        return response

    async def _run(self, statement: Statement) -> Response:
        found = self._authorise()
        if isinstance(found, Refusal):
            return self._refuse_access(statement, found)
        if statement.verb in _LOCAL_VERBS:
            return self._run_local(statement)
        if self.in_transaction:
            return await self._run_in_transaction(statement)
        return await self._run_operation(statement, found.route)

    async def _run_operation(
        self, statement: Statement, route: Route
    ) -> Response:
        if statement.verb in _END_VERBS:
            return success_response(SessionState.IDLE)
        if self._session.access(statement) is None:
            return refusal_response(Refusal.UNKNOWN_STATEMENT, statement.name)
        deps = self._deps
        run = StatementRun.from_statement(self._session, statement, route)
        if statement.verb == Verb.BEGIN:
            return await deps.transactions.begin(run)
        return await deps.statements.run(run)

    async def _run_in_transaction(self, statement: Statement) -> Response:
        session = self._session
        if statement.verb == Verb.BEGIN:
            return refusal_response(
                Refusal.MALFORMED, 'a transaction is open', session.state
            )
        if session.access(statement) is None:
            return refusal_response(
                Refusal.UNKNOWN_STATEMENT, statement.name, session.state
            )
        return await self._deps.transactions.run(session, statement)

    def _authorise(self) -> Access | Refusal:
        catalogue = self._deps.declaration.catalogue
        if catalogue is None:
            return Refusal.BUSY
        session = self._session
        transaction = session.transaction
        found = authorise(
            catalogue,
            SessionStart(session.database, session.key),
            transaction.route if transaction else None,
        )
        if isinstance(found, Refusal):
            return found
        if found.organisation != session.organisation:
            return Refusal.UNAUTHORISED
        return found

    def _refuse_access(
        self, statement: Statement, refusal: Refusal
    ) -> Response:
        self._deps.transactions.abandon(self._session)
        ends = statement.verb in _END_VERBS or not self.in_transaction
        state = SessionState.IDLE if ends else SessionState.FAILED
        return refusal_response(refusal, refusal.value, state)

    def _run_local(self, statement: Statement) -> Response:
        session = self._session
        if session.state == SessionState.FAILED:
            return refusal_response(
                Refusal.MALFORMED,
                'the transaction failed and has to be rolled back',
                session.state,
            )
        if statement.verb == Verb.DEALLOCATE:
            if session.deallocate(statement.name):
                return success_response(session.state)
            return refusal_response(
                Refusal.UNKNOWN_STATEMENT, statement.name, session.state
            )
        if _store(session, statement):
            return success_response(session.state)
        return refusal_response(
            Refusal.MALFORMED, 'the session holds too much text', session.state
        )

    def _log_statement(
        self, statement: Statement, response: Response, took_s: float
    ) -> None:
        deps = self._deps
        trace = self._session.trace
        outcome = response.refusal.value if response.refusal else 'ok'
        deps.metrics.count('statements', outcome)
        deps.log.event(
            'statement',
            request=statement.request_id,
            verb=statement.verb.value,
            database=self._session.database,
            organisation=self._session.organisation,
            revision=deps.declaration.revision,
            access=self._session.access(statement),
            endpoint=trace.endpoint,
            choice=trace.choice,
            attempts=trace.attempts,
            term=trace.term,
            proof_age_ms=trace.proof_age_ms,
            outcome=outcome,
            detail=response.detail,
            took_ms=round(took_s * _MS_PER_S, 1),
            **self._describe_run(statement),
        )

    def _describe_run(self, statement: Statement) -> dict[str, str]:
        """Return what only some statements have: connection and names."""
        session = self._session
        described = {}
        if session.trace.connection:
            described['connection'] = session.trace.connection
        if statement.verb == Verb.EXECUTE:
            prepared = session.prepared.get(statement.name)
            described.update(describe_execution(statement.name, prepared))
        return described


def _store(session: SessionData, statement: Statement) -> bool:
    """Store what SET or PREPARE states; return False if it is too much."""
    if statement.prepared is None:
        return session.set_variable(statement.name, statement.argument)
    return session.prepare(statement.name, statement.prepared)
