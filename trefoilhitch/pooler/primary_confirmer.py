"""Asks replicas whether a primary may have been replaced."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from trio import current_time

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import AVOID_SILENT_S, ClusterState
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_confirmation import (
    is_confirmed,
    may_confirm,
    needed_confirmations,
    replica_confirms,
    replica_holds,
)


@dataclass(frozen=True, slots=True)
class ReplicaStatuses:
    """Statuses of a service's replicas, requested after a given moment.

    Args:
        statuses: statuses of the replicas that responded.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    """

    statuses: tuple[EndpointStatus, ...]
    sync_replicas: int

    def confirm(self, term: int) -> bool:
        """Return whether the primary of a term had not been replaced.

        Args:
            term: term that the primary reported after the same moment.

        """
        return is_confirmed(term, self.statuses, self.sync_replicas)

    def may_confirm(self) -> bool:
        """Return whether a primary of some term may be confirmed."""
        return may_confirm(self.statuses, self.sync_replicas)


class PrimaryConfirmer:
    """Collects the statuses of replicas, those of near ones first.

    Args:
        cluster: known endpoints.
        request_status: returns a status that was requested after the call.
        sync_replicas: returns how many replicas of a service hold a commit
            before it is acknowledged.
        log: records confirmations that failed.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        request_status: Callable[[str], Awaitable[EndpointStatus | None]],
        sync_replicas: Callable[[str], int],
        log: DecisionLog,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._request_status = request_status
        self._sync_replicas = sync_replicas
        self._log = log

    def commit_proves_primary(self, service: str) -> bool:
        """Return whether an acknowledged commit proves the primary.

        It does if a replica had to receive it: a fenced one receives nothing.

        Args:
            service: service name.

        """
        return self._sync_replicas(service) > 0

    async def collect(
        self, service: str, primary: str, term: int
    ) -> ReplicaStatuses:
        """Request statuses until enough replicas confirm a term.

        Args:
            service: service name.
            primary: id of the primary.
            term: latest known term of the service.

        Returns:
            The statuses, all requested after this call.

        """
        sync_replicas = self._sync_replicas(service)
        needed = needed_confirmations(sync_replicas)
        statuses: list[EndpointStatus] = []
        for endpoint in self._replicas(service, primary):
            status = await self._request_status(endpoint)
            if status is None:
                self._record_failure(service, endpoint)
                continue
            statuses.append(status)
            needed -= replica_confirms(status, term)
            if needed <= 0:
                break
        return ReplicaStatuses(tuple(statuses), sync_replicas)

    async def holds_commit(
        self, service: str, primary: str, position: LogPosition
    ) -> bool:
        """Return whether enough known replicas hold a commit.

        Args:
            service: service name.
            primary: id of the endpoint that acknowledged it.
            position: end of its log at that time.

        Returns:
            True if a promotion that lacks the commit cannot have been
            commanded under fences that stood when the replicas were asked.

        """
        needed = needed_confirmations(self._sync_replicas(service))
        for endpoint in self._replicas(service, primary):
            status = await self._request_status(endpoint)
            if status is None:
                self._record_failure(service, endpoint)
            elif replica_holds(status, position):
                needed -= 1
            if needed <= 0:
                return True
        return False

    def _replicas(self, service: str, primary: str) -> list[str]:
        members = self._cluster.endpoints.members(service)
        ranked = self._cluster.selector.rank(members, current_time())
        return [
            record.endpoint for record in ranked if record.endpoint != primary
        ]

    def _record_failure(self, service: str, endpoint: str) -> None:
        self._log.event(
            'confirmation_failed', service=service, endpoint=endpoint
        )
        self._cluster.selector.avoid(endpoint, current_time() + AVOID_SILENT_S)
