"""Dispatch: routes a call, forwards it to the owner, and retries what may be retried."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol, TypeVar

from trio import current_time, sleep

from trefoilhitch._generated.messages import (
    Freshness,
    LogPosition,
    StatementRequest,
)
from trefoilhitch._generated.peer import (
    Caller,
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
    ForwardStatement,
    OwnerReply,
)
from trefoilhitch._generated.record import Candidate, RouteRecord
from trefoilhitch.clock import remaining_ms
from trefoilhitch.config import ConfigHolder, place_of
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import (
    ConnectionLostError,
    DeadlineError,
    NodeUnreachableError,
    NoPrimaryError,
    RefusalError,
    ShuttingDownError,
    TransactionLostError,
)
from trefoilhitch.fleet import Fleet
from trefoilhitch.group_directory import GroupDirectory
from trefoilhitch.group_state import GroupState
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.placement import distance
from trefoilhitch.position import ORIGIN
from trefoilhitch.retry import RetryBudget, backoff, next_step
from trefoilhitch.routing import Route, RouteNeed, choose
from trefoilhitch.transactions import TransactionId

ATTEMPT_TIMEOUT_S = 2.0
MAX_BACKOFF_ATTEMPT = 6
ForwardT = TypeVar(
    'ForwardT',
    ForwardStatement,
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
)
_MS_PER_S = 1000


class OwnerService(Protocol):
    """Runs forwarded requests: this node's owner, or another node."""

    async def statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Run a statement."""

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Open a transaction."""

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """End a transaction."""

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Look a stored outcome up."""


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Args:
        caller: for whom.
        service: name of the service.
        request: id under which the outcome of a write is stored.
        deadline: monotonic time.

    """

    caller: Caller
    service: str
    request: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Answered:
    """An owner's answer and the endpoint that gave it.

    Args:
        reply: the answer.
        endpoint: name of the endpoint.

    """

    reply: OwnerReply
    endpoint: str


@dataclass(slots=True)
class _Attempts:
    excluded: list[str] = field(default_factory=list)
    count: int = 0
    may_have_run: bool = False


