"""Runs forwarded statements on the endpoints that this node owns."""

from trio import current_time

from trefoilhitch._generated.endpoint import RecordRequest, RunReply, RunRequest
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    Caller,
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
    ForwardStatement,
    OwnerReply,
)
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import ConfigHolder
from trefoilhitch.endpoint_pools import EndpointPools
from trefoilhitch.errors import (
    ShuttingDownError,
    TooOldError,
    UnauthorisedError,
)
from trefoilhitch.position import at_least
from trefoilhitch.transactions import TransactionTable


class EndpointOwner:
    """Runs statements and transactions on the endpoints that a node owns.

    Args:
        config: configuration in force, which declares keys.
        pools: connection pools of the endpoints.
        transactions: table of the open transactions.

    """

    def __init__(
        self,
        *,
        config: ConfigHolder,
        pools: EndpointPools,
        transactions: TransactionTable,
    ) -> None:
        """Store the dependencies."""
        self._config = config
        self._pools = pools
        self._transactions = transactions
        self._shutting_down = False
        self._opening_count = 0

    @property
    def open_transactions(self) -> int:
        """Return the number of transactions that are open or being opened."""
        return len(self._transactions) + self._opening_count

    async def run_statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Run a statement, alone or in a transaction.

        Args:
            fwd: forwarded statement.

        Returns:
            Rows and the log position at which they were read or written.

        Raises:
            RefusalError: the statement did not run, or its outcome is unknown.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        if fwd.transaction:
            self._check_key(fwd.caller)
            req = _run_request(fwd)
            return _owner_reply(
                await self._transactions.run(fwd, req, deadline),
            )
        reply = await self._run_statement(fwd, deadline)
        reached = LogPosition(term=reply.term, position=reply.position)
        if fwd.access == 'read':
            _check_freshness(fwd, reached)
        if fwd.access == 'write' or fwd.strict:
            confirmer = self._pools.confirmer(fwd.endpoint, fresh=fwd.strict)
            await confirmer.confirm(reached, deadline)
        return _owner_reply(reply)

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Open a transaction, which occupies a slot until it ends.

        Args:
            fwd: forwarded request, with the request id of the commit.

        Returns:
            The transaction's id.

        Raises:
            RefusalError: no transaction was opened.

        """
        if self._shutting_down:
            raise ShuttingDownError('no new transactions')
        self._check_key(fwd.caller)
        pool = self._pools.pool(fwd.endpoint)
        self._opening_count += 1
        try:
            transaction = await self._transactions.begin(pool, fwd)
        finally:
            self._opening_count -= 1
        return OwnerReply(transaction=transaction, term=fwd.term)

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """Commit or roll back a transaction.

        Args:
            fwd: forwarded request, which names the transaction.

        Returns:
            For a commit, the log position that a majority holds.

        Raises:
            RefusalError: the transaction is not open, or its outcome is
                unknown.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        if fwd.commit:
            self._check_key(fwd.caller)
        endpoint, reply = await self._transactions.end(fwd, deadline)
        if fwd.commit:
            reached = LogPosition(term=reply.term, position=reply.position)
            confirmer = self._pools.confirmer(endpoint, fresh=False)
            await confirmer.confirm(reached, deadline)
        return _owner_reply(reply)

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Look up a stored outcome and prove that it is current.

        Args:
            fwd: forwarded lookup.

        Returns:
            The outcome; its `found` is false if none is stored.

        Raises:
            RefusalError: a majority did not confirm the outcome.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        self._check_key(fwd.caller)
        req = RecordRequest(
            term=fwd.term,
            request=fwd.request,
            organisation=fwd.caller.organisation,
        )
        record = await self._pools.control(fwd.endpoint).record(req, deadline)
        reached = LogPosition(term=record.term, position=record.position)
        confirmer = self._pools.confirmer(fwd.endpoint, fresh=True)
        await confirmer.confirm(reached, deadline)
        return OwnerReply(
            term=record.term,
            position=record.position,
            columns=record.columns,
            rows=record.rows,
            changed=record.changed,
            found=record.found,
        )

    def sweep(self) -> None:
        """Roll back transactions that expired or whose key was withdrawn."""
        self._transactions.sweep(self._config.current, current_time())

    def begin_shutdown(self) -> None:
        """Refuse new transactions from now on."""
        self._shutting_down = True

    def close(self) -> None:
        """Roll back open transactions and close idle connections."""
        self._transactions.close()
        self._pools.close()

    async def _run_statement(
        self, fwd: ForwardStatement, deadline: float
    ) -> RunReply:
        pool = self._pools.pool(fwd.endpoint)
        async with pool.connection(fwd.caller.organisation, deadline) as conn:
            self._check_key(fwd.caller)
            return await conn.run(_run_request(fwd), deadline)

    def _check_key(self, caller: Caller) -> None:
        if not self._config.current.allows(caller):
            raise UnauthorisedError('the key was withdrawn')


def _check_freshness(fwd: ForwardStatement, reached: LogPosition) -> None:
    needed = LogPosition(term=fwd.minimum_term, position=fwd.minimum_position)
    if not at_least(reached, needed):
        raise TooOldError(f'{fwd.endpoint} is behind what was asked for')


def _run_request(fwd: ForwardStatement) -> RunRequest:
    return RunRequest(
        sql=fwd.sql,
        term=fwd.term,
        args=fwd.args,
        access=fwd.access,
        request=fwd.request,
        organisation=fwd.caller.organisation,
        in_transaction=bool(fwd.transaction),
    )


def _owner_reply(reply: RunReply) -> OwnerReply:
    return OwnerReply(
        term=reply.term,
        position=reply.position,
        columns=reply.columns,
        rows=reply.rows,
        changed=reply.changed,
        role=reply.role,
    )
