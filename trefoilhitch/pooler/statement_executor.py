"""Runs statements on endpoints, from this node or through another one."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol, Self

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.admission import Admission
from trefoilhitch.pooler.balancing.load_observer import (
    LoadObserver,
    StatementTimes,
)
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.connection_runner import ConnectionRunner
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointOverloadedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from trefoilhitch.pooler.response import SessionState
from trefoilhitch.pooler.statement import Verb
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)
from trefoilhitch.pooler.transaction_connection import TransactionConnection


class RateExceededError(TrefoilhitchError):
    """The rate of the organisation is used up; nothing was sent."""


class GatewayUnavailableError(TrefoilhitchError):
    """No gateway took the statement; nothing was sent to an endpoint."""


class ConnectionNotOpenedError(TrefoilhitchError):
    """No connection to the endpoint was available; nothing was sent.

    Args:
        detail: explanation for people.
        unreachable: whether the endpoint accepted no connection.
        refused: whether the endpoint refused the connection.
        overloaded: whether too many requests wait for one.

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
            overloaded=isinstance(exc, EndpointOverloadedError),
        )


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

    """

    endpoint: str
    organisation: str
    variables: Mapping[str, str]
    request: StatementRequest
    deadline: float
    keeps_connection: bool
    is_admitted: bool
    on_admitted: Callable[[], None]


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
            GatewayUnavailableError: no gateway took the statement.
            ConnectionNotOpenedError: no connection to the endpoint.
            EndpointConnectionError: the response did not arrive completely.

        """


class LocalConnection:
    """A connection of this node that is kept for one transaction.

    Args:
        pool: pool that it belongs to.
        runner: runs statements on it.
        loads: observes the load of the endpoint.
        endpoint: endpoint id.
        pooled: the connection.

    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        runner: ConnectionRunner,
        loads: LoadObserver,
        endpoint: str,
        pooled: PooledConnection,
    ) -> None:
        """Take the connection over."""
        self.endpoint = endpoint
        self._pool = pool
        self._runner = runner
        self._loads = loads
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
        with self._loads.running(self.endpoint):
            reply = await self._runner.run(
                self._pooled, variables, request, deadline
            )
        if reply.response.state == SessionState.IDLE:
            self._end(request.statement.verb)
        return reply

    def discard(self) -> None:
        """Close the connection; the endpoint rolls back."""
        self._pooled.conn.close()
        self._release()

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
            self._pool.release(self.endpoint, self._pooled)


class LocalExecutor:
    """Runs statements on connections of this node.

    Args:
        pool: pool of endpoint connections.
        runner: runs statements on them.
        admission: spends tokens of the organisations' rates.
        loads: observes the load of the endpoints.
        has_left: returns whether an endpoint has been leaving for too long.

    """

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        runner: ConnectionRunner,
        admission: Admission,
        loads: LoadObserver,
        has_left: Callable[[str], bool],
    ) -> None:
        """Store the dependencies."""
        self._has_left = has_left
        self._pool = pool
        self._runner = runner
        self._admission = admission
        self._loads = loads

    async def start(self, job: StatementJob) -> StartedStatement:
        """Run a statement; see `StatementExecutor`."""
        if self._has_left(job.endpoint):
            raise ConnectionNotOpenedError('the endpoint has left')
        await self._admit(job)
        with self._loads.running(job.endpoint) as times:
            return await self._run(job, times)

    async def _run(
        self, job: StatementJob, times: StatementTimes
    ) -> StartedStatement:
        pooled = await self._acquire(job)
        times.mark_sent()
        conn = LocalConnection(
            pool=self._pool,
            runner=self._runner,
            loads=self._loads,
            endpoint=job.endpoint,
            pooled=pooled,
        )
        is_kept = False
        try:
            reply = await self._runner.run(
                pooled, job.variables, job.request, job.deadline
            )
            is_kept = job.keeps_connection and reply.response.ok
        finally:
            if not is_kept:
                self._pool.release(job.endpoint, pooled)
        if reply.response.ok:
            self._loads.record_answer(job.endpoint, job.request, times)
        return StartedStatement(reply, conn if is_kept else None)

    async def _admit(self, job: StatementJob) -> None:
        if job.is_admitted:
            return
        if not await self._admission.admit(job.organisation):
            raise RateExceededError(job.organisation)
        job.on_admitted()

    async def _acquire(self, job: StatementJob) -> PooledConnection:
        try:
            return await self._pool.acquire(
                job.endpoint, job.organisation, job.variables, job.deadline
            )
        except (EndpointRefusedError, EndpointConnectionError) as exc:
            raise ConnectionNotOpenedError.from_failure(exc) from exc
