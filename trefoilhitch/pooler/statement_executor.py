"""Runs statements on endpoints, from this node or through another one."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol, Self, TypeVar

from trio import current_time

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.admission import Admission, AdmittedOperation
from trefoilhitch.pooler.balancing.load_observer import (
    LoadObserver,
    StatementTimes,
)
from trefoilhitch.pooler.circuit_breakers import CircuitBreakers
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.connection_runner import ConnectionRunner
from trefoilhitch.pooler.evacuation.evacuated_endpoints import (
    EvacuatedEndpoints,
)
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointEvacuatedError,
    EndpointOverloadedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from trefoilhitch.pooler.response import SessionState
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    StatementScheduler,
    TurnRequest,
)
from trefoilhitch.pooler.scheduling.turn import Turn, run_in_turn
from trefoilhitch.pooler.statement import Verb
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)
from trefoilhitch.pooler.transaction_connection import TransactionConnection

StepT = TypeVar('StepT')


class RateExceededError(TrefoilhitchError):
    """The rate of the organisation is used up; nothing was sent."""


class StatementTooLargeError(TrefoilhitchError):
    """The statement and its session do not fit in one message to a gateway.

    Nothing was sent, and sending it again cannot succeed.
    """


class StatementNotSentError(TrefoilhitchError):
    """The statement was not sent to an endpoint."""


class GatewayUnavailableError(StatementNotSentError):
    """No gateway took the statement; nothing was sent to an endpoint."""


class PrimaryUnconfirmedError(StatementNotSentError):
    """No replica confirmed the primary; nothing was sent to it."""


class ConnectionNotOpenedError(TrefoilhitchError):
    """No connection to the endpoint was available; nothing was sent.

    Args:
        detail: explanation for people.
        unreachable: whether the endpoint accepted no connection.
        refused: whether the endpoint refused the connection.
        overloaded: whether too many requests wait for one, or the endpoint
            is evacuated.

    """

    def __init__(
        self,
        detail: str,
        *,
        unreachable: bool = False,
        refused: bool = False,
        overloaded: bool = False,
    ) -> None:
        """Store the reasons."""
        super().__init__(detail)
        self.unreachable = unreachable
        self.refused = refused
        self.overloaded = overloaded

    @classmethod
    def from_failure(cls, exc: TrefoilhitchError) -> Self:
        """Classify the failure of a pool to provide a connection.

        Args:
            exc: the failure.

        Returns:
            The error for the statement.

        """
        return cls(
            str(exc),
            unreachable=isinstance(exc, EndpointUnreachableError),
            refused=isinstance(exc, EndpointRefusedError),
            overloaded=isinstance(
                exc, (EndpointOverloadedError, EndpointEvacuatedError)
            ),
        )


def statement_kind(priority: int, request: StatementRequest) -> str:
    """Return the kind of a statement; those of a kind take about as long.

    Args:
        priority: priority of its route.
        request: the statement.

    """
    return f'{priority}/{request.kind}'


@dataclass(frozen=True, slots=True)
class StatementJob:
    """The first statement of an operation, as one attempt sends it.

    Args:
        endpoint: endpoint id.
        organisation: organisation that it runs for.
        variables: session variables that have to be set.
        request: the statement.
        deadline: monotonic time.
        keeps_connection: whether the connection is kept if it succeeds.
        is_admitted: whether an earlier attempt spent a token for it.
        on_admitted: called when a token was spent for it.
        priority: priority of its route, of which 0 is the highest.

    """

    endpoint: str
    organisation: str
    variables: Mapping[str, str]
    request: StatementRequest
    deadline: float
    keeps_connection: bool
    is_admitted: bool
    on_admitted: Callable[[], None]
    priority: int = 0

    @property
    def kind(self) -> str:
        """Kind of the statement; those of a kind take about as long."""
        return statement_kind(self.priority, self.request)


@dataclass(frozen=True, slots=True)
class StartedStatement:
    """Outcome of the first statement of an operation.

    Args:
        reply: what the endpoint returned.
        conn: the connection, if it was kept.

    """

    reply: StatementResult
    conn: TransactionConnection | None = None


class StatementExecutor(Protocol):
    """Runs the first statement of operations on endpoints."""

    async def start(self, job: StatementJob) -> StartedStatement:
        """Run a statement on a connection to its endpoint.

        Args:
            job: the statement.

        Returns:
            What the endpoint returned, and the connection if it is kept.

        Raises:
            RateExceededError: the organisation's rate is used up.
            StatementTooLargeError: it is too large for a gateway.
            GatewayUnavailableError: no gateway took the statement.
            ConnectionNotOpenedError: no connection to the endpoint.
            EndpointConnectionError: the response did not arrive completely.

        """


class LocalConnection:
    """A connection of this node that is kept for one transaction.

    Args:
        pool: pool that it belongs to.
        runner: runs statements on it.
        scheduler: counts the statements in flight.
        loads: observes the load of the endpoint.
        job: the first statement of the transaction.
        pooled: the connection.
        on_end: called when the transaction has ended.

    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        runner: ConnectionRunner,
        scheduler: StatementScheduler,
        loads: LoadObserver,
        job: StatementJob,
        pooled: PooledConnection,
        on_end: Callable[['LocalConnection'], None],
    ) -> None:
        """Take the connection over."""
        self.endpoint = job.endpoint
        self.is_running = False
        self._on_end = on_end
        self._loads = loads
        self._priority = job.priority
        self._scheduler = scheduler
        self._pool = pool
        self._runner = runner
        self._pooled = pooled
        self._initial_variables = dict(pooled.variables)
        self._is_released = False

    async def run(
        self,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        """Run a statement; give the connection back if the transaction ends.

        Args:
            variables: variables of the session.
            request: the statement.
            deadline: monotonic time.

        Returns:
            What the endpoint returned.

        Raises:
            EndpointConnectionError: the response did not arrive completely.

        """
        if self._is_released:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'the transaction was rolled back'
            )
        send = partial(
            self._runner.run, self._pooled, variables, request, deadline
        )
        kind = statement_kind(self._priority, request)
        self.is_running = True
        try:
            with self._loads.running(self.endpoint):
                reply = await self._run_counted(kind, send)
        finally:
            self.is_running = False
        self._loads.record_position(self.endpoint, reply.response)
        if reply.response.state == SessionState.IDLE:
            self._end(request.statement.verb)
        return reply

    def discard(self) -> None:
        """Close the connection; the endpoint rolls back."""
        self._pooled.conn.close()
        self._release()

    async def _run_counted(
        self, kind: str, send: Callable[[], Awaitable[StatementResult]]
    ) -> StatementResult:
        with self._scheduler.begin_in_transaction(self.endpoint, kind) as turn:
            return await run_in_turn(turn, send)

    def _end(self, verb: Verb) -> None:
        changed = self._pooled.variables != self._initial_variables
        if changed and verb == Verb.ROLLBACK:
            # Whether a rollback restores variables depends on the endpoint, so
            # the connection is not reused.
            self._pooled.conn.close()
        self._release()

    def _release(self) -> None:
        if not self._is_released:
            self._is_released = True
            self._on_end(self)
            self._pool.release(self.endpoint, self._pooled)


