"""Looks up the outcomes of requests and waits between attempts."""

from functools import partial
from random import Random

from trio import current_time, sleep_until

from trefoilhitch._generated.peer import ForwardLookup, OwnerReply
from trefoilhitch.call import Call
from trefoilhitch.errors import NoPrimaryError, RefusalError
from trefoilhitch.group_directory import GroupDirectory
from trefoilhitch.group_state import GroupState
from trefoilhitch.owner_directory import OwnerDirectory
from trefoilhitch.retry import backoff_s, next_step

MAX_BACKOFF_ATTEMPT = 6


class OutcomeLookup:
    """Looks up stored outcomes on the current primary.

    Args:
        directory: provides the states of groups.
        owners: finds the owners of endpoints.
        random: jitters the delays between attempts.

    """

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        owners: OwnerDirectory,
        random: Random,
    ) -> None:
        """Store the dependencies."""
        self._directory = directory
        self._owners = owners
        self._random = random

    async def lookup(self, call: Call) -> OwnerReply:
        """Look up the outcome of an earlier request, until the deadline.

        Args:
            call: context with the id of the earlier request.

        Returns:
            The outcome; its `found` is false if none is stored.

        Raises:
            RefusalError: no primary proved an outcome in time.

        """
        reply = None
        while reply is None:
            try:
                reply = await self._lookup_once(call)
            except RefusalError as exc:
                await self.wait_for_change(call, exc)
        return reply

    async def resolve(
        self,
        call: Call,
        failure: RefusalError,
    ) -> OwnerReply | None:
        """Determine whether a request ran whose response was lost.

        Args:
            call: context of the request.
            failure: failure that lost the response.

        Returns:
            The stored outcome; None if the current primary has none.

        Raises:
            RefusalError: `failure`, if no outcome was proved in time.

        """
        try:
            reply = await self.lookup(call)
        except RefusalError:
            raise failure from None
        return reply if reply.found else None

    async def primary_state(self, call: Call) -> GroupState:
        """Return the known state of a group that has a primary.

        Args:
            call: context of the request, which names the service.

        Returns:
            The state.

        Raises:
            NoPrimaryError: no primary is known.

        """
        state = await self._directory.state(call.service)
        if not state.primary:
            raise NoPrimaryError('the group has no primary that answers')
        return state

    async def wait_for_change(self, call: Call, failure: RefusalError) -> None:
        """Wait before another attempt of an operation without effects.

        Args:
            call: context of the request.
            failure: failure of the last attempt.

        Raises:
            RefusalError: `failure`, if another attempt cannot succeed in time.

        """
        step = next_step(failure.refusal(), access='read', repeatable=True)
        if step == 'give_up' or not await self.wait_backoff(call, 1):
            raise failure
        await self._directory.refresh(call.service)

    async def wait_backoff(self, call: Call, attempt: int) -> bool:
        """Wait before another attempt.

        Args:
            call: context of the request.
            attempt: number of attempts made so far, from 1.

        Returns:
            False if the deadline would pass first, without waiting.

        """
        attempt = min(attempt, MAX_BACKOFF_ATTEMPT)
        wake_at = current_time() + backoff_s(attempt, self._random.random())
        if wake_at >= call.deadline:
            return False
        await sleep_until(wake_at)
        return True

    async def _lookup_once(self, call: Call) -> OwnerReply:
        state = await self.primary_state(call)
        fwd = ForwardLookup(
            caller=call.caller,
            service=call.service,
            endpoint=state.primary,
            term=state.term,
            request=call.request,
            timeout_ms=call.attempt_timeout_ms(),
        )
        owner = self._owners.owner_of_endpoint(state.primary)
        send = partial(owner.lookup, fwd)
        return await self._directory.term_guard.run(call.service, send)
