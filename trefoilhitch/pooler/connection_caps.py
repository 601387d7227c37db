"""Caps on the number of connections from this node to each endpoint."""

from math import ceil

from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_share import (
    ConnectionHolders,
    connection_share,
)
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.gateway_placement import RESERVED_CONTROL_CONNECTIONS
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.scheduling.concurrency_limit import SlotBounds


class ConnectionCaps:
    """Computes this node's share of the connections of each endpoint.

    Args:
        declaration: declaration in force.
        cluster: known endpoints and primaries.
        membership: nodes that share the connections.
        directory: tells which nodes hold connections.

    """

    def __init__(
        self,
        *,
        declaration: CurrentDeclaration,
        cluster: ClusterState,
        membership: MembershipView,
        directory: GatewayDirectory,
    ) -> None:
        """Store the sources of the caps."""
        self._directory = directory
        self._declaration = declaration
        self._cluster = cluster
        self._membership = membership

    def cap(self, endpoint: str) -> int:
        """Return how many connections this node may hold to an endpoint.

        Args:
            endpoint: endpoint id.

        Returns:
            The number; 1 while the nodes or the endpoint are unknown, 0 if
            other nodes are the gateways to it.

        """
        record = self._cluster.find(endpoint)
        catalogue = self._declaration.catalogue
        if (
            record is None
            or catalogue is None
            or not self._membership.nodes_listed
        ):
            return 1
        service = catalogue.services.get(record.service)
        if service is None:
            return 1
        if self._directory.is_active:
            return self._directory.connection_cap(
                record.data_centre, service.max_connections
            )
        return connection_share(
            service.max_connections - RESERVED_CONTROL_CONNECTIONS,
            self._holders(record.data_centre),
            is_primary=self._cluster.known_primary(record.service) == endpoint,
        )

    def slot_bounds(self, endpoint: str) -> SlotBounds:
        """Return what this node may use of an endpoint.

        Its part of the slots is that of the connections, rounded up, so that
        all nodes together can use all slots.

        Args:
            endpoint: endpoint id.

        Returns:
            The bounds; one slot without a declared number of slots.

        """
        cap = self.cap(endpoint)
        record = self._cluster.find(endpoint)
        catalogue = self._declaration.catalogue
        service = None
        if record is not None and catalogue is not None:
            service = catalogue.services.get(record.service)
        if record is None or service is None or record.slots <= 0:
            return SlotBounds(1, cap)
        connections = max(1, service.max_connections)
        return SlotBounds(ceil(record.slots * cap / connections), cap)

    def _holders(self, data_centre: str) -> ConnectionHolders:
        data_centres = [
            heartbeat.data_centre
            for heartbeat in self._membership.possibly_active()
        ]
        local = data_centres.count(data_centre)
        own_is_local = self._membership.heartbeat.data_centre == data_centre
        return ConnectionHolders(local, len(data_centres) - local, own_is_local)