class LocalExecutor:
    """Runs statements on connections of this node.

    Args:
        pool: pool of endpoint connections.
        runner: runs statements on them.
        admission: spends tokens of the organisations' rates.
        scheduler: decides when statements are sent.
        loads: observes the load of the endpoints.
        has_left: returns whether an endpoint has been leaving for too long.
        evacuated: tells which endpoints are evacuated.

    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        runner: ConnectionRunner,
        admission: Admission,
        scheduler: StatementScheduler,
        loads: LoadObserver,
        has_left: Callable[[str], bool],
        evacuated: EvacuatedEndpoints,
    ) -> None:
        """Store the dependencies."""
        self._evacuated = evacuated
        self._open: set[LocalConnection] = set()
        self._circuits = CircuitBreakers()
        self._has_left = has_left
        self._pool = pool
        self._runner = runner
        self._admission = admission
        self._scheduler = scheduler
        self._loads = loads

    async def start(self, job: StatementJob) -> StartedStatement:
        """Run a statement; see `StatementExecutor`."""
        self._check_in_service(job)
        # No token is spent on a statement that could not run in time.
        self._check_wait(job)
        admitted = await self._admit(job)
        with self._loads.running(job.endpoint) as times:
            started = await self._start_admitted(job, admitted, times)
            response = started.reply.response
            self._loads.record_position(
                job.endpoint, response, job.request.minimum_position
            )
            if response.ok:
                self._loads.record_answer(job.endpoint, job.request, times)
            return started

    def end_transactions(self) -> None:
        """Roll back idle transactions on endpoints that may have none."""
        for conn in list(self._open):
            is_ended = self._evacuated.excludes_transactions(conn.endpoint)
            if is_ended and not conn.is_running:
                conn.discard()

    async def _start_admitted(
        self,
        job: StatementJob,
        admitted: AdmittedOperation,
        times: StatementTimes,
    ) -> StartedStatement:
        turn = await self._refund_unless_done(
            job, admitted, partial(self._wait_for_turn, job)
        )
        with turn:
            pooled = await self._refund_unless_done(
                job, admitted, partial(self._acquire, job)
            )
            times.mark_sent()
            if not job.is_admitted:
                job.on_admitted()
            return await self._run(job, pooled, turn)

    async def _run(
        self, job: StatementJob, pooled: PooledConnection, turn: Turn
    ) -> StartedStatement:
        conn = LocalConnection(
            pool=self._pool,
            runner=self._runner,
            scheduler=self._scheduler,
            loads=self._loads,
            job=job,
            pooled=pooled,
            on_end=self._open.discard,
        )
        is_kept = False
        try:
            reply = await self._send(job, pooled, turn)
            is_kept = job.keeps_connection and reply.response.ok
        finally:
            if not is_kept:
                self._pool.release(job.endpoint, pooled)
        if not is_kept:
            return StartedStatement(reply)
        self._open.add(conn)
        return StartedStatement(reply, conn)

    async def _send(
        self, job: StatementJob, pooled: PooledConnection, turn: Turn
    ) -> StatementResult:
        # The wait for the connection may have been long.
        self._check_in_service(job)
        send = partial(
            self._runner.run, pooled, job.variables, job.request, job.deadline
        )
        try:
            return await run_in_turn(turn, send)
        except EndpointEvacuatedError as exc:
            raise ConnectionNotOpenedError.from_failure(exc) from exc

    def _check_in_service(self, job: StatementJob) -> None:
        if self._has_left(job.endpoint):
            raise ConnectionNotOpenedError('the endpoint has left')
        if self._evacuated.excludes(job.endpoint):
            raise ConnectionNotOpenedError(
                'the data centre is evacuated', overloaded=True
            )

    def _check_wait(self, job: StatementJob) -> None:
        try:
            self._scheduler.check(_turn_request(job))
        except EndpointConnectionError as exc:
            raise ConnectionNotOpenedError.from_failure(exc) from exc

    async def _wait_for_turn(self, job: StatementJob) -> Turn:
        try:
            return await self._scheduler.acquire(_turn_request(job))
        except EndpointConnectionError as exc:
            raise ConnectionNotOpenedError.from_failure(exc) from exc

    async def _admit(self, job: StatementJob) -> AdmittedOperation:
        if job.is_admitted:
            return AdmittedOperation()
        admitted = await self._admission.admit(job.organisation, job.priority)
        if admitted is None:
            raise RateExceededError(job.organisation)
        return admitted

    async def _refund_unless_done(
        self,
        job: StatementJob,
        admitted: AdmittedOperation,
        step: Callable[[], Awaitable[StepT]],
    ) -> StepT:
        """Run a step; a statement that is refused in it costs no token."""
        try:
            return await step()
        except ConnectionNotOpenedError as exc:
            is_refunded = exc.overloaded and admitted.refund()
            if not (is_refunded or job.is_admitted):
                job.on_admitted()
            raise

    async def _acquire(self, job: StatementJob) -> PooledConnection:
        # The endpoint may have left during the wait for a turn.
        self._check_in_service(job)
        try:
            pooled = await self._pool.acquire(
                job.endpoint,
                job.organisation,
                job.variables,
                job.deadline,
                job.priority,
            )
        except (EndpointRefusedError, EndpointConnectionError) as exc:
            self._reject_waiters_if_unreachable(job.endpoint, exc)
            raise ConnectionNotOpenedError.from_failure(exc) from exc
        self._circuits.record_success(job.endpoint)
        return pooled

    def _reject_waiters_if_unreachable(
        self, endpoint: str, exc: TrefoilhitchError
    ) -> None:
        """Reject those that would wait one after the other for a time-out."""
        if not isinstance(exc, EndpointUnreachableError):
            return
        if self._circuits.record_failure(endpoint, current_time()):
            self._scheduler.reject_waiters(endpoint)
            self._pool.reject_waiters(endpoint)


def _turn_request(job: StatementJob) -> TurnRequest:
    return TurnRequest(
        job.endpoint, job.organisation, job.priority, job.kind, job.deadline
    )
