"""Replaces the lead of a service: lease, fence, choose, order, confirm."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import partial

from trio import current_time, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.control import EndpointControl, ask_all
from trefoilhitch.pooler.failover_decision import (
    FailoverReason,
    FencedEndpoint,
    choose_candidate,
    choose_replica_candidate,
    holds_every_commit,
    next_term,
)
from trefoilhitch.pooler.held_lease import HeldLease, SuccessionStoppedError
from trefoilhitch.pooler.lease import ObservedLease
from trefoilhitch.pooler.lease_calls import LeaseCalls
from trefoilhitch.pooler.ports import EndpointStatus, Promoter
from trefoilhitch.pooler.primary_tracker import Primary

ORDER_TIMEOUT_S = 1.2
MAX_ORDERS = 4
# How long the new lead may take to show itself after the order was accepted.
CONFIRM_S = 3.0
CONFIRM_PAUSE_S = 0.1
# How long commits in flight may take to reach replicas after a lead stepped
# down by plan.
SETTLE_S = 0.1


@dataclass(frozen=True, slots=True)
class SuccessionParts:
    """What replacing a lead needs.

    Args:
        node: name of this node.
        knowledge: endpoints and leads.
        control: orders to endpoints.
        leases: reads and writes leases.
        promotion: orders promotions.
        sync_replicas: returns a service's replicas that hold a commit before
            it is acknowledged.
        log: takes note of each step.
        metrics: counts.

    """

    node: str
    knowledge: ClusterState
    control: EndpointControl
    leases: LeaseCalls
    promotion: Promoter
    sync_replicas: Callable[[str], int]
    log: DecisionLog
    metrics: Metrics


class Succession:
    """One replacement of the lead of one service.

    Args:
        parts: what it needs.
        service: the service.
        reason: why its lead is replaced.
        attempt: unique mark of this replacement.

    """

    def __init__(
        self,
        parts: SuccessionParts,
        *,
        service: str,
        reason: FailoverReason,
        attempt: str,
    ) -> None:
        """Start without the lease."""
        self._parts = parts
        self._service = service
        self._reason = reason
        self._attempt = attempt
        self._held = HeldLease(
            parts.leases,
            service=service,
            node=parts.node,
            clock=parts.knowledge.clock,
            log=parts.log,
        )
        self._fenced: set[str] = set()
        self._ordered = False
        self._answered = False

    async def run(self, seen: ObservedLease) -> None:
        """Replace the lead.

        Args:
            seen: the lease as this node saw it.

        Raises:
            SuccessionStoppedError: it was given up.
            StoreUnavailableError: the store or the platform did not answer.

        """
        await self._held.take(seen, self._attempt)
        try:
            await self._replace()
        finally:
            if not self._ordered:
                await self._undo()
            await self._held.release(keep_candidate=self._is_pending)

    @property
    def _is_pending(self) -> bool:
        """Whether an order may still be carried out."""
        return self._ordered and not self._answered

    async def _replace(self) -> None:
        knowledge = self._parts.knowledge
        holders = knowledge.endpoints.log_holders(self._service)
        ids = [record.endpoint for record in holders]
        statuses = await ask_all(ids, self._parts.control.status)
        if self._adopt(statuses):
            return
        lead = knowledge.primary(self._service) or _leading(statuses)
        fenced = await self._fence(ids, lead, statuses)
        unusable = {
            record.endpoint
            for record in holders
            if record.leaving or knowledge.endpoints.is_missing(record.endpoint)
        }
        chosen = self._choose(fenced, lead, ids, unusable)
        await self._order(chosen.endpoint)
        await self._confirm(chosen.endpoint)

    def _adopt(self, statuses: dict[str, EndpointStatus]) -> bool:
        """Follow an endpoint that turns out to lead after all."""
        if self._reason not in {
            FailoverReason.SILENT,
            FailoverReason.NO_PRIMARY,
        }:
            return False
        leading = _leading(statuses)
        if leading is None:
            return False
        knowledge = self._parts.knowledge
        status = statuses[leading]
        if status.term < knowledge.proved_term(self._service):
            return False
        lead = Primary(self._service, leading, status.term)
        asked_at = knowledge.clock()
        knowledge.record_proof(lead, status.position, asked_at, 'succession')
        return True

    async def _fence(
        self,
        ids: list[str],
        lead: str | None,
        statuses: dict[str, EndpointStatus],
    ) -> list[FencedEndpoint]:
        term = self._next_term(statuses)
        if lead in statuses:
            await self._settle(lead, term)
        self._fenced.update(each for each in ids if each != lead)
        # A lead that has just not told its status is not waited for again.
        asked = [each for each in ids if each in statuses or each != lead]
        told = await ask_all(asked, partial(self._stop_one, lead, term))
        fenced = [
            FencedEndpoint(
                name, status.term, status.position, was_primary=name == lead
            )
            for name, status in told.items()
            if not status.is_primary
        ]
        self._parts.log.event(
            'fenced',
            service=self._service,
            reason=self._reason.value,
            term=term,
            lead=lead,
            members=ids,
            endpoints={each.endpoint: each.position for each in fenced},
        )
        return fenced

    def _next_term(self, statuses: dict[str, EndpointStatus]) -> int:
        known = {
            name: max(status.term, status.fenced_term)
            for name, status in statuses.items()
        }
        return next_term(
            known, self._parts.knowledge.proved_term(self._service)
        )

    async def _stop_one(
        self, lead: str | None, term: int, endpoint: str
    ) -> EndpointStatus | None:
        control = self._parts.control
        order = control.demote if endpoint == lead else control.fence
        return await order(endpoint, term)

    async def _settle(self, lead: str | None, term: int) -> None:
        """Have the lead refuse commits while those in flight still end."""
        if lead is None:
            return
        demoted = await self._parts.control.demote(lead, term)
        if demoted is not None:
            self._parts.knowledge.record_not_primary(
                self._service, lead, 'succession'
            )
            await sleep(SETTLE_S)

    def _choose(
        self,
        fenced: list[FencedEndpoint],
        lead: str | None,
        ids: Collection[str],
        unusable: Collection[str],
    ) -> FencedEndpoint:
        sync = self._parts.sync_replicas(self._service)
        names = [each.endpoint for each in fenced]
        pending = self._held.lease.candidate
        chosen = choose_replica_candidate(fenced, ids, sync, unusable)
        if chosen is None and holds_every_commit(names, lead, ids, sync):
            chosen = choose_candidate(fenced, unusable, lead)
            chosen = chosen or choose_candidate(fenced, (), None)
        if chosen is None:
            raise SuccessionStoppedError('too few endpoints could be fenced')
        for each in fenced:
            if each.endpoint == pending and each.position == chosen.position:
                return each
        return chosen

    async def _order(self, endpoint: str) -> None:
        parts = self._parts
        await self._held.name_candidate(endpoint)
        for _ in range(MAX_ORDERS):
            self._held.require()
            self._ordered = True
            deadline = current_time() + ORDER_TIMEOUT_S
            try:
                accepted = await parts.promotion.promote(
                    self._service, endpoint, self._held.lease.token, deadline
                )
            except StoreUnavailableError as exc:
                await self._repeat_order(endpoint, exc)
                continue
            self._note_order(endpoint, accepted=accepted)
            return
        raise SuccessionStoppedError('the order was not answered')

    async def _repeat_order(
        self, endpoint: str, exc: StoreUnavailableError
    ) -> None:
        """Take a higher token, so that the unanswered order cannot follow."""
        self._parts.log.event(
            'promotion_unanswered',
            service=self._service,
            endpoint=endpoint,
            token=self._held.lease.token,
            detail=str(exc),
        )
        await self._held.raise_token()

    def _note_order(self, endpoint: str, *, accepted: bool) -> None:
        self._parts.log.event(
            'promotion_ordered',
            service=self._service,
            endpoint=endpoint,
            token=self._held.lease.token,
            reason=self._reason.value,
            accepted=accepted,
        )
        self._answered = True
        outcome = 'accepted' if accepted else 'refused'
        self._parts.metrics.count('promotions', outcome)
        if not accepted:
            self._ordered = False
            raise SuccessionStoppedError('the order was refused')

    async def _confirm(self, endpoint: str) -> None:
        parts = self._parts
        deadline = current_time() + CONFIRM_S
        while current_time() < deadline:
            asked_at = parts.knowledge.clock()
            status = await parts.control.status(endpoint)
            if status is not None and status.is_primary:
                lead = Primary(self._service, endpoint, status.term)
                parts.knowledge.record_proof(
                    lead, status.position, asked_at, 'promotion'
                )
                return
            await sleep(CONFIRM_PAUSE_S)
        raise SuccessionStoppedError('the new lead did not show itself')

    async def _undo(self) -> None:
        await ask_all(sorted(self._fenced), self._parts.control.unfence)


def _leading(statuses: dict[str, EndpointStatus]) -> str | None:
    leading = [name for name, status in statuses.items() if status.is_primary]
    return max(leading, key=lambda name: statuses[name].term, default=None)
