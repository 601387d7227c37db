"""Writes the leases again that a restored store has lost."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.era_numbers import FIRST_ERA
from trefoilhitch.pooler.lease import (
    LEASE_DURATION_S,
    LeaseRecord,
    ObservedLease,
    may_acquire,
    next_token,
)
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.monitor_order import RANK_DELAY_S
from trefoilhitch.pooler.primary_confirmer import PrimaryConfirmer
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.store_era import StoreEra

RETRY_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRestorerDependencies:
    """Dependencies of a restorer of leases.

    Args:
        node: name of this node.
        cluster: known primaries.
        control: requests the status of endpoints.
        confirmer: asks replicas whether a primary may have been replaced.
        leases: reads and writes leases.
        store_era: era of the store.
        log: records leases that were restored.

    """

    node: str
    cluster: ClusterState
    control: EndpointControl
    confirmer: PrimaryConfirmer
    leases: LeaseClient
    store_era: StoreEra
    log: DecisionLog


class LeaseRestorer:
    """Restores the leases of services in a later era of the store.

    A lease permits the use of a primary unasked only if it was written in the
    present era. So the primary is confirmed once by its replicas, after the
    leases of earlier eras have expired, and recorded in the lease.

    Args:
        deps: dependencies of the restorer.

    """

    def __init__(self, deps: LeaseRestorerDependencies) -> None:
        """Start before any restoration of the store."""
        self._deps = deps
        # Era in which the lease of a service was last found or written.
        self._done: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}

    async def restore_if_due(self, service: str, rank: int) -> None:
        """Restore the lease of a service unless it is of the present era.

        Args:
            service: service name.
            rank: number of nodes that restore it earlier than this one.

        """
        if not self._is_due(service, rank):
            return
        deps = self._deps
        self._retry_at[service] = self._clock() + RETRY_PAUSE_S
        try:
            lease = await deps.leases.read(service)
            if not lease.belongs_to_era:
                lease = await self._restore(service, lease)
        except StoreError as exc:
            deps.log.event('lease_unread', service=service, detail=str(exc))
            return
        if lease.belongs_to_era:
            self._done[service] = lease.era

    def _is_due(self, service: str, rank: int) -> bool:
        era = self._deps.store_era
        if era.current <= FIRST_ERA or self._done.get(service) == era.current:
            return False
        due_at = max(
            era.seen_at + LEASE_DURATION_S + rank * RANK_DELAY_S,
            self._retry_at.get(service, -math.inf),
        )
        return self._clock() >= due_at

    async def _restore(self, service: str, lost: LeaseRecord) -> LeaseRecord:
        """Write a lease again; return the lease as far as it is known."""
        deps = self._deps
        now = self._clock()
        observed = ObservedLease(lost, now)
        if not may_acquire(observed, deps.node, now, deps.store_era.seen_at):
            return lost
        primary = await self._confirm_primary(service)
        if primary is None:
            return lost
        restored = _record_primary(lost, primary, f'{deps.node}/restored')
        stored = await deps.leases.write(service, restored)
        if stored is None:
            return lost
        deps.log.event(
            'lease_restored',
            service=service,
            era=stored.era,
            token=stored.token,
            primary=primary.endpoint,
            term=primary.term,
        )
        return stored

    async def _confirm_primary(self, service: str) -> Primary | None:
        """Return the primary if it was not replaced before this call."""
        deps = self._deps
        endpoint = deps.cluster.primary(service)
        if endpoint is None:
            return None
        status = await deps.control.status(endpoint)
        if status is None or not status.is_primary:
            return None
        replicas = await deps.confirmer.collect(service, endpoint, status.term)
        if not replicas.confirm(status.term):
            return None
        return Primary(service, endpoint, status.term)

    @property
    def _clock(self) -> Callable[[], float]:
        return self._deps.cluster.clock


def _record_primary(
    lost: LeaseRecord, primary: Primary, attempt: str
) -> LeaseRecord:
    is_promoted = lost.candidate == primary.endpoint
    return replace(
        lost,
        token=next_token(lost),
        holder='',
        address='',
        attempt=attempt,
        # The promotion of another endpoint may still take effect.
        candidate='' if is_promoted else lost.candidate,
        primary=primary.endpoint,
        term=primary.term,
    )
