"""How many connections a node may hold to each endpoint right now."""

from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_share import (
    ConnectionHolders,
    connection_share,
)
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.membership_view import MembershipView

# Connections that each endpoint keeps free for questions of nodes.
RESERVED_CONTROL_CONNECTIONS = 4


class ConnectionCaps:
    """Derives this node's part from the declaration, the leads and the nodes.

    Args:
        declaration: the declaration in force.
        cluster: endpoints and leads.
        membership: the nodes that share connections.

    """

    def __init__(
        self,
        *,
        declaration: CurrentDeclaration,
        cluster: ClusterState,
        membership: MembershipView,
    ) -> None:
        """Keep the collaborators."""
        self._declaration = declaration
        self._cluster = cluster
        self._membership = membership

    def cap(self, endpoint: str) -> int:
        """Return how many connections this node may hold to an endpoint.

        Args:
            endpoint: its id.

        Returns:
            The number; 1 while the nodes or the endpoint are not known.

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
        return connection_share(
            service.max_connections - RESERVED_CONTROL_CONNECTIONS,
            self._holders(record.data_centre),
            is_primary=self._cluster.primary(record.service) == endpoint,
        )

    def _holders(self, data_centre: str) -> ConnectionHolders:
        places = [
            beat.data_centre for beat in self._membership.possibly_active()
        ]
        near = places.count(data_centre)
        own_is_near = self._membership.heartbeat.data_centre == data_centre
        return ConnectionHolders(near, len(places) - near, own_is_near)
