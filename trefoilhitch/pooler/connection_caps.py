"""How many connections a node may hold to each endpoint right now."""

from trefoilhitch.pooler.connection_share import Holders, connection_share
from trefoilhitch.pooler.declared import DeclaredState
from trefoilhitch.pooler.fleet_view import FleetView
from trefoilhitch.pooler.knowledge import Knowledge

# Connections that each endpoint keeps free for questions of nodes.
CONTROL_CONNECTIONS = 4


class ConnectionCaps:
    """Derives this node's part from the declaration, the leads and the nodes.

    Args:
        declared: the declaration in force.
        knowledge: endpoints and leads.
        fleet: the nodes that share connections.

    """

    def __init__(
        self,
        *,
        declared: DeclaredState,
        knowledge: Knowledge,
        fleet: FleetView,
    ) -> None:
        """Keep the collaborators."""
        self._declared = declared
        self._knowledge = knowledge
        self._fleet = fleet

    def cap(self, endpoint: str) -> int:
        """Return how many connections this node may hold to an endpoint.

        Args:
            endpoint: its id.

        Returns:
            The number; 1 while the nodes or the endpoint are not known.

        """
        record = self._knowledge.find(endpoint)
        catalogue = self._declared.catalogue
        if record is None or catalogue is None or not self._fleet.listed:
            return 1
        service = catalogue.services.get(record.service)
        if service is None:
            return 1
        return connection_share(
            service.max_connections - CONTROL_CONNECTIONS,
            self._holders(record.data_centre),
            leads=self._knowledge.lead(record.service) == endpoint,
        )

    def _holders(self, data_centre: str) -> Holders:
        places = [beat.data_centre for beat in self._fleet.remembered()]
        near = places.count(data_centre)
        own_is_near = self._fleet.beat.data_centre == data_centre
        return Holders(near, len(places) - near, own_is_near)
