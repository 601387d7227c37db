"""Failover of a service: lease, fencing, choice, promotion, confirmation."""

import math
from collections.abc import Mapping
from functools import partial

from trio import current_time, open_nursery

from trefoilhitch.pooler.acknowledging.failover_commits import FailoverCommits
from trefoilhitch.pooler.endpoint_control import request_all
from trefoilhitch.pooler.failover_decision import (
    FailoverReason,
    newest_primary,
    next_term,
)
from trefoilhitch.pooler.failover_plan import FailoverDependencies, FailoverPlan
from trefoilhitch.pooler.fence_state import FenceState
from trefoilhitch.pooler.fence_watch import FenceWatch
from trefoilhitch.pooler.fenced_promotion import (
    FencedPromotion,
    PromotedPrimary,
    PromotionContext,
    sleep_until,
)
from trefoilhitch.pooler.group_fence import GroupFence
from trefoilhitch.pooler.held_lease import FailoverStoppedError, HeldLease
from trefoilhitch.pooler.known_members import known_members
from trefoilhitch.pooler.lease import ObservedLease
from trefoilhitch.pooler.lease_view import promotion_time
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.promotion_command import PromotionCommand

# Time before the promotion at which its reason is judged again, and a silent
# primary is asked once more.
DECISION_TIME_S = 0.6
# Time before the promotion at which a primary that answers is demoted.
FENCE_TIME_S = 0.25
# Reasons that no longer apply if the primary answers.
KEEPING_REASONS = frozenset(
    (
        FailoverReason.SILENT,
        FailoverReason.NO_PRIMARY,
        FailoverReason.UNFINISHED,
    )
)


