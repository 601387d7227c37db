"""A client's session: who it is, what it may do, and where statements go."""

from dataclasses import dataclass

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import Admission
from trefoilhitch.pooler.catalogue import Catalogue, Route
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
    success_response,
)
from trefoilhitch.pooler.run import Run
from trefoilhitch.pooler.session import SessionData, StatementTrace
from trefoilhitch.pooler.statement import SessionStart, Statement, Verb
from trefoilhitch.pooler.statement_runner import StatementRunner
from trefoilhitch.pooler.transaction_runner import TransactionRunner

PUBLIC_ORGANISATION = 'public'
_MS_PER_S = 1000
_LOCAL = frozenset((Verb.SET, Verb.PREPARE, Verb.DEALLOCATE))
_ENDS = frozenset((Verb.COMMIT, Verb.ROLLBACK))


@dataclass(frozen=True, slots=True)
class SessionParts:
    """What all sessions of a node share.

    Args:
        declared: the catalogue in force.
        admission: admits operations within rates.
        knowledge: endpoints and leads.
        statements: runs single statements.
        transactions: runs transactions.
        log: takes note of decisions.
        metrics: counts and measures.

    """

    declared: CurrentDeclaration
    admission: Admission
    knowledge: ClusterState
    statements: StatementRunner
    transactions: TransactionRunner
    log: DecisionLog
    metrics: Metrics


def authorise(
    catalogue: Catalogue, database: str, key: str
) -> Refusal | tuple[Route, str]:
    """Find the route of a database and the organisation of a key.

    Args:
        catalogue: what is declared.
        database: name that the client connects to.
        key: the client's key, empty if it sent none.

    Returns:
        Route and organisation, or why there is none.

    """
    route = catalogue.routes.get(database)
    if route is None:
        return Refusal.UNKNOWN_DATABASE
    organisation = catalogue.keys.get(key)
    if organisation is not None:
        return route, organisation
    if route.public:
        return route, PUBLIC_ORGANISATION
    return Refusal.UNAUTHORISED


class ClientSession:
    """Answers the statements of one client, one after the other.

    Args:
        parts: what all sessions share.
        held: what the session holds.

    """

    def __init__(self, parts: SessionParts, held: SessionData) -> None:
        """Keep the session's held."""
        self._parts = parts
        self._held = held

    @classmethod
    def open(
        cls, parts: SessionParts, start: SessionStart
    ) -> 'ClientSession | Refusal':
        """Open a session.

        Args:
            parts: what all sessions share.
            start: the client's first message.

        Returns:
            The session, or why it is refused.

        """
        catalogue = parts.declared.catalogue
        if catalogue is None:
            return Refusal.BUSY
        found = authorise(catalogue, start.database, start.key)
        if isinstance(found, Refusal):
            return found
        _, organisation = found
        return cls(parts, SessionData(start.database, organisation, start.key))

    @property
    def in_transaction(self) -> bool:
        """Whether the client has a transaction to end."""
        return self._held.state != SessionState.IDLE

    def abandon_transaction(self) -> None:
        """Roll an open transaction back; the client learns it by its next."""
        if self._held.transaction is not None:
            self._parts.transactions.abandon(self._held)
            self._held.state = SessionState.FAILED

    def close(self) -> None:
        """Roll back what the client left open."""
        self._parts.transactions.abandon(self._held)

    async def run(self, statement: Statement) -> Response:
        """Answer a statement.

        Args:
            statement: the statement.

        Returns:
            The answer, in the state that the session is in afterwards.

        """
        began = current_time()
        self._held.trace = StatementTrace()
        held = self._held
        try:
            answer = await self._run(statement)
        except BaseException:
            held.state = SessionState.FAILED
            raise
        held.state = answer.state
        took_s = current_time() - began
        if statement.verb not in _LOCAL:
            self._parts.metrics.observe(took_s)
            self._note(statement, answer, took_s)
        return answer

    async def _run(self, statement: Statement) -> Response:
        found = self._authorise()
        if isinstance(found, Refusal):
            return self._forbid(statement, found)
        if statement.verb in _LOCAL:
            return self._run_local(statement)
        if self.in_transaction:
            return await self._run_in_transaction(statement)
        return await self._run_operation(statement, found)

    async def _run_operation(
        self, statement: Statement, route: Route
    ) -> Response:
        if statement.verb in _ENDS:
            return success_response(SessionState.IDLE)
        if self._held.access(statement) is None:
            return refusal_response(Refusal.UNKNOWN_STATEMENT, statement.name)
        parts = self._parts
        if not await parts.admission.admit(self._held.organisation):
            return refusal_response(
                Refusal.BUSY, 'the rate of the organisation is used up'
            )
        run = Run.from_statement(self._held, statement, route)
        if statement.verb == Verb.BEGIN:
            return await parts.transactions.begin(run)
        return await parts.statements.run(run)

    async def _run_in_transaction(self, statement: Statement) -> Response:
        held = self._held
        if statement.verb == Verb.BEGIN:
            return refusal_response(
                Refusal.MALFORMED, 'a transaction is open', held.state
            )
        if held.access(statement) is None:
            return refusal_response(
                Refusal.UNKNOWN_STATEMENT, statement.name, held.state
            )
        return await self._parts.transactions.run(held, statement)

    def _authorise(self) -> Route | Refusal:
        catalogue = self._parts.declared.catalogue
        if catalogue is None:
            return Refusal.BUSY
        held = self._held
        opened = held.transaction
        found = authorise(catalogue, held.database, held.key)
        if found == Refusal.UNKNOWN_DATABASE and opened is not None:
            # A transaction ends by the route under which it began.
            return opened.route
        if isinstance(found, Refusal):
            return found
        route, organisation = found
        if organisation != held.organisation:
            return Refusal.UNAUTHORISED
        return route

    def _forbid(self, statement: Statement, refusal: Refusal) -> Response:
        self._parts.transactions.abandon(self._held)
        ends = statement.verb in _ENDS or not self.in_transaction
        state = SessionState.IDLE if ends else SessionState.FAILED
        return refusal_response(refusal, refusal.value, state)

    def _run_local(self, statement: Statement) -> Response:
        held = self._held
        if held.state == SessionState.FAILED:
            return refusal_response(
                Refusal.MALFORMED,
                'the transaction failed and has to be rolled back',
                held.state,
            )
        if statement.verb == Verb.SET:
            held.variables[statement.name] = statement.argument
        elif statement.verb == Verb.PREPARE and statement.prepared is not None:
            held.prepared[statement.name] = statement.prepared
        elif held.prepared.pop(statement.name, None) is None:
            return refusal_response(
                Refusal.UNKNOWN_STATEMENT, statement.name, held.state
            )
        return success_response(held.state)

    def _note(
        self, statement: Statement, answer: Response, took_s: float
    ) -> None:
        parts = self._parts
        trace = self._held.trace
        outcome = answer.refusal.value if answer.refusal else 'ok'
        parts.metrics.count('statements', outcome)
        parts.log.event(
            'statement',
            request=statement.request_id,
            verb=statement.verb.value,
            database=self._held.database,
            organisation=self._held.organisation,
            revision=parts.declared.revision,
            endpoint=trace.endpoint,
            attempts=trace.attempts,
            term=trace.term,
            proof_age_ms=trace.proof_age_ms,
            outcome=outcome,
            detail=answer.detail,
            took_ms=round(took_s * _MS_PER_S, 1),
        )
