"""Open transactions: each pinned to one connection."""

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
from trefoilhitch.endpoint_client import EndpointConnection
from trefoilhitch.errors import BadRequestError, TransactionLostError
from trefoilhitch.pool import EndpointPool

_SEPARATOR = '.'
_PARTS = 4


@dataclass(frozen=True, slots=True)
class TransactionId:
    """Names a transaction, its owner and the owner's incarnation.

    Args:
        node: name of the owner.
        incarnation: the owner's incarnation.
        number: number that the owner gave.
        key: idempotency key of the later commit.

    """

    node: str
    incarnation: int
    number: int
    key: str

    @classmethod
    def from_text(cls, text: str) -> 'TransactionId':
        """Read an id.

        Args:
            text: what a caller sent.

        Returns:
            The id.

        Raises:
            BadRequestError: it is not one.

        """
        parts = text.split(_SEPARATOR, _PARTS - 1)
        if len(parts) != _PARTS:
            raise BadRequestError('not a transaction id')
        node, incarnation, number, key = parts
        if not (incarnation.isdecimal() and number.isdecimal()):
            raise BadRequestError('not a transaction id')
        return cls(node, int(incarnation), int(number), key)

    def __str__(self) -> str:
        """Return the text that callers see."""
        return f'{self.node}.{self.incarnation}.{self.number}.{self.key}'


@dataclass(slots=True)
class _Open:
    caller: Caller
    pool: EndpointPool
    conn: EndpointConnection
    request: str
    term: int
    expires_at: float
    idle_until: float
    busy: bool = False

    def is_over(self, now: float) -> bool:
        """Tell whether the transaction has been open or idle for too long."""
        idle = not self.busy and now >= self.idle_until
        return idle or now >= self.expires_at


class Transactions:
    """The transactions that are open at an owner.

    Args:
        node: name of the owner.
        incarnation: its incarnation.
        life_ms: longest life of a transaction.
        idle_ms: longest time between two requests of a transaction.

    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        life_ms: int,
        idle_ms: int,
    ) -> None:
        """Start with none."""
        self._node = node
        self._incarnation = incarnation
        self._life_ms = life_ms
        self._idle_ms = idle_ms
        self._number = 0
        self._open: dict[str, _Open] = {}

    def __len__(self) -> int:
        """Return how many are open."""
        return len(self._open)

    async def begin(self, pool: EndpointPool, fwd: ForwardBegin) -> str:
        """Open a transaction on a connection of its own.

        Args:
            pool: the endpoint's slots.
            fwd: for whom, in which term.

        Returns:
            The transaction's id.

        Raises:
            RefusalError: none was opened.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        conn = await pool.take(fwd.caller.organisation, deadline)
        begun = None
        try:
            begun = await conn.begin(BeginRequest(term=fwd.term), deadline)
        finally:
            if begun is None:
                conn.close()
                pool.give_back(conn)
        self._number += 1
        _, _, key = fwd.request.partition(':')
        name = str(
            TransactionId(self._node, self._incarnation, self._number, key),
        )
        self._open[name] = _Open(
            caller=fwd.caller,
            pool=pool,
            conn=conn,
            request=fwd.request,
            term=fwd.term,
            expires_at=deadline_after_ms(self._life_ms),
            idle_until=deadline_after_ms(self._idle_ms),
        )
        return name

    async def run(
        self,
        fwd: ForwardStatement,
        req: RunRequest,
        deadline: float,
    ) -> RunReply:
        """Run a statement in a transaction.

        Args:
            fwd: names the transaction and the caller.
            req: the statement.
            deadline: monotonic time.

        Returns:
            The endpoint's answer.

        Raises:
            RefusalError: it did not run, or the transaction is lost.

        """
        with self._use(fwd.transaction, fwd.caller) as opened:
            return await opened.conn.run(_in_term(req, opened.term), deadline)

    async def end(
        self, fwd: ForwardEnd, deadline: float
    ) -> tuple[str, RunReply]:
        """Commit or roll back a transaction.

        Args:
            fwd: names the transaction and the caller.
            deadline: monotonic time.

        Returns:
            The endpoint's name and its answer.

        Raises:
            RefusalError: it is not open, or its outcome is not known.

        """
        with self._use(fwd.transaction, fwd.caller) as opened:
            reply = None
            try:
                reply = await _end(opened, deadline, commit=fwd.commit)
            finally:
                self._finish(fwd.transaction, opened, clean=reply is not None)
            return opened.pool.endpoint.name, reply

    def sweep(self, cfg: Config, now: float) -> None:
        """Roll back transactions that expired or whose key was withdrawn.

        Args:
            cfg: the configuration in force.
            now: monotonic time.

        """
        for name, opened in list(self._open.items()):
            if opened.is_over(now) or not cfg.allows(opened.caller):
                self._drop(name)

    def close(self) -> None:
        """Roll all of them back."""
        for name in list(self._open):
            self._drop(name)

    @contextmanager
    def _use(self, name: str, caller: Caller) -> Iterator[_Open]:
        opened = self._open.get(name)
        if opened is None or opened.caller.organisation != caller.organisation:
            raise TransactionLostError('the transaction is not open here')
        if opened.busy:
            raise BadRequestError(
                'the transaction is busy with another request'
            )
        opened.busy = True
        try:
            yield opened
        finally:
            self._end_use(name, opened)

    def _end_use(self, name: str, opened: _Open) -> None:
        opened.busy = False
        opened.idle_until = deadline_after_ms(self._idle_ms)
        if opened.conn.closed:
            self._drop(name)

    def _finish(self, name: str, opened: _Open, *, clean: bool) -> None:
        if not clean:
            opened.conn.close()
        self._open.pop(name)
        opened.pool.give_back(opened.conn)

    def _drop(self, name: str) -> None:
        opened = self._open.get(name)
        if opened is None:
            return
        opened.conn.close()
        if not opened.busy:
            self._open.pop(name)
            opened.pool.give_back(opened.conn)


async def _end(opened: _Open, deadline: float, *, commit: bool) -> RunReply:
    if not commit:
        return await opened.conn.rollback(
            BeginRequest(term=opened.term), deadline
        )
    req = CommitRequest(
        term=opened.term,
        request=opened.request,
        organisation=opened.caller.organisation,
    )
    return await opened.conn.commit(req, deadline)


def _in_term(req: RunRequest, term: int) -> RunRequest:
    return RunRequest(
        sql=req.sql,
        term=term,
        args=req.args,
        access=req.access,
        in_transaction=True,
    )
