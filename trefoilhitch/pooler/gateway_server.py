"""Runs statements of other nodes on the connections of this node."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from msgspec import structs
from trio import current_time

from trefoilhitch._generated.peer import (
    AbandonReply,
    AbandonRequest,
    RunReply,
    RunRequest,
)
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.gateway_messages import read_statement, write_reply
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.response import Refusal, SessionState
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    RateExceededError,
    StatementExecutor,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import StatementResult
from trefoilhitch.pooler.transaction_connection import TransactionConnection

# Time beyond the limit for idle transactions after which a transaction whose
# node was lost is rolled back.
ORPHAN_MARGIN_S = 1.0
# Length of the part of transaction ids that tells processes apart.
PROCESS_ID_BYTES = 8
_MS_PER_S = 1000
# Outcomes of statements that did not get as far as the endpoint's queue.
_NOT_TRIED = frozenset(('declined', 'rate_exceeded'))


@dataclass(slots=True)
class _HeldTransaction:
    """A transaction of another node.

    Args:
        conn: its connection.
        expires_at: monotonic time at which it is rolled back if its node
            sends nothing.
        is_running: whether a statement runs at the moment.

    """

    conn: TransactionConnection
    expires_at: float
    is_running: bool = False


class GatewayServer:
    """Runs statements of other nodes and keeps their transactions.

    Args:
        executor: runs statements on this node's connections.
        accepts: returns whether this node is a gateway to an endpoint.
        idle_limit_s: returns how long a transaction may be idle.
        log: records transactions that were rolled back.
        loads: observes the load of endpoints, which replies state; None to
            state nothing.

    """

    def __init__(
        self,
        *,
        executor: StatementExecutor,
        accepts: Callable[[str], bool],
        idle_limit_s: Callable[[], float],
        log: DecisionLog,
        loads: LoadObserver | None = None,
    ) -> None:
        """Start without transactions."""
        self.is_draining = False
        self._executor = executor
        self._accepts = accepts
        self._idle_limit_s = idle_limit_s
        self._log = log
        self._loads = loads
        self._transactions: dict[str, _HeldTransaction] = {}
        # A process that took this one's place must not know its transactions.
        self._process_id = secrets.token_hex(PROCESS_ID_BYTES)
        self._ids = count(1)
        self._running = 0

    @property
    def is_idle(self) -> bool:
        """Whether no statement or transaction of another node is open."""
        return not (self._running or self._transactions)

    async def run(self, message: RunRequest) -> RunReply:
        """Run a statement.

        Args:
            message: message of another node.

        Returns:
            What became of the statement.

        Raises:
            BadRequestError: the message is malformed.

        """
        self._running += 1
        try:
            if message.transaction:
                return await self._run_in_transaction(message)
            return await self._start_observed(message)
        finally:
            self._running -= 1

    def abandon(self, message: AbandonRequest) -> AbandonReply:
        """Roll a transaction back.

        Args:
            message: message of another node.

        Returns:
            The confirmation, also if the transaction is not open any more.

        """
        held = self._transactions.pop(message.transaction, None)
        if held is not None:
            held.conn.discard()
        return AbandonReply()

    def discard_expired(self) -> None:
        """Roll back the transactions whose nodes have sent nothing too long."""
        now = current_time()
        for name, held in list(self._transactions.items()):
            if not held.is_running and held.expires_at <= now:
                self._transactions.pop(name)
                held.conn.discard()
                self._log.event('transaction_expired', transaction=name)

    def discard_all(self) -> None:
        """Roll back all transactions of other nodes that are idle."""
        for name, held in list(self._transactions.items()):
            if not held.is_running:
                self._transactions.pop(name)
                held.conn.discard()

    async def _start_observed(self, message: RunRequest) -> RunReply:
        """Run a first statement; the reply states the endpoint's load."""
        reply = await self._start(message)
        if self._loads is None or reply.outcome in _NOT_TRIED:
            return reply
        if _shows_refusal(reply):
            self._loads.record_refusal(message.endpoint)
        # The position of a response is newer than any that was seen before.
        load = self._loads.report(
            message.endpoint, states_position=reply.position is None
        )
        return structs.replace(reply, load=load)

    async def _start(self, message: RunRequest) -> RunReply:
        if self.is_draining or not self._accepts(message.endpoint):
            return RunReply(outcome='declined')
        admitted = [message.admitted]
        job = StatementJob(
            endpoint=message.endpoint,
            organisation=message.organisation,
            variables=message.variables,
            request=read_statement(message),
            deadline=_deadline(message),
            keeps_connection=message.keeps_connection,
            is_admitted=message.admitted,
            on_admitted=lambda: admitted.append(True),
            priority=message.priority,
        )
        try:
            started = await self._executor.start(job)
        except RateExceededError:
            return RunReply(outcome='rate_exceeded')
        except ConnectionNotOpenedError as exc:
            return _not_opened(exc, admitted=admitted[-1])
        except EndpointConnectionError as exc:
            return _lost(exc, admitted=admitted[-1])
        transaction = ''
        if started.conn is not None:
            transaction = self._hold(started.conn)
        return write_reply(
            started.reply, transaction=transaction, admitted=admitted[-1]
        )

    def _hold(self, conn: TransactionConnection) -> str:
        transaction = f'{next(self._ids)}/{self._process_id}'
        self._transactions[transaction] = _HeldTransaction(conn, self._expiry())
        return transaction

    async def _run_in_transaction(self, message: RunRequest) -> RunReply:
        held = self._transactions.get(message.transaction)
        if held is None or held.is_running:
            return RunReply(
                outcome='lost',
                loss=ResponseLoss.NOT_SENT.value,
                detail='the transaction is not open',
            )
        held.is_running = True
        try:
            reply = await held.conn.run(
                message.variables, read_statement(message), _deadline(message)
            )
        except EndpointConnectionError as exc:
            self._transactions.pop(message.transaction, None)
            held.conn.discard()
            return _lost(exc, admitted=True)
        finally:
            held.is_running = False
        return self._answer(message.transaction, held, reply)

    def _answer(
        self, transaction: str, held: _HeldTransaction, reply: StatementResult
    ) -> RunReply:
        if reply.response.state == SessionState.IDLE:
            self._transactions.pop(transaction, None)
            return write_reply(reply, transaction='', admitted=True)
        held.expires_at = self._expiry()
        return write_reply(reply, transaction=transaction, admitted=True)

    def _expiry(self) -> float:
        return current_time() + self._idle_limit_s() + ORPHAN_MARGIN_S


def _deadline(message: RunRequest) -> float:
    return current_time() + message.timeout_ms / _MS_PER_S


def _shows_refusal(reply: RunReply) -> bool:
    return reply.outcome != 'answered' or reply.refusal == Refusal.BUSY.value


def _not_opened(exc: ConnectionNotOpenedError, *, admitted: bool) -> RunReply:
    if exc.unreachable:
        return RunReply(
            outcome='unreachable', detail=str(exc), admitted=admitted
        )
    if exc.overloaded:
        return RunReply(
            outcome='overloaded', detail=str(exc), admitted=admitted
        )
    if exc.refused:
        return RunReply(outcome='refused', detail=str(exc), admitted=admitted)
    return RunReply(outcome='not_opened', detail=str(exc), admitted=admitted)


def _lost(exc: EndpointConnectionError, *, admitted: bool) -> RunReply:
    return RunReply(
        outcome='lost',
        loss=exc.loss.value,
        detail=str(exc),
        admitted=admitted,
        connection=exc.connection,
    )
