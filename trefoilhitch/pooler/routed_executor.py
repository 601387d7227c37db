"""Chooses whether this node or a gateway runs a statement."""

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.statement_executor import (
    StartedStatement,
    StatementExecutor,
    StatementJob,
)


class EndpointGateways:
    """Finds the gateways to an endpoint.

    Args:
        cluster: known endpoints.
        directory: tells which nodes hold connections.
        node: name of this node.

    """

    def __init__(
        self, cluster: ClusterState, directory: GatewayDirectory, node: str
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._directory = directory
        self._node = node

    @property
    def are_used(self) -> bool:
        """Whether gateways hold the connections."""
        return self._directory.is_active

    def rank(self, endpoint: str, subject: str) -> tuple[MemberBeat, ...]:
        """Return the gateways to an endpoint.

        Args:
            endpoint: endpoint id.
            subject: organisation, or service for control requests.

        Returns:
            Gateways, the first choice first.

        """
        record = self._cluster.find(endpoint)
        if record is None:
            return ()
        return self._directory.rank(record.data_centre, subject)

    def holds_connections(self, endpoint: str) -> bool:
        """Return whether this node is a gateway to an endpoint.

        Args:
            endpoint: endpoint id.

        """
        record = self._cluster.find(endpoint)
        return record is not None and bool(
            self._directory.connection_cap(record.data_centre, 0)
        )

    def is_own(self, endpoint: str, subject: str) -> bool:
        """Return whether this node holds the connections to an endpoint.

        Args:
            endpoint: endpoint id.
            subject: organisation, or service for control requests.

        """
        if not self._directory.is_active:
            return True
        ranked = self.rank(endpoint, subject)
        return bool(ranked) and ranked[0].node == self._node


class RoutedExecutor:
    """Runs statements on this node's connections or through a gateway.

    Args:
        gateways: finds the gateways to an endpoint.
        local: runs statements on this node's connections.
        remote: runs statements through gateways.

    """

    def __init__(
        self,
        *,
        gateways: EndpointGateways,
        local: StatementExecutor,
        remote: StatementExecutor,
    ) -> None:
        """Store the dependencies."""
        self._gateways = gateways
        self._local = local
        self._remote = remote

    async def start(self, job: StatementJob) -> StartedStatement:
        """Run a statement; see `StatementExecutor`."""
        if self._gateways.is_own(job.endpoint, job.organisation):
            return await self._local.start(job)
        return await self._remote.start(job)
