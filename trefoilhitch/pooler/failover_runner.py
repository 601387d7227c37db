"""Failover of a service: lease, fencing, choice, promotion, confirmation."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import partial

from trio import current_time, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_control import EndpointControl, request_all
from trefoilhitch.pooler.failover_decision import (
    FailoverReason,
    FencedEndpoint,
    choose_candidate,
    choose_replica_candidate,
    holds_every_commit,
    next_term,
)
from trefoilhitch.pooler.held_lease import FailoverStoppedError, HeldLease
from trefoilhitch.pooler.lease import ObservedLease
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.ports import EndpointStatus, Promoter
from trefoilhitch.pooler.primary_tracker import Primary

PROMOTION_TIMEOUT_S = 1.2
MAX_PROMOTION_ATTEMPTS = 4
# How long the new primary may take to report its role after the promotion was
# accepted.
CONFIRM_TIMEOUT_S = 3.0
CONFIRM_INTERVAL_S = 0.1
# How long commits in flight may take to reach replicas after a primary that
# still answers was demoted.
IN_FLIGHT_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class FailoverDependencies:
    """Dependencies of a failover.

    Args:
        node: name of this node.
        cluster: known endpoints and primaries.
        control: sends control statements to endpoints.
        leases: reads and writes leases.
        promoter: commands promotions.
        sync_replicas: returns how many replicas of a service hold a commit
            before it is acknowledged.
        log: records each step.
        metrics: counts promotions.

    """

    node: str
    cluster: ClusterState
    control: EndpointControl
    leases: LeaseClient
    promoter: Promoter
    sync_replicas: Callable[[str], int]
    log: DecisionLog
    metrics: Metrics


class FailoverRunner:
    """Runs one failover of one service.

    Args:
        deps: dependencies of the failover.
        service: name of the service.
        reason: why its primary is replaced.
        attempt: unique id of this failover.

    """

    def __init__(
        self,
        deps: FailoverDependencies,
        *,
        service: str,
        reason: FailoverReason,
        attempt: str,
    ) -> None:
        """Start without the lease."""
        self._deps = deps
        self._service = service
        self._reason = reason
        self._attempt = attempt
        self._lease = HeldLease(
            deps.leases,
            service=service,
            node=deps.node,
            clock=deps.cluster.clock,
            log=deps.log,
        )
        self._fenced: set[str] = set()
        self._commanded = False
        self._answered = False

    async def run(self, seen: ObservedLease) -> None:
        """Replace the primary.

        Args:
            seen: the lease as this node last read it.

        Raises:
            FailoverStoppedError: the failover was given up.
            StoreUnavailableError: the store or the platform did not answer.

        """
        await self._lease.acquire(seen, self._attempt)
        try:
            await self._run_steps()
        finally:
            if not self._commanded:
                await self._unfence_all()
            await self._lease.release(keep_candidate=self._is_pending)

    @property
    def _is_pending(self) -> bool:
        """Whether an unanswered promotion command may still take effect."""
        return self._commanded and not self._answered

    async def _run_steps(self) -> None:
        cluster = self._deps.cluster
        holders = cluster.endpoints.log_holders(self._service)
        ids = [record.endpoint for record in holders]
        statuses = await request_all(ids, self._deps.control.status)
        if self._keep_reported_primary(statuses):
            return
        primary = cluster.primary(self._service) or _reported_primary(statuses)
        fenced = await self._fence(ids, primary, statuses)
        unusable = {
            record.endpoint
            for record in holders
            if record.leaving or cluster.endpoints.is_missing(record.endpoint)
        }
        chosen = self._choose_candidate(fenced, primary, ids, unusable)
        await self._promote(chosen.endpoint)
        await self._confirm(chosen.endpoint)

    def _keep_reported_primary(
        self, statuses: dict[str, EndpointStatus]
    ) -> bool:
        """Keep an endpoint that turns out to be the primary after all."""
        if self._reason not in {
            FailoverReason.SILENT,
            FailoverReason.NO_PRIMARY,
        }:
            return False
        reported = _reported_primary(statuses)
        if reported is None:
            return False
        cluster = self._deps.cluster
        status = statuses[reported]
        if status.term < cluster.proved_term(self._service):
            return False
        primary = Primary(self._service, reported, status.term)
        sent_at = cluster.clock()
        cluster.record_proof(primary, status.position, sent_at, 'succession')
        return True

    async def _fence(
        self,
        ids: list[str],
        primary: str | None,
        statuses: dict[str, EndpointStatus],
    ) -> list[FencedEndpoint]:
        term = self._next_term(statuses)
        if primary in statuses:
            await self._demote_primary(primary, term)
        self._fenced.update(each for each in ids if each != primary)
        # A primary that has just failed to report its status is not waited for
        # again.
        targets = [each for each in ids if each in statuses or each != primary]
        replies = await request_all(
            targets, partial(self._fence_one, primary, term)
        )
        fenced = [
            FencedEndpoint(
                name, status.term, status.position, was_primary=name == primary
            )
            for name, status in replies.items()
            if not status.is_primary
        ]
        self._deps.log.event(
            'fenced',
            service=self._service,
            reason=self._reason.value,
            term=term,
            lead=primary,
            members=ids,
            endpoints={each.endpoint: each.position for each in fenced},
        )
        return fenced

    def _next_term(self, statuses: dict[str, EndpointStatus]) -> int:
        known = {
            name: max(status.term, status.fenced_term)
            for name, status in statuses.items()
        }
        return next_term(known, self._deps.cluster.proved_term(self._service))

    async def _fence_one(
        self, primary: str | None, term: int, endpoint: str
    ) -> EndpointStatus | None:
        control = self._deps.control
        send = control.demote if endpoint == primary else control.fence
        return await send(endpoint, term)

    async def _demote_primary(self, primary: str | None, term: int) -> None:
        """Make the primary refuse commits while those in flight finish."""
        if primary is None:
            return
        demoted = await self._deps.control.demote(primary, term)
        if demoted is not None:
            self._deps.cluster.record_not_primary(
                self._service, primary, 'succession'
            )
            await sleep(IN_FLIGHT_WAIT_S)

    def _choose_candidate(
        self,
        fenced: list[FencedEndpoint],
        primary: str | None,
        ids: Collection[str],
        unusable: Collection[str],
    ) -> FencedEndpoint:
        sync = self._deps.sync_replicas(self._service)
        names = [each.endpoint for each in fenced]
        pending = self._lease.record.candidate
        chosen = choose_replica_candidate(fenced, ids, sync, unusable)
        if chosen is None and holds_every_commit(names, primary, ids, sync):
            chosen = choose_candidate(fenced, unusable, primary)
            chosen = chosen or choose_candidate(fenced, (), None)
        if chosen is None:
            raise FailoverStoppedError('too few endpoints could be fenced')
        for each in fenced:
            if each.endpoint == pending and each.position == chosen.position:
                return each
        return chosen

    async def _promote(self, endpoint: str) -> None:
        deps = self._deps
        await self._lease.record_candidate(endpoint)
        for _ in range(MAX_PROMOTION_ATTEMPTS):
            self._lease.ensure_valid()
            self._commanded = True
            deadline = current_time() + PROMOTION_TIMEOUT_S
            try:
                accepted = await deps.promoter.promote(
                    self._service, endpoint, self._lease.record.token, deadline
                )
            except StoreUnavailableError as exc:
                await self._prepare_retry(endpoint, exc)
                continue
            self._record_promotion(endpoint, accepted=accepted)
            return
        raise FailoverStoppedError('no promotion command was answered')

    async def _prepare_retry(
        self, endpoint: str, exc: StoreUnavailableError
    ) -> None:
        """Raise the token, so that the unanswered command has no effect."""
        self._deps.log.event(
            'promotion_unanswered',
            service=self._service,
            endpoint=endpoint,
            token=self._lease.record.token,
            detail=str(exc),
        )
        await self._lease.raise_token()

    def _record_promotion(self, endpoint: str, *, accepted: bool) -> None:
        self._deps.log.event(
            'promotion_ordered',
            service=self._service,
            endpoint=endpoint,
            token=self._lease.record.token,
            reason=self._reason.value,
            accepted=accepted,
        )
        self._answered = True
        outcome = 'accepted' if accepted else 'refused'
        self._deps.metrics.count('promotions', outcome)
        if not accepted:
            self._commanded = False
            raise FailoverStoppedError('the promotion was refused')

    async def _confirm(self, endpoint: str) -> None:
        deps = self._deps
        deadline = current_time() + CONFIRM_TIMEOUT_S
        while current_time() < deadline:
            sent_at = deps.cluster.clock()
            status = await deps.control.status(endpoint)
            if status is not None and status.is_primary:
                primary = Primary(self._service, endpoint, status.term)
                deps.cluster.record_proof(
                    primary, status.position, sent_at, 'promotion'
                )
                return
            await sleep(CONFIRM_INTERVAL_S)
        raise FailoverStoppedError('the new primary did not report its role')

    async def _unfence_all(self) -> None:
        await request_all(sorted(self._fenced), self._deps.control.unfence)


def _reported_primary(statuses: dict[str, EndpointStatus]) -> str | None:
    reported = [name for name, status in statuses.items() if status.is_primary]
    return max(reported, key=lambda name: statuses[name].term, default=None)
