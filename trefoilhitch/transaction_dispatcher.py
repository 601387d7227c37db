"""Dispatches transactions, each of which stays with one owner."""

from dataclasses import replace

from trio import current_time

from trefoilhitch._generated.messages import StatementRequest
from trefoilhitch._generated.peer import (
    ForwardBegin,
    ForwardEnd,
    ForwardStatement,
    OwnerReply,
)
from trefoilhitch.call import Call
from trefoilhitch.clock import remaining_ms
from trefoilhitch.errors import (
    NotHeardError,
    RefusalError,
    TransactionLostError,
)
from trefoilhitch.outcome_lookup import OutcomeLookup
from trefoilhitch.owner_directory import OwnerDirectory, OwnerService

PEER_START_TIMEOUT_S = 2.0
_NOT_RUN_CODES = frozenset(('bad_request', 'unauthorised'))


class TransactionDispatcher:
    """Runs transactions through the owners of primaries.

    Args:
        owners: finds the owners of endpoints and transactions.
        outcomes: looks up outcomes whose response was lost.

    """

    def __init__(
        self, *, owners: OwnerDirectory, outcomes: OutcomeLookup
    ) -> None:
        """Store the dependencies."""
        self._owners = owners
        self._outcomes = outcomes

    async def begin(self, call: Call) -> OwnerReply:
        """Open a transaction at the owner of the primary.

        Args:
            call: context of the request; its request id is that of the commit.

        Returns:
            The reply, which contains the transaction's id.

        Raises:
            RefusalError: no transaction was opened.

        """
        reply = None
        while reply is None:
            try:
                reply = await self._begin(call)
            except RefusalError as exc:
                await self._outcomes.wait_for_change(call, exc)
        return reply

    async def run_statement(
        self,
        call: Call,
        transaction: str,
        req: StatementRequest,
    ) -> OwnerReply:
        """Run a statement in a transaction.

        Args:
            call: context of the request.
            transaction: id of the transaction.
            req: the statement.

        Returns:
            The reply of the owner.

        Raises:
            RefusalError: the statement did not run, or the transaction is lost.

        """
        fwd = ForwardStatement(
            caller=call.caller,
            service=call.service,
            endpoint='',
            term=0,
            sql=req.sql,
            args=req.args,
            access=req.access,
            timeout_ms=remaining_ms(call.deadline),
            transaction=transaction,
        )
        owner = await self._transaction_owner(call, transaction)
        return await owner.run_statement(fwd)

    async def rollback(self, call: Call, transaction: str) -> OwnerReply:
        """Roll back a transaction.

        Args:
            call: context of the request.
            transaction: id of the transaction.

        Returns:
            The reply of the owner.

        Raises:
            RefusalError: the transaction is not open.

        """
        return await self._end(call, transaction, commit=False)

    async def commit(self, call: Call, transaction: str) -> OwnerReply:
        """Commit a transaction; if the response is lost, look up the outcome.

        Args:
            call: context of the request.
            transaction: id of the transaction.

        Returns:
            The reply of the owner, or the stored outcome.

        Raises:
            RefusalError: it was not committed, or its outcome is unknown.

        """
        try:
            return await self._end(call, transaction, commit=True)
        except RefusalError as exc:
            if exc.code in _NOT_RUN_CODES:
                raise
            failure = exc
        found = await self._outcomes.resolve(call, failure)
        if found is None:
            raise TransactionLostError(f'{failure.code}: {failure.detail}')
        return found

    async def _transaction_owner(
        self, call: Call, transaction: str
    ) -> OwnerService:
        """Return the owner of a transaction.

        If the owner's node has just started, wait for its first heartbeat.
        """
        deadline = min(call.deadline, current_time() + PEER_START_TIMEOUT_S)
        bounded_call = replace(call, deadline=deadline)
        owner = None
        while owner is None:
            try:
                owner = self._owners.owner_of_transaction(transaction)
            except NotHeardError:
                if not await self._outcomes.wait_backoff(bounded_call, 1):
                    raise
        return owner

    async def _begin(self, call: Call) -> OwnerReply:
        state = await self._outcomes.primary_state(call)
        fwd = ForwardBegin(
            caller=call.caller,
            service=call.service,
            endpoint=state.primary,
            term=state.term,
            request=call.request,
            timeout_ms=call.attempt_timeout_ms(),
        )
        return await self._owners.owner_of_endpoint(state.primary).begin(fwd)

    async def _end(
        self,
        call: Call,
        transaction: str,
        *,
        commit: bool,
    ) -> OwnerReply:
        fwd = ForwardEnd(
            caller=call.caller,
            transaction=transaction,
            commit=commit,
            timeout_ms=call.attempt_timeout_ms(),
        )
        owner = await self._transaction_owner(call, transaction)
        return await owner.end(fwd)
