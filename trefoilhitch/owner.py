"""The owner of endpoints: runs forwarded statements on the slots that it holds."""

from collections.abc import Callable
from random import Random

from trio import Nursery, current_time

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
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import ConfigHolder
from trefoilhitch.confirmer import Confirmer
from trefoilhitch.endpoint_client import EndpointPlatform
from trefoilhitch.errors import (
    ShuttingDownError,
    TooOldError,
    UnauthorisedError,
    UnreachableError,
)
from trefoilhitch.pool import EndpointPool
from trefoilhitch.position import at_least
from trefoilhitch.transactions import Transactions


class Owner:
    """Runs statements on endpoints.

    Args:
        config: declares endpoints and keys.
        platform: reaches the endpoints.
        nursery: runs confirmation rounds.
        random: jitters retries.
        transactions: the open transactions.

    """

    def __init__(
        self,
        *,
        config: ConfigHolder,
        platform: EndpointPlatform,
        nursery: Nursery,
        random: Random,
        transactions: Transactions,
    ) -> None:
        """Start without connections."""
        self._config = config
        self._platform = platform
        self._nursery = nursery
        self._random = random
        self._transactions = transactions
        self._pools: dict[str, EndpointPool] = {}
        self._confirmers: dict[tuple[str, bool], Confirmer] = {}
        self._leaving = False

    async def statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Run a statement, alone or in a transaction.

        Args:
            fwd: the statement.

        Returns:
            Rows, and the position they were read or written at.

        Raises:
            RefusalError: it did not run, or its outcome is not known.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        if fwd.transaction:
            return await self._run_in_transaction(fwd, deadline)
        reply = await self._run(fwd, deadline)
        reached = LogPosition(term=reply.term, position=reply.position)
        if fwd.access == 'write' or fwd.strict:
            confirmer = self._confirmer(fwd.endpoint, fresh=fwd.strict)
            await confirmer.confirm(reached, deadline)
        needed = LogPosition(
            term=fwd.minimum_term, position=fwd.minimum_position
        )
        if fwd.access == 'read' and not at_least(reached, needed):
            raise TooOldError(
                f'{fwd.endpoint} is at {reached.term}.{reached.position}'
            )
        return _owner_reply(reply)

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Open a transaction, which keeps a slot until it ends.

        Args:
            fwd: on which endpoint, and the request that its commit will be.

        Returns:
            The transaction's id.

        Raises:
            RefusalError: no transaction was opened.

        """
        if self._leaving:
            raise ShuttingDownError('no new transactions')
        self._check(fwd.caller)
        transaction = await self._transactions.begin(
            self._pool(fwd.endpoint), fwd
        )
        return OwnerReply(transaction=transaction, term=fwd.term)

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """Commit or roll back a transaction.

        Args:
            fwd: which one, and how.

        Returns:
            For a commit, the position that a majority holds.

        Raises:
            RefusalError: it is not open, or its outcome is not known.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        if fwd.commit:
            self._check(fwd.caller)
        endpoint, reply = await self._transactions.end(fwd, deadline)
        if fwd.commit:
            reached = LogPosition(term=reply.term, position=reply.position)
            await self._confirmer(endpoint, fresh=False).confirm(
                reached, deadline
            )
        return _owner_reply(reply)

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Look a stored outcome up, and prove that the answer is current.

        Args:
            fwd: which request.

        Returns:
            The outcome, or that there is none.

        Raises:
            RefusalError: the primary did not prove an answer.

        """
        deadline = deadline_after_ms(fwd.timeout_ms)
        self._check(fwd.caller)
        req = RecordRequest(
            term=fwd.term,
            request=fwd.request,
            organisation=fwd.caller.organisation,
        )
        control = self._platform.control(self._endpoint(fwd.endpoint))
        record = await control.record(req, deadline)
        reached = LogPosition(term=record.term, position=record.position)
        await self._confirmer(fwd.endpoint, fresh=True).confirm(
            reached, deadline
        )
        return OwnerReply(
            term=record.term,
            position=record.position,
            columns=record.columns,
            rows=record.rows,
            changed=record.changed,
            found=record.found,
        )

    def sweep(self, owns: Callable[[Endpoint], bool]) -> None:
        """Close what this node no longer owns, or whose declaration is gone.

        Args:
            owns: tells whether this node owns an endpoint.

        """
        endpoints = self._config.current.endpoints
        for name, pool in list(self._pools.items()):
            declared = endpoints.get(name)
            if declared is None or not owns(declared):
                pool.close_idle()
            if declared != pool.endpoint and not pool.in_use:
                self._pools.pop(name)
                self._confirmers.pop((name, False), None)
                self._confirmers.pop((name, True), None)
        self._transactions.sweep(self._config.current.keyring, current_time())

    def leave(self) -> None:
        """Take no new transactions, and free slots as they fall idle."""
        self._leaving = True

    def close(self) -> None:
        """Close every idle connection and roll open transactions back."""
        self._transactions.close()
        for pool in self._pools.values():
            pool.close_idle()

    @property
    def open_transactions(self) -> int:
        """Return how many transactions are open."""
        return len(self._transactions)

    async def _run(self, fwd: ForwardStatement, deadline: float) -> RunReply:
        pool = self._pool(fwd.endpoint)
        async with pool.lease(fwd.caller.organisation, deadline) as conn:
            self._check(fwd.caller)
            return await conn.run(_run_request(fwd), deadline)

    async def _run_in_transaction(
        self,
        fwd: ForwardStatement,
        deadline: float,
    ) -> OwnerReply:
        self._check(fwd.caller)
        reply = await self._transactions.run(fwd, _run_request(fwd), deadline)
        return _owner_reply(reply)

    def _check(self, caller: Caller) -> None:
        cfg = self._config.current
        if not caller.key or cfg.revision < caller.revision:
            return
        if not cfg.keyring.holds(caller.key, caller.organisation):
            raise UnauthorisedError('the key was withdrawn')

    def _endpoint(self, name: str) -> Endpoint:
        endpoint = self._config.current.endpoints.get(name)
        if endpoint is None:
            raise UnreachableError(f'{name} is not declared')
        return endpoint

    def _pool(self, name: str) -> EndpointPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = EndpointPool(
                endpoint=self._endpoint(name),
                platform=self._platform,
                weights=self._config.current.weights(),
            )
            self._pools[name] = pool
        return pool

    def _confirmer(self, name: str, *, fresh: bool) -> Confirmer:
        confirmer = self._confirmers.get((name, fresh))
        if confirmer is None:
            confirmer = Confirmer(
                control=self._platform.control(self._endpoint(name)),
                fresh=fresh,
                nursery=self._nursery,
                random=self._random,
            )
            self._confirmers[name, fresh] = confirmer
        return confirmer


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
