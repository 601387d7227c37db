"""Finds out what became of requests, and waits for groups to change."""

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
    """Looks stored outcomes up at the current primary.

    Args:
        directory: knows the groups.
        owners: reaches the owners of endpoints.
        random: jitters retries.

    """

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        owners: OwnerDirectory,
        random: Random,
    ) -> None:
        """Keep the collaborators."""
        self._directory = directory
        self._owners = owners
        self._random = random

    async def lookup(self, call: Call) -> OwnerReply:
        """Look the outcome of an earlier request up, until the deadline.

        Args:
            call: the call.

        Returns:
            The outcome, or that there is none.

        Raises:
            RefusalError: no primary proved an answer in time.

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
        """Find out whether a request ran whose answer was lost.

        Args:
            call: the call.
            failure: how its answer was lost.

        Returns:
            The stored outcome; None if the current primary holds none.

        Raises:
            RefusalError: the failure itself, if nothing was proved in time.

        """
        try:
            reply = await self.lookup(call)
        except RefusalError:
            raise failure from None
        return reply if reply.found else None

    async def primary_state(self, call: Call) -> GroupState:
        """Return what is known of a group that has a primary.

        Args:
            call: names the service.

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
        """Wait before another try of what changes nothing, or give up.

        Args:
            call: the call.
            failure: how the last try failed.

        Raises:
            RefusalError: the failure, if another try is of no use.

        """
        step = next_step(failure.refusal(), access='read', repeatable=True)
        if step == 'give_up' or not await self.wait_backoff(call, 1):
            raise failure
        await self._directory.refresh(call.service)

    async def wait_backoff(self, call: Call, attempt: int) -> bool:
        """Wait before another attempt.

        Args:
            call: the call.
            attempt: number of attempts made so far, from 1.

        Returns:
            False if the deadline would pass first.

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