class FailoverRunner:
    """Runs one failover of one service.

    Args:
        deps: dependencies of the failover.
        plan: what to replace.

    """

    def __init__(self, deps: FailoverDependencies, plan: FailoverPlan) -> None:
        """Start without the lease."""
        self._deps = deps
        self._plan = plan
        self._service = plan.service
        self._lease = HeldLease(
            deps.leases,
            service=plan.service,
            node=deps.node,
            address=deps.address,
            clock=deps.cluster.clock,
            store_era=deps.store_era,
            log=deps.log,
        )
        self._promote_at = math.inf
        self._fence: GroupFence | None = None
        self._command = PromotionCommand(deps, plan, self._lease)
        self._promotion: FencedPromotion | None = None
        # Whether an endpoint was seen to lead.
        self._is_confirmed = False
        # Whether an earlier holder left an unanswered command.
        self._inherited_command = False
        self._commits = FailoverCommits.from_plan(deps, plan, self._holders)

    async def run(self, seen: ObservedLease) -> None:
        """Replace the primary.

        Args:
            seen: the lease as this node last read it.

        Raises:
            FailoverStoppedError: the failover was given up.
            StoreUnavailableError: the store or the platform did not answer.
            UnreadableLeaseError: another writer stored a lease that cannot be
                read.

        """
        self._commits.granted.add_pending(seen.record.candidate)
        with self._deps.attempts.running(self._plan.attempt, self._commits):
            await self._lease.acquire(seen, self._plan.attempt)
            now = self._deps.cluster.clock()
            self._promote_at = promotion_time(seen, now)
            self._inherited_command = bool(seen.record.candidate)
            try:
                await self._run_steps()
            finally:
                if not self._needs_fences:
                    await self._lift_fences()
                await self._lease.release(keep_candidate=self._is_pending)

    @property
    def _needs_fences(self) -> bool:
        """Whether a command may take effect that relies on the fences.

        Fences that do not keep a primary from acknowledging commits would only
        keep these from the candidate of an earlier holder.
        """
        if self._command.was_sent:
            return True
        is_sealed = self._promotion is not None and self._promotion.is_sealed
        return self._is_pending and is_sealed

    @property
    def _is_pending(self) -> bool:
        """Whether a promotion command may still take effect unseen."""
        if self._is_confirmed:
            return False
        if self._command.was_sent:
            return True
        return self._inherited_command and not self._command.was_answered

    async def _run_steps(self) -> None:
        self._ensure_no_newer_primary()
        if not await self._deps.groups.learn(self._service):
            raise FailoverStoppedError('some members may not be known yet')
        clock = self._deps.cluster.clock
        await sleep_until(clock, self._promote_at - DECISION_TIME_S)
        ids = self._holders()
        sent_at = clock()
        statuses = await self._request_statuses(ids)
        primary = self._current_primary(statuses)
        self._commits.granted.exclude(primary or '')
        self._commits.granted.record(statuses)
        if self._keep_reported_primary(statuses, primary, sent_at):
            return
        if self._is_only_held():
            raise FailoverStoppedError('the primary did not answer')
        # A primary that still answers serves until shortly before its
        # successor does.
        await sleep_until(clock, self._promote_at - FENCE_TIME_S)
        self._ensure_needed()
        await self._replace(ids, primary, statuses)

    def _is_only_held(self) -> bool:
        """Return whether nothing but a held lease called for the failover."""
        is_unfinished = self._plan.reason == FailoverReason.UNFINISHED
        return is_unfinished and not self._lease.record.candidate

    async def _replace(
        self,
        ids: list[str],
        primary: str | None,
        statuses: Mapping[str, EndpointStatus],
    ) -> None:
        fence = await self._fence_all(ids, primary, statuses)
        self._promotion = FencedPromotion(
            self._deps,
            self._plan,
            self._lease,
            fence=fence,
            command=self._command,
            context=PromotionContext(
                self._commits.delay_promotion(self._promote_at),
                self._holders,
                self._ensure_no_newer_primary,
                self._commits,
            ),
        )
        promoted = await self._promotion.run()
        self._is_confirmed = True
        self._record_primary(promoted)
        await self._lift_fences(above=promoted.status.term)

    def _holders(self) -> list[str]:
        """Return the endpoints that may hold commits which others lack."""
        endpoints = self._deps.cluster.endpoints
        return [
            record.endpoint for record in endpoints.log_holders(self._service)
        ]

    async def _request_statuses(
        self, ids: list[str]
    ) -> dict[str, EndpointStatus]:
        """Request the endpoints' statuses and the opinion of other nodes.

        Returns:
            The statuses of the endpoints that answered.

        Raises:
            FailoverStoppedError: another node reaches the primary.

        """
        statuses: dict[str, EndpointStatus] = {}
        async with open_nursery() as nursery:
            nursery.start_soon(self._collect_statuses, ids, statuses)
            nursery.start_soon(self._commits.announcement.send)
            is_shared = await self._plan.is_suspicion_shared()
        if not is_shared:
            raise FailoverStoppedError('other nodes do not share the suspicion')
        return statuses

    async def _collect_statuses(
        self, ids: list[str], statuses: dict[str, EndpointStatus]
    ) -> None:
        statuses.update(await request_all(ids, self._deps.control.status))

    def _ensure_needed(self) -> None:
        """Judge the reason again after the wait for the lease.

        Raises:
            FailoverStoppedError: another primary became known, or the reason
                no longer applies.

        """
        if not self._plan.is_needed():
            raise FailoverStoppedError('the reason no longer applies')
        self._ensure_no_newer_primary()

    def _current_primary(
        self, statuses: Mapping[str, EndpointStatus]
    ) -> str | None:
        """Return the endpoint of the latest term that anything names."""
        cluster = self._deps.cluster
        record = self._lease.record
        known = cluster.primary(self._service)
        claims = [
            Primary(self._service, name, status.term)
            for name, status in statuses.items()
            if status.is_primary
        ]
        if record.primary:
            claims.append(Primary(self._service, record.primary, record.term))
        if known is not None:
            term = cluster.proved_term(self._service)
            claims.append(Primary(self._service, known, term))
        newest = newest_primary(claims)
        return newest.endpoint if newest else None

    def _keep_reported_primary(
        self,
        statuses: Mapping[str, EndpointStatus],
        primary: str | None,
        sent_at: float,
    ) -> bool:
        """Keep an endpoint that turns out to be the primary after all."""
        status = statuses.get(primary or '')
        if primary is None or status is None or not status.is_primary:
            return False
        if status.term < self._deps.cluster.proved_term(self._service):
            return False
        if self._lease.record.candidate not in {'', primary}:
            # The promotion of another endpoint may still take effect.
            return False
        if self._plan.reason not in KEEPING_REASONS:
            return False
        proved = Primary(self._service, primary, status.term)
        self._is_confirmed = True
        self._lease.record_promotion(proved)
        self._deps.cluster.record_proof(
            proved, status.position, sent_at, 'succession'
        )
        return True

    async def _fence_all(
        self,
        ids: list[str],
        primary: str | None,
        statuses: Mapping[str, EndpointStatus],
    ) -> GroupFence:
        term = self._next_term(statuses)
        state = FenceState(
            term=term,
            known_term=self._known_term(statuses),
            primary=primary,
            needed_position=partial(
                self._deps.cluster.needed_position, self._service
            ),
        )
        fence = GroupFence(self._deps.control, state, self._make_watch(term))
        self._fence = fence
        async with open_nursery() as nursery:
            nursery.start_soon(self._commits.announcement.send)
            await fence.apply(ids, statuses)
        # Of those that joined since the statuses were requested, none may
        # receive commits of a primary that goes on.
        await fence.extend(self._holders())
        if primary in {each.endpoint for each in state.fenced}:
            self._deps.cluster.record_not_primary(
                self._service, primary or '', 'succession'
            )
        self._deps.log.event(
            'fenced',
            service=self._service,
            reason=self._plan.reason.value,
            term=term,
            lead=primary,
            members=self._holders(),
            endpoints={each.endpoint: each.position for each in state.fenced},
            statuses=dict(statuses),
            known=known_members(
                self._deps.cluster.endpoints, self._service, current_time()
            ),
            acknowledged=self._commits.floor,
            unanswered=self._commits.announcement.unanswered,
        )
        return fence

    def _make_watch(self, term: int) -> FenceWatch:
        listings = self._deps.cluster.endpoints.listings
        return FenceWatch(
            service=self._service,
            term=term,
            started_at_ms=listings.started_at_ms,
            connected_since=self._deps.control.connected_since,
            log=self._deps.log,
        )

    def _next_term(self, statuses: Mapping[str, EndpointStatus]) -> int:
        fenced = {name: status.fenced_term for name, status in statuses.items()}
        return next_term(fenced, self._known_term(statuses))

    def _known_term(self, statuses: Mapping[str, EndpointStatus]) -> int:
        """Return the latest term in which a primary is known to have led."""
        reported = (status.term for status in statuses.values())
        recorded = self._lease.record.term
        proved = self._deps.cluster.proved_term(self._service)
        return max((*reported, recorded, proved))

    def _ensure_no_newer_primary(self) -> None:
        cluster = self._deps.cluster
        record = self._lease.record
        if record.term > cluster.proved_term(self._service):
            recorded = Primary(self._service, record.primary, record.term)
            cluster.record_primary(recorded, 'lease')
        replaced = self._plan.replaced
        term = cluster.proved_term(self._service)
        primary = cluster.primary(self._service)
        is_other = primary is not None and primary != replaced.endpoint
        if term > replaced.term and (replaced.term or is_other):
            raise FailoverStoppedError('a newer primary is known')

    async def _lift_fences(self, above: int = 0) -> None:
        """Lift fences above a term, unless another node may have set them.

        Without the lease, another failover may rely on its own fences.
        """
        fence = self._fence
        if fence and fence.outlasts(above) and self._lease.is_valid():
            await fence.lift()

    def _record_primary(self, promoted: PromotedPrimary) -> None:
        cluster = self._deps.cluster
        status = promoted.status
        primary = Primary(self._service, promoted.endpoint, status.term)
        self._lease.record_promotion(primary)
        if self._lease.is_valid():
            # No other node has promoted an endpoint meanwhile.
            cluster.record_proof(
                primary, status.position, promoted.sent_at, 'promotion'
            )
        else:
            cluster.record_primary(primary, 'promotion')
