"""Open transactions, each of which holds one connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from trefoilhitch._generated.endpoint import (
    BeginRequest,
    CommitRequest,
    RunReply,
    RunRequest,
)
from trefoilhitch._generated.peer import (
    Caller,
    ForwardBegin,
    ForwardEnd,
    ForwardStatement,
)
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import Config
from trefoilhitch.connection_pool import ConnectionPool
from trefoilhitch.decimal_text import parse_decimal
from trefoilhitch.endpoint_client import EndpointConnection
from trefoilhitch.errors import BadRequestError, TransactionLostError

_SEPARATOR = '.'
_PART_COUNT = 4


@dataclass(frozen=True, slots=True)
class TransactionId:
    """Identifies a transaction, its owner and the owner's incarnation.

    Args:
        node: name of the owner's node.
        incarnation: incarnation of the owner's node.
        number: number that the owner assigned.
        key: idempotency key of the commit.

    """

    node: str
    incarnation: int
    number: int
    key: str

    @classmethod
    def from_text(cls, text: str) -> 'TransactionId':
        """Parse a transaction id.

        Args:
            text: id as a client sent it.

        Returns:
            The id.

        Raises:
            BadRequestError: the text is not a transaction id.

        """
        parts = text.split(_SEPARATOR, _PART_COUNT - 1)
        if len(parts) != _PART_COUNT:
            raise BadRequestError('not a transaction id')
        node, incarnation, number, key = parts
        started = parse_decimal(incarnation)
        counted = parse_decimal(number)
        if started is None or counted is None:
            raise BadRequestError('not a transaction id')
        return cls(node, started, counted, key)

    def __str__(self) -> str:
        """Return the id as it is sent to clients."""
        return f'{self.node}.{self.incarnation}.{self.number}.{self.key}'


@dataclass(slots=True)
class _OpenTransaction:
    caller: Caller
    pool: ConnectionPool
    conn: EndpointConnection
    request: str
    term: int
    expires_at: float
    idle_expires_at: float
    busy: bool = False

    def has_expired(self, now: float) -> bool:
        """Return whether the transaction has been open or idle too long."""
        idle = not self.busy and now >= self.idle_expires_at
        return idle or now >= self.expires_at


class TransactionTable:
    """Table of the transactions that are open on a node.

    Args:
        node: name of the node.
        incarnation: incarnation of the node.
        max_duration_ms: longest time that a transaction may stay open.
        max_idle_ms: longest time between two requests of a transaction.

    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        max_duration_ms: int,
        max_idle_ms: int,
    ) -> None:
        """Start with no open transactions."""
        self._node = node
        self._incarnation = incarnation
        self._max_duration_ms = max_duration_ms
        self._max_idle_ms = max_idle_ms
        self._last_number = 0
        self._transactions: dict[str, _OpenTransaction] = {}

    def __len__(self) -> int:
        """Return the number of open transactions."""
        return len(self._transactions)

    async def begin(self, pool: ConnectionPool, fwd: ForwardBegin) -> str:
        """Open a transaction on a connection of its own.

        Args:
            pool: connections to the endpoint.
            fwd: forwarded request.

        Returns:
            The transaction's id.

        Raises:
            RefusalError: no transaction was opened.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        conn = await pool.acquire(fwd.caller.organisation, deadline)
        reply = None
        try:
            reply = await conn.begin(BeginRequest(term=fwd.term), deadline)
        finally:
            if reply is None:
                conn.close()
                pool.release(conn)
        self._last_number += 1
        _, _, key = fwd.request.partition(':')
        transaction_id = str(
            TransactionId(
                self._node, self._incarnation, self._last_number, key
            ),
        )
        self._transactions[transaction_id] = _OpenTransaction(
            caller=fwd.caller,
            pool=pool,
            conn=conn,
            request=fwd.request,
            term=fwd.term,
            expires_at=deadline_after_ms(self._max_duration_ms),
            idle_expires_at=deadline_after_ms(self._max_idle_ms),
        )
        return transaction_id

    async def run(
        self,
        fwd: ForwardStatement,
        req: RunRequest,
        deadline: float,
    ) -> RunReply:
        """Run a statement in a transaction.

        Args:
            fwd: forwarded request, which names the transaction and the caller.
            req: statement to send to the endpoint.
            deadline: monotonic time.

        Returns:
            The endpoint's reply.

        Raises:
            RefusalError: it did not run, or the transaction is lost.

        """
        with self._acquire(fwd.transaction, fwd.caller) as transaction:
            return await transaction.conn.run(
                _with_term(req, transaction.term), deadline
            )

    async def end(
        self, fwd: ForwardEnd, deadline: float
    ) -> tuple[str, RunReply]:
        """Commit or roll back a transaction.

        Args:
            fwd: forwarded request, which names the transaction and the caller.
            deadline: monotonic time.

        Returns:
            The endpoint's name and its reply.

        Raises:
            RefusalError: the transaction is not open, or its outcome is
                unknown.

        """
        with self._acquire(fwd.transaction, fwd.caller) as transaction:
            reply = None
            try:
                reply = await _end(transaction, deadline, commit=fwd.commit)
            finally:
                self._remove(
                    fwd.transaction, transaction, clean=reply is not None
                )
            return transaction.pool.endpoint.name, reply

    def sweep(self, cfg: Config, now: float) -> None:
        """Roll back transactions that expired or whose key was withdrawn.

        Args:
            cfg: configuration in force.
            now: monotonic time.

        """
        for transaction_id, transaction in list(self._transactions.items()):
            if transaction.has_expired(now) or not cfg.allows(
                transaction.caller
            ):
                self._abort(transaction_id)

    def close(self) -> None:
        """Roll back all transactions."""
        for transaction_id in list(self._transactions):
            self._abort(transaction_id)

    @contextmanager
    def _acquire(
        self, transaction_id: str, caller: Caller
    ) -> Iterator[_OpenTransaction]:
        transaction = self._transactions.get(transaction_id)
        if (
            transaction is None
            or transaction.caller.organisation != caller.organisation
        ):
            raise TransactionLostError('the transaction is not open here')
        if transaction.busy:
            raise BadRequestError(
                'the transaction is busy with another request'
            )
        transaction.busy = True
        try:
            yield transaction
        finally:
            self._release(transaction_id, transaction)

    def _release(
        self, transaction_id: str, transaction: _OpenTransaction
    ) -> None:
        transaction.busy = False
        transaction.idle_expires_at = deadline_after_ms(self._max_idle_ms)
        if transaction.conn.closed:
            self._abort(transaction_id)

    def _remove(
        self, transaction_id: str, transaction: _OpenTransaction, *, clean: bool
    ) -> None:
        if not clean:
            transaction.conn.close()
        self._transactions.pop(transaction_id)
        transaction.pool.release(transaction.conn)

    def _abort(self, transaction_id: str) -> None:
        transaction = self._transactions.get(transaction_id)
        if transaction is None:
            return
        transaction.conn.close()
        if not transaction.busy:
            self._transactions.pop(transaction_id)
            transaction.pool.release(transaction.conn)


async def _end(
    transaction: _OpenTransaction, deadline: float, *, commit: bool
) -> RunReply:
    if not commit:
        return await transaction.conn.rollback(
            BeginRequest(term=transaction.term), deadline
        )
    req = CommitRequest(
        term=transaction.term,
        request=transaction.request,
        organisation=transaction.caller.organisation,
    )
    return await transaction.conn.commit(req, deadline)


def _with_term(req: RunRequest, term: int) -> RunRequest:
    return RunRequest(
        sql=req.sql,
        term=term,
        args=req.args,
        access=req.access,
        in_transaction=True,
    )
