"""Dispatch of single statements: routes, forwards, and retries them."""

from dataclasses import dataclass, field
from functools import partial

from trefoilhitch._generated.messages import LogPosition, StatementRequest
from trefoilhitch._generated.peer import ForwardStatement, OwnerReply
from trefoilhitch.call import Call
from trefoilhitch.errors import DeadlineError, NoPrimaryError, RefusalError
from trefoilhitch.group_directory import GroupDirectory
from trefoilhitch.group_state import GroupState
from trefoilhitch.outcomes import Outcomes
from trefoilhitch.owners import Owners, OwnerService
from trefoilhitch.retry import RetryBudget, Step, next_step
from trefoilhitch.router import Router


@dataclass(frozen=True, slots=True)
class Answered:
    """An owner's answer and the endpoint that gave it.

    Args:
        reply: the answer.
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

    def failed(self, failure: RefusalError) -> Step:
        """Take note of a failure, and say what follows."""
        self.may_have_run |= failure.run == 'unknown'
        if self.req.access == 'write':
            self.excluded.clear()
        return next_step(
            failure.refusal(),
            access=self.req.access,
            repeatable=self.req.repeatable,
        )

    def final(self, failure: RefusalError) -> RefusalError:
        """Return the failure without a promise that an attempt has broken."""
        if failure.run == 'no' and self.may_have_run:
            return DeadlineError(f'{failure.code}: {failure.detail}')
        return failure


class Dispatcher:
    """Carries statements out on the owners of endpoints.

    Args:
        directory: knows the groups.
        router: chooses endpoints.
        owners: reaches the owners of endpoints.
        outcomes: finds lost outcomes.

    """

    def __init__(
        self,
        *,
        directory: GroupDirectory,
        router: Router,
        owners: Owners,
        outcomes: Outcomes,
    ) -> None:
        """Keep the collaborators."""
        self._directory = directory
        self._router = router
        self._owners = owners
        self._outcomes = outcomes
        self._budgets: dict[str, RetryBudget] = {}

    async def statement(
        self,
        call: Call,
        req: StatementRequest,
        seen: LogPosition,
    ) -> Answered:
        """Run a statement outside transactions.

        Args:
            call: the call.
            req: the statement.
            seen: what the caller's session has seen of the service.

        Returns:
            The whole answer.

        Raises:
            RefusalError: it did not run, or its outcome is not known.

        """
        attempts = _Attempts(req, seen)
        answered = None
        self._budget(call.service).earn()
        while answered is None:
            try:
                answered = await self._attempt(call, attempts)
            except RefusalError as exc:
                answered = await self._recover(call, exc, attempts)
        return answered

    async def _attempt(self, call: Call, attempts: _Attempts) -> Answered:
        attempts.count += 1
        state = await self._directory.state(call.service)
        need = self._router.need(
            attempts.req,
            attempts.seen,
            state,
            tuple(attempts.excluded),
        )
        route = self._router.route(call.service, need, state)
        if not route.endpoint:
            raise NoPrimaryError('the group has no primary that answers')
        attempts.excluded.append(route.endpoint)
        is_read = need.access == 'read'
        fwd = ForwardStatement(
            caller=call.caller,
            service=call.service,
            endpoint=route.endpoint,
            term=state.term,
            sql=attempts.req.sql,
            args=attempts.req.args,
            access=need.access,
            request='' if is_read else call.request,
            timeout_ms=call.attempt_ms(),
            minimum_term=need.minimum.term,
            minimum_position=need.minimum.position,
            strict=is_read and need.freshness == 'strict',
        )
        return await self._send(fwd, state)

    async def _send(self, fwd: ForwardStatement, state: GroupState) -> Answered:
        owner = self._owners.of_endpoint(fwd.endpoint)
        self._router.began(fwd.endpoint)
        try:
            reply = await self._ask(owner, fwd, state)
        finally:
            self._router.ended(fwd.endpoint)
        state.learn(fwd.endpoint, reply)
        return Answered(reply, fwd.endpoint)

    async def _ask(
        self,
        owner: OwnerService,
        fwd: ForwardStatement,
        state: GroupState,
    ) -> OwnerReply:
        if fwd.endpoint != state.primary:
            return await owner.statement(fwd)
        ask = partial(owner.statement, fwd)
        return await self._directory.guard.run(fwd.service, ask)

    async def _recover(
        self,
        call: Call,
        failure: RefusalError,
        attempts: _Attempts,
    ) -> Answered | None:
        """Wait or settle after a failed attempt, as `next_step` decides."""
        step = attempts.failed(failure)
        if step == 'give_up':
            raise attempts.final(failure)
        if step == 'elsewhere':
            self._router.was_behind(attempts.excluded[-1])
            return None
        if step != 'wait' and not self._budget(call.service).spend():
            raise attempts.final(failure)
        if not await self._outcomes.pause(call, attempts.count):
            raise attempts.final(failure)
        if step == 'settle':
            found = await self._outcomes.settle(call, failure)
            return None if found is None else Answered(found)
        if step == 'wait':
            attempts.excluded.clear()
        await self._directory.refresh(call.service)
        return None

    def _budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())
