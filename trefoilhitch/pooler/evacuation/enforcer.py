"""Ends what still runs in a data centre when its evacuation takes effect."""

from collections.abc import Callable

from trio import sleep

from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.evacuation.evacuations import Evacuations

ENFORCE_INTERVAL_S = 0.1


class EvacuationEnforcer:
    """Ends waits and open transactions, and closes idle connections.

    Args:
        evacuations: the evacuations in force.
        cluster: known endpoints.
        pool: connections of this node.
        reject_waiters: rejects the statements that wait for an endpoint.
        end_transactions: rolls back the idle transactions on endpoints that
            must have none any more.

    """

    def __init__(
        self,
        *,
        evacuations: Evacuations,
        cluster: ClusterState,
        pool: ConnectionPool,
        reject_waiters: Callable[[str], None],
        end_transactions: Callable[[], None],
    ) -> None:
        """Start without closed endpoints."""
        self._evacuations = evacuations
        self._cluster = cluster
        self._pool = pool
        self._reject_waiters = reject_waiters
        self._end_transactions = end_transactions
        self._closed: set[str] = set()

    async def run(self) -> None:
        """Enforce evacuations until cancelled."""
        while True:
            await sleep(ENFORCE_INTERVAL_S)
            self._evacuations.tick()
            self._evacuations.expire()
            self._close_excluded()

    def _close_excluded(self) -> None:
        evacuated = self._cluster.evacuated
        if not evacuated.data_centres.names:
            self._closed.clear()
            return
        excluded = {
            record.endpoint
            for service in self._cluster.endpoints.services()
            for record in self._cluster.endpoints.members(service)
            if evacuated.excludes(record.endpoint)
        }
        for endpoint in excluded - self._closed:
            self._reject_waiters(endpoint)
            self._pool.close_idle(endpoint)
        self._closed = excluded
        self._end_transactions()