class Dispatcher:
    """Finds the endpoint for each call and the owner for each endpoint.

    Args:
        fleet: says who owns what.
        config: declares endpoints.
        directory: knows the groups.
        peers: reaches other owners.
        local: this node's owner.
        log: takes note of routes.
        random: breaks ties and jitters retries.

    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        config: ConfigHolder,
        directory: GroupDirectory,
        peers: PeerClients,
        local: OwnerService,
        log: DecisionLog,
        random: Random,
    ) -> None:
        """Keep the collaborators."""
        self._fleet = fleet
        self._config = config
        self._directory = directory
        self._peers = peers
        self._local = local
        self._log = log
        self._random = random
        self._load: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}

    async def statement(
        self,
        call: Call,
        req: StatementRequest,
        minimum: LogPosition,
    ) -> Answered:
        """Run a statement outside transactions.

        Args:
            call: the call.
            req: the statement.
            minimum: what the caller's session has seen of the service.

        Returns:
            The whole answer.

        Raises:
            RefusalError: it did not run, or its outcome is not known.

        """
        attempts = _Attempts()
        self._budget(call.service).earn()
        while True:
            try:
                return await self._attempt(call, req, minimum, attempts)
            except RefusalError as exc:
                failure = exc
            settled = await self._recover(call, req, failure, attempts)
            if settled is not None:
                return settled

    async def begin(self, call: Call) -> OwnerReply:
        """Open a transaction at the owner of the primary.

        Args:
            call: the call; its request is the later commit's.

        Returns:
            The answer, which names the transaction.

        Raises:
            RefusalError: none was opened.

        """
        while True:
            try:
                return await self._begin(call)
            except RefusalError as exc:
                failure = exc
            step = next_step(failure.refusal(), access='read', repeatable=False)
            if step == 'give_up' or not await self._pause(call, 1):
                raise failure
            await self._directory.refresh(call.service)

    async def in_transaction(
        self,
        call: Call,
        transaction: str,
        req: StatementRequest,
    ) -> Answered:
        """Run a statement in a transaction.

        Args:
            call: the call.
            transaction: the transaction's id.
            req: the statement.

        Returns:
            The whole answer.

        Raises:
            RefusalError: it did not run, or the transaction is lost.

        """
        service = self._holder_of(transaction, call.deadline)
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
        return Answered(await service.statement(fwd), '')

    async def end(
        self, call: Call, transaction: str, *, commit: bool
    ) -> OwnerReply:
        """Commit or roll back a transaction.

        Args:
            call: the call.
            transaction: the transaction's id.
            commit: commit rather than roll back.

        Returns:
            The answer.

        Raises:
            RefusalError: it is not open, or its outcome is not known.

        """
        fwd = ForwardEnd(
            caller=call.caller,
            transaction=transaction,
            commit=commit,
            timeout_ms=remaining_ms(call.deadline),
        )
        return await self._holder_of(transaction, call.deadline).end(fwd)

    async def lookup(self, call: Call) -> OwnerReply:
        """Look the outcome of an earlier request up, until the deadline.

        Args:
            call: the call.

        Returns:
            The outcome, or that there is none.

        Raises:
            RefusalError: no primary proved an answer in time.

        """
        while True:
            try:
                return await self._lookup(call)
            except RefusalError as exc:
                failure = exc
            step = next_step(failure.refusal(), access='read', repeatable=True)
            if step == 'give_up' or not await self._pause(call, 1):
                raise failure
            await self._directory.refresh(call.service)

    async def _attempt(
        self,
        call: Call,
        req: StatementRequest,
        minimum: LogPosition,
        attempts: _Attempts,
    ) -> Answered:
        attempts.count += 1
        state = await self._directory.state(call.service)
        need = self._need(req, minimum, state, attempts)
        route = self._route(call.service, need, state)
        if not route.endpoint:
            raise NoPrimaryError('the group has no primary that answers')
        fwd = ForwardStatement(
            caller=call.caller,
            service=call.service,
            endpoint=route.endpoint,
            term=state.term,
            sql=req.sql,
            args=req.args,
            access=req.access,
            request=call.request if req.access == 'write' else '',
            timeout_ms=remaining_ms(_attempt_deadline(call)),
            minimum_term=need.minimum.term,
            minimum_position=need.minimum.position,
            strict=need.freshness == 'strict' and req.access == 'read',
        )
        try:
            reply = await self._send(route.endpoint, fwd)
        except RefusalError:
            attempts.excluded.append(route.endpoint)
            raise
        state.learn(route.endpoint, reply)
        return Answered(reply, route.endpoint)

    async def _send(self, name: str, fwd: ForwardStatement) -> OwnerReply:
        self._load[name] = self._load.get(name, 0) + 1
        try:
            return await self._owner(name, fwd.timeout_ms).statement(fwd)
        finally:
            self._load[name] -= 1

    async def _recover(
        self,
        call: Call,
        req: StatementRequest,
        failure: RefusalError,
        attempts: _Attempts,
    ) -> Answered | None:
        """Decide what follows a failed attempt, and wait or settle accordingly."""
        step = next_step(
            failure.refusal(),
            access=req.access,
            repeatable=req.repeatable,
        )
        if req.access == 'write':
            attempts.excluded.clear()
            attempts.may_have_run |= failure.run == 'unknown'
        if step == 'give_up':
            raise _honest(failure, attempts)
        if step != 'wait' and not self._budget(call.service).spend():
            raise _honest(failure, attempts)
        if not await self._pause(call, attempts.count):
            raise _honest(failure, attempts)
        if step == 'settle':
            return await self._settle(call, failure)
        if req.access == 'write' or len(attempts.excluded) > 1:
            attempts.excluded.clear()
            await self._directory.refresh(call.service)
        return None

    async def _settle(
        self, call: Call, failure: RefusalError
    ) -> Answered | None:
        try:
            reply = await self.lookup(call)
        except RefusalError:
            raise failure from None
        return Answered(reply, '') if reply.found else None

    async def _lookup(self, call: Call) -> OwnerReply:
        state = await self._directory.state(call.service)
        if not state.primary:
            raise NoPrimaryError('the group has no primary that answers')
        fwd = ForwardLookup(
            caller=call.caller,
            service=call.service,
            endpoint=state.primary,
            term=state.term,
            request=call.request,
            timeout_ms=remaining_ms(_attempt_deadline(call)),
        )
        return await self._owner(state.primary, fwd.timeout_ms).lookup(fwd)

    async def _begin(self, call: Call) -> OwnerReply:
        state = await self._directory.state(call.service)
        if not state.primary:
            raise NoPrimaryError('the group has no primary that answers')
        fwd = ForwardBegin(
            caller=call.caller,
            service=call.service,
            endpoint=state.primary,
            term=state.term,
            request=call.request,
            timeout_ms=remaining_ms(_attempt_deadline(call)),
        )
        return await self._owner(state.primary, fwd.timeout_ms).begin(fwd)

    async def _pause(self, call: Call, attempt: int) -> bool:
        wake_at = current_time() + backoff(
            min(attempt, MAX_BACKOFF_ATTEMPT), self._random.random()
        )
        if wake_at >= call.deadline:
            return False
        await sleep(wake_at - current_time())
        return True

    def _need(
        self,
        req: StatementRequest,
        minimum: LogPosition,
        state: GroupState,
        attempts: _Attempts,
    ) -> RouteNeed:
        freshness: Freshness = req.freshness
        needed = minimum if freshness == 'session' else ORIGIN
        if freshness == 'max_age':
            since = current_time() - req.max_age_ms / _MS_PER_S
            proved = state.needed_for_age(since)
            if proved is None:
                freshness = 'strict'
            needed = proved or ORIGIN
        return RouteNeed(
            req.access, freshness, needed, tuple(attempts.excluded)
        )

    def _route(self, service: str, need: RouteNeed, state: GroupState) -> Route:
        candidates = self._candidates(service, state)
        draw = self._random.random()
        route = choose(need, candidates, draw)
        self._log.decision(
            RouteRecord(
                kind='route',
                at=current_time(),
                service=service,
                term=state.term,
                access=need.access,
                freshness=need.freshness,
                minimum_term=need.minimum.term,
                minimum_position=need.minimum.position,
                candidates=candidates,
                excluded=list(need.excluded),
                draw=draw,
                endpoint=route.endpoint,
                reason=route.reason,
            ),
        )
        return route

    def _candidates(self, service: str, state: GroupState) -> list[Candidate]:
        declared = self._config.current.endpoints
        here = self._fleet.identity.place
        return [
            Candidate(
                name=view.name,
                role=view.role if view.name != state.primary else 'primary',
                applied_term=view.applied_term,
                applied_position=view.applied_position,
                reachable=view.reachable,
                leaving=view.leaving,
                distance=distance(here, place_of(declared[view.name])),
                load=self._load.get(view.name, 0),
            )
            for view in state.endpoints
            if view.name in declared
        ]

    def _owner(self, name: str, timeout_ms: int) -> OwnerService:
        endpoint = self._config.current.endpoints.get(name)
        if endpoint is None:
            raise NoPrimaryError(f'{name} is not declared any more')
        return self._service_of(self._fleet.owner_of(endpoint), timeout_ms)

    def _service_of(self, node: str, timeout_ms: int) -> OwnerService:
        if node == self._fleet.identity.node:
            return self._local
        address = self._fleet.address_of(node)
        if address is None:
            raise NodeUnreachableError(f'{node} has no known address')
        return _RemoteOwner(node, address, self._peers, self._fleet)

    def _holder_of(self, transaction: str, deadline: float) -> OwnerService:
        holder = TransactionId.from_text(transaction)
        identity = self._fleet.identity
        known = self._fleet.incarnation_of(holder.node)
        if known is not None and known != holder.incarnation:
            raise TransactionLostError(
                f'{holder.node} has restarted; ask for the outcome of the commit',
            )
        if known is None and holder.node != identity.node:
            raise TransactionLostError(f'no such node: {holder.node}')
        return self._service_of(holder.node, remaining_ms(deadline))

    def _budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())


class _RemoteOwner:
    def __init__(
        self,
        node: str,
        address: str,
        peers: PeerClients,
        fleet: Fleet,
    ) -> None:
        self._node = node
        self._client = peers.at(address)
        self._fleet = fleet

    async def statement(self, fwd: ForwardStatement) -> OwnerReply:
        return await self._guard(self._client.statement, fwd)

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        return await self._guard(self._client.begin, fwd)

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        return await self._guard(self._client.end, fwd)

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        return await self._guard(self._client.lookup, fwd)

    async def _guard(
        self,
        send: Callable[[ForwardT, float], Awaitable[OwnerReply]],
        fwd: ForwardT,
    ) -> OwnerReply:
        deadline = current_time() + fwd.timeout_ms / _MS_PER_S
        try:
            return await send(fwd, deadline)
        except (NodeUnreachableError, ConnectionLostError, ShuttingDownError):
            self._fleet.avoid(self._node)
            raise


def _attempt_deadline(call: Call) -> float:
    return min(call.deadline, current_time() + ATTEMPT_TIMEOUT_S)


def _honest(failure: RefusalError, attempts: _Attempts) -> RefusalError:
    """Return the failure, without a promise that earlier attempts have broken."""
    if not attempts.may_have_run or failure.run == 'unknown':
        return failure
    return DeadlineError(f'{failure.code}: {failure.detail}')
