"""Dispatches single statements: routes, forwards and retries them."""

from dataclasses import dataclass, field
from functools import partial

from trefoilhitch._generated.messages import LogPosition, StatementRequest
from trefoilhitch._generated.peer import ForwardStatement, OwnerReply
from trefoilhitch.call import Call
from trefoilhitch.errors import DeadlineError, NoPrimaryError, RefusalError
from trefoilhitch.group_directory import GroupDirectory
from trefoilhitch.group_state import GroupState
from trefoilhitch.outcome_lookup import OutcomeLookup
from trefoilhitch.owner_directory import OwnerDirectory, OwnerService
from trefoilhitch.retry import RetryBudget, RetryStep, next_step
from trefoilhitch.router import Router


@dataclass(frozen=True, slots=True)
class StatementResponse:
    """An owner's reply and the endpoint that it comes from.

    Args:
        reply: reply of the owner.
        endpoint: name of the endpoint; empty for a stored outcome.

    """

    reply: OwnerReply
    endpoint: str = ''


@dataclass(slots=True)
class _Attempts:
    req: StatementRequest
    seen: LogPosition
    excluded: list[str] = field(default_factory=list)
    count: int = 0
    may_have_run: bool = False

    def record_failure(self, failure: RefusalError) -> RetryStep:
        """Record a failed attempt and return what to do next."""
        self.may_have_run |= failure.run == 'unknown'
        if self.req.access == 'write':
            self.excluded.clear()
        return next_step(
            failure.refusal(),
            access=self.req.access,
            repeatable=self.req.repeatable,
        )

    def final_error(self, failure: RefusalError) -> RefusalError:
        """Return the failure to report to the client.

        The last attempt's claim that nothing ran is dropped if an earlier
        attempt may have run.
        """
        if failure.run == 'no' and self.may_have_run:
            return DeadlineError(f'{failure.code}: {failure.detail}')
        return failure


class StatementDispatcher:
    """Runs statements through the owners of endpoints.

    Args:
        directory: provides the states of groups.
        router: chooses endpoints.
        owners: finds the owners of endpoints.
        outcomes: looks up outcomes whose response was lost.

    """

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        router: Router,
        owners: OwnerDirectory,
        outcomes: OutcomeLookup,
    ) -> None:
        """Store the dependencies."""
        self._directory = directory
        self._router = router
        self._owners = owners
        self._outcomes = outcomes
        self._budgets: dict[str, RetryBudget] = {}

    async def run_statement(
        self,
        call: Call,
        req: StatementRequest,
        seen: LogPosition,
    ) -> StatementResponse:
        """Run a statement outside a transaction.

        Args:
            call: context of the request.
            req: the statement.
            seen: latest position of the service that the session has seen.

        Returns:
            The reply and the endpoint that it comes from.

        Raises:
            RefusalError: the statement did not run, or its outcome is unknown.

        """
        attempts = _Attempts(req, seen)
        resp = None
        self._retry_budget(call.service).deposit()
        while resp is None:
            try:
                resp = await self._attempt(call, attempts)
            except RefusalError as exc:
                resp = await self._recover(call, exc, attempts)
        return resp

    async def _attempt(
        self, call: Call, attempts: _Attempts
    ) -> StatementResponse:
        attempts.count += 1
        state = await self._directory.state(call.service)
        criteria = self._router.criteria(
            attempts.req,
            attempts.seen,
            state,
            tuple(attempts.excluded),
        )
        route = self._router.route(call.service, criteria, state)
        if not route.endpoint:
            raise NoPrimaryError('the group has no primary that answers')
        attempts.excluded.append(route.endpoint)
        is_read = criteria.access == 'read'
        fwd = ForwardStatement(
            caller=call.caller,
            service=call.service,
            endpoint=route.endpoint,
            term=state.term,
            sql=attempts.req.sql,
            args=attempts.req.args,
            access=criteria.access,
            request='' if is_read else call.request,
            timeout_ms=call.attempt_timeout_ms(),
            minimum_term=criteria.minimum.term,
            minimum_position=criteria.minimum.position,
            strict=is_read and criteria.freshness == 'strict',
        )
        return await self._send_to_owner(fwd, state)

    async def _send_to_owner(
        self, fwd: ForwardStatement, state: GroupState
    ) -> StatementResponse:
        owner = self._owners.owner_of_endpoint(fwd.endpoint)
        self._router.request_started(fwd.endpoint)
        try:
            reply = await self._forward(owner, fwd, state)
        finally:
            self._router.request_finished(fwd.endpoint)
        state.apply_reply(fwd.endpoint, reply)
        return StatementResponse(reply, fwd.endpoint)

    async def _forward(
        self,
        owner: OwnerService,
        fwd: ForwardStatement,
        state: GroupState,
    ) -> OwnerReply:
        if fwd.endpoint != state.primary:
            return await owner.run_statement(fwd)
        send = partial(owner.run_statement, fwd)
        return await self._directory.term_guard.run(fwd.service, send)

    async def _recover(
        self,
        call: Call,
        failure: RefusalError,
        attempts: _Attempts,
    ) -> StatementResponse | None:
        """Do what `next_step` decides after a failed attempt.

        Returns:
            The outcome of the failed attempt if it is found, or None for
            another attempt.

        """
        step = attempts.record_failure(failure)
        if step == 'give_up':
            raise attempts.final_error(failure)
        if step == 'elsewhere':
            self._router.record_stale_read(attempts.excluded[-1])
            return None
        if (
            step != 'wait'
            and not self._retry_budget(call.service).try_withdraw()
        ):
            raise attempts.final_error(failure)
        if not await self._outcomes.wait_backoff(call, attempts.count):
            raise attempts.final_error(failure)
        if step == 'settle':
            found = await self._outcomes.resolve(call, failure)
            return None if found is None else StatementResponse(found)
        if step == 'wait':
            attempts.excluded.clear()
        await self._directory.refresh(call.service)
        return None

    def _retry_budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())
