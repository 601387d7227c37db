"""Promotes an endpoint while fences prove that it holds every commit."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from trio import current_time, open_nursery, sleep

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.acknowledging.failover_commits import FailoverCommits
from trefoilhitch.pooler.failover_decision import (
    FencedEndpoint,
    choose_promotion,
)
from trefoilhitch.pooler.failover_plan import FailoverDependencies, FailoverPlan
from trefoilhitch.pooler.group_fence import GroupFence
from trefoilhitch.pooler.held_lease import FailoverStoppedError, HeldLease
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.promotion_command import (
    CommandOutcome,
    PromotionCommand,
)
from trefoilhitch.pooler.promotion_evidence import (
    PromotionEvidence,
    find_objection,
)

MAX_PROMOTION_ATTEMPTS = 4
# How long the new primary may take to report its role after the promotion was
# accepted.
CONFIRM_TIMEOUT_S = 3.0
CONFIRM_INTERVAL_S = 0.1
# How often it is judged whether the answers so far prove the fences.
PROOF_INTERVAL_S = 0.01
# How long endpoints without a fence are fenced again before the next decision.
RENEWAL_S = 0.3


@dataclass(frozen=True, slots=True)
class PromotedPrimary:
    """A new primary that reported its role.

    Args:
        endpoint: id of the endpoint.
        status: the status that it reported.
        sent_at: when that status was requested.

    """

    endpoint: str
    status: EndpointStatus
    sent_at: float


@dataclass(frozen=True, slots=True)
class PromotionContext:
    """What a promotion may rely on besides its fences.

    Args:
        promote_at: time of the first command, on the cluster's clock.
        holders: returns the ids of the endpoints that may hold commits which
            others lack.
        ensure_no_newer_primary: raises an error if another one is known; not
            called once a command may take effect.
        commits: the commits that clients know of.

    """

    promote_at: float
    holders: Callable[[], list[str]]
    ensure_no_newer_primary: Callable[[], None]
    commits: FailoverCommits


class _WithheldError(TrefoilhitchError):
    """A promotion might lose a commit, for the reason that the text gives."""


class FencedPromotion:
    """Chooses an endpoint, commands its promotion and confirms it.

    Each command is a decision of its own: its fences are requested again, and
    the choice is judged by the answers. While a command may take effect,
    endpoints that restart or join are fenced at once.

    Args:
        deps: dependencies of the failover.
        plan: what to replace.
        lease: lease of the service.
        fence: fences of the service.
        command: sends the commands.
        context: what the promotion relies on besides the fences.

    """

    def __init__(
        self,
        deps: FailoverDependencies,
        plan: FailoverPlan,
        lease: HeldLease,
        *,
        fence: GroupFence,
        command: PromotionCommand,
        context: PromotionContext,
    ) -> None:
        """Start before the first command."""
        self._deps = deps
        self._service = plan.service
        self._lease = lease
        self._fence = fence
        self._command = command
        self._context = context

    @property
    def is_sealed(self) -> bool:
        """Whether no commit can be acknowledged while the fences stand."""
        return self._evidence(self._fence.state.fenced).is_complete

    async def run(self) -> PromotedPrimary:
        """Promote an endpoint.

        Returns:
            The new primary.

        Raises:
            FailoverStoppedError: a commit might be lost, another primary is
                known, the lease was lost, or no command was answered.
            StoreUnavailableError: the store did not answer.
            UnreadableLeaseError: another writer stored a lease that cannot be
                read.

        """
        for _ in range(MAX_PROMOTION_ATTEMPTS):
            endpoint = await self._decide()
            if endpoint and await self._is_accepted(endpoint):
                return await self._confirm(endpoint)
        raise FailoverStoppedError('no promotion command was answered')

    async def _decide(self) -> str | None:
        """Choose the endpoint to promote, under fences that still stand.

        Returns:
            Its id; None if no endpoint may be promoted now, but an earlier
            command may take effect, so that the fences are upheld.

        """
        if self._has_taken_effect():
            return self._command.endpoint
        try:
            return await self._choose()
        except _WithheldError as exc:
            if self._has_taken_effect():
                return self._command.endpoint
            self._record_withheld(exc)
            if not self._command.was_sent:
                raise FailoverStoppedError(str(exc)) from exc
        async with self._upheld_fences(self._command.endpoint):
            await sleep(RENEWAL_S)
        return None

    def _has_taken_effect(self) -> bool:
        """Return whether an unanswered command has promoted its endpoint.

        It is sent again: an answer under the newest token ensures that no
        earlier command takes effect later.
        """
        return self._fence.state.is_primary(self._command.endpoint)

    async def _choose(self) -> str:
        evidence = self._evidence(self._fence.state.fenced)
        chosen = choose_promotion(
            evidence.fenced,
            evidence.members,
            evidence.sync_replicas,
            primary=evidence.primary,
            unusable=self._unusable(),
            pending=self._deps.cluster.evacuated.unless_evacuated(
                self._lease.record.candidate
            ),
            floor=self._floor,
        )
        if chosen is None:
            raise _WithheldError(self._lacking_fences())
        if chosen.endpoint != self._lease.record.candidate:
            await self._lease.record_candidate(chosen.endpoint)
        await self._check_fence(chosen.endpoint)
        if not self._command.was_sent:
            self._context.ensure_no_newer_primary()
        objection = self._objection(chosen.endpoint)
        if objection:
            raise _WithheldError(objection)
        # From here on, no commit is permitted that the endpoint lacks.
        self._context.commits.granted.record_command(
            chosen.endpoint, chosen.position
        )
        return chosen.endpoint

    @property
    def _floor(self) -> LogPosition | None:
        """Position that the promoted endpoint has to hold, None for any."""
        if not self._deps.sync_replicas(self._service):
            return None
        return self._context.commits.floor

    def _lacking_fences(self) -> str:
        if self._fence.state.without_log:
            return 'endpoints started again without their logs'
        if self._evidence(self._fence.state.fenced).is_complete:
            return 'an acknowledged commit is missing'
        return 'too few endpoints could be fenced'

    def _objection(self, endpoint: str) -> str | None:
        """Return what the answers to the last check lack, None if nothing."""
        if not self._fence.covers(self._context.holders()):
            return 'an endpoint has joined'
        state = self._fence.state
        return find_objection(
            state, self._evidence(state.checked), endpoint, self._floor
        )

    async def _check_fence(self, endpoint: str) -> None:
        """Check the fences until the promotion is due and proved safe."""
        unchecked = self._fence.state.begin_check()
        async with open_nursery() as nursery:
            nursery.start_soon(self._fence.check, unchecked)
            await sleep_until(
                self._deps.cluster.clock, self._context.promote_at
            )
            while not self._fence.state.is_checked and self._objection(
                endpoint
            ):
                await sleep(PROOF_INTERVAL_S)
            nursery.cancel_scope.cancel()

    def _record_withheld(self, exc: '_WithheldError') -> None:
        """Log what is missing for a promotion."""
        evidence = self._evidence(self._fence.state.checked)
        self._deps.log.event(
            'promotion_withheld',
            service=self._service,
            reason=str(exc),
            lead=evidence.primary,
            missing=evidence.missing,
            without_log=self._fence.state.without_log,
            joined=self._fence.joined(self._context.holders()),
            acknowledged=self._context.commits.floor,
            unanswered=self._context.commits.announcement.unanswered,
            lifted=self._fence.watch.lifted,
            endpoints={
                each.endpoint: each.position for each in evidence.fenced
            },
        )

    async def _is_accepted(self, endpoint: str) -> bool:
        """Command the promotion; return whether the command was accepted."""
        self._lease.ensure_valid()
        async with self._upheld_fences(endpoint):
            outcome = await self._command.send(endpoint)
        if outcome == CommandOutcome.REFUSED:
            raise FailoverStoppedError('the promotion was refused')
        if outcome == CommandOutcome.UNANSWERED:
            await self._lease.raise_token()
            return False
        return True

    @asynccontextmanager
    async def _upheld_fences(self, candidate: str) -> AsyncIterator[None]:
        """Fence endpoints that restart or join while a block runs."""
        async with open_nursery() as nursery:
            nursery.start_soon(
                self._fence.uphold, self._context.holders, candidate
            )
            yield
            nursery.cancel_scope.cancel()

    async def _confirm(self, endpoint: str) -> PromotedPrimary:
        """Wait until the promoted endpoint reports its role."""
        async with self._upheld_fences(endpoint):
            promoted = await self._find_promoted(endpoint)
        if promoted is None:
            raise FailoverStoppedError(
                'the new primary did not report its role'
            )
        return promoted

    async def _find_promoted(self, endpoint: str) -> PromotedPrimary | None:
        deadline = current_time() + CONFIRM_TIMEOUT_S
        while current_time() < deadline:
            sent_at = self._deps.cluster.clock()
            status = await self._deps.control.status(endpoint)
            if status is not None and status.is_primary:
                return PromotedPrimary(endpoint, status, sent_at)
            await sleep(CONFIRM_INTERVAL_S)
        return None

    def _evidence(
        self, fenced: tuple[FencedEndpoint, ...]
    ) -> PromotionEvidence:
        primary = self._fence.state.primary
        members = self._deps.cluster.endpoints.one_per_address(
            self._context.holders(), {each.endpoint for each in fenced}, primary
        )
        return PromotionEvidence(
            fenced,
            frozenset(members),
            self._deps.sync_replicas(self._service),
            primary,
        )

    def _unusable(self) -> set[str]:
        """Return the endpoints that should not be promoted."""
        endpoints = self._deps.cluster.endpoints
        return {
            record.endpoint
            for record in endpoints.log_holders(self._service)
            if record.leaving
            or endpoints.is_missing(record.endpoint)
            or self._deps.cluster.evacuated.contains(record.endpoint)
        }


async def sleep_until(clock: Callable[[], float], moment: float) -> None:
    """Sleep until a moment on the clock that counts suspended time.

    Args:
        clock: the clock.
        moment: time on it.

    """
    while clock() < moment:
        await sleep(moment - clock())
