"""Decides which nodes hold the connections to endpoints, and for whom.

An endpoint accepts few connections, each bound to one organisation, and an
organisation's rate counts over all nodes. With few nodes, each holds its own
part of both. With many, a part is less than one connection and less than one
operation: nodes open connections for single statements, exceed the limit of
the endpoint and refuse organisations that are within their rate. Then some
nodes of each data centre, the gateways, hold all connections to the endpoints
there, and one of them serves all statements of an organisation.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.placement import rank_nodes
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.control.capacity_ranking import (
    do_capacities_differ,
    rank_strong_first,
    rank_weighted,
    strong_count,
)

# Connections of an endpoint that are reserved for control requests: of each
# node that monitors it, and of nodes that are asked for a second opinion.
RESERVED_CONTROL_CONNECTIONS = 4
GATEWAY_CONTROL_CONNECTIONS = 8
# Connections of these that a node may hold which stands in for a gateway.
BACKUP_CONNECTIONS = 2
# A node serves its clients itself if its part of an endpoint's connections and
# of a typical organisation's operations in a window is at least this much.
MIN_DIRECT_CONNECTIONS = 2
MIN_DIRECT_OPERATIONS = 2
# Connections to each endpoint that a gateway should hold, so that they can be
# reused although each is bound to one organisation.
CONNECTIONS_PER_GATEWAY = 16
# Gateways of a data centre with one VM that is stronger than all others, so
# that another one holds connections when that is lost.
MIN_STRONG_GATEWAYS = 2
# Least number of nodes that stand in for few strong gateways.
MIN_BACKUPS = 3


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the nodes have to divide.

    Args:
        connections: connections that the most limited endpoint accepts.
        operations: operations that a typical organisation may run in one
            window of its rate.

    """

    connections: int
    operations: float

    @classmethod
    def from_catalogue(
        cls, catalogue: Catalogue, window_s: float
    ) -> 'Capacity':
        """Derive the capacity from the declaration.

        Args:
            catalogue: catalogue in force.
            window_s: length of the window in which operations are counted.

        Returns:
            The capacity.

        """
        connections = min(
            (each.max_connections for each in catalogue.services.values()),
            default=0,
        )
        operations = [
            each.rate_per_s * window_s + each.burst
            for each in catalogue.organisations.values()
        ]
        return cls(connections, _median(operations))


@dataclass(frozen=True, slots=True)
class GatewaySet:
    """Nodes of one data centre that hold connections to its endpoints.

    Args:
        gateways: the gateways.
        backup: the nodes that stand in for one which does not answer.
        by_capacity: whether organisations are divided by capacity.

    """

    gateways: tuple[MemberBeat, ...] = ()
    backup: tuple[MemberBeat, ...] = ()
    by_capacity: bool = False

    def rank(self, organisation: str) -> tuple[MemberBeat, ...]:
        """Return the nodes that serve an organisation, the first choice first.

        Args:
            organisation: name of the organisation.

        Returns:
            The gateways, then the backup.

        """
        rank = rank_weighted if self.by_capacity else rank_by_name
        return (
            *rank(organisation, self.gateways),
            *rank_by_name(organisation, self.backup),
        )

    def connection_cap(self, node: str, connections: int) -> int:
        """Return how many connections a node may hold to one endpoint.

        Args:
            node: name of the node.
            connections: connections that the endpoint accepts.

        Returns:
            The number; 0 if the node is not a gateway.

        """
        if node in {each.node for each in self.gateways}:
            further = max(0, len(self.backup) - 1) * BACKUP_CONNECTIONS
            return gateway_share(connections - further, len(self.gateways))
        if node in {each.node for each in self.backup}:
            return BACKUP_CONNECTIONS
        return 0


def uses_gateways(capacity: Capacity, node_count: int) -> bool:
    """Return whether gateways hold the connections.

    Args:
        capacity: what the nodes have to divide.
        node_count: number of nodes, including unreachable ones.

    Returns:
        False if each node holds a useful part itself.

    """
    available = capacity.connections - RESERVED_CONTROL_CONNECTIONS
    if available < node_count * MIN_DIRECT_CONNECTIONS:
        return True
    return capacity.operations < node_count * MIN_DIRECT_OPERATIONS


def gateway_count(connections: int, node_count: int) -> int:
    """Return how many nodes of a data centre are gateways.

    Args:
        connections: connections that the most limited endpoint accepts.
        node_count: number of nodes in the data centre.

    Returns:
        The number, at least 1.

    """
    available = connections - GATEWAY_CONTROL_CONNECTIONS
    return max(1, min(node_count, available // CONNECTIONS_PER_GATEWAY))


def choose_gateways(
    data_centre: str, nodes: Iterable[MemberBeat], connections: int
) -> 'GatewaySet':
    """Choose the gateways of a data centre.

    A node that joins or leaves changes at most one of them.

    Args:
        data_centre: name of the data centre.
        nodes: nodes of all data centres.
        connections: connections that the most limited endpoint accepts.

    Returns:
        The gateways and their backup.

    """
    local = [node for node in nodes if node.data_centre == data_centre]
    ranked = rank_by_name(f'gateway/{data_centre}', local)
    count = gateway_count(connections, len(local))
    others = ranked[count:]
    gateways = tuple(ranked[:count])
    return GatewaySet(gateways, backup=tuple(others[:1]))


def choose_strong_gateways(
    data_centre: str, nodes: Iterable[MemberBeat], connections: int
) -> GatewaySet:
    """Choose the gateways of a data centre among its strongest VMs.

    Args:
        data_centre: name of the data centre.
        nodes: nodes of all data centres, whose capacities are known.
        connections: connections that the most limited endpoint accepts.

    Returns:
        The gateways and their backup; those of `choose_gateways` if all VMs
        are equal.

    """
    local = [node for node in nodes if node.data_centre == data_centre]
    if not do_capacities_differ(local):
        return choose_gateways(data_centre, local, connections)
    ranked = rank_strong_first(f'gateway/{data_centre}', local)
    largest_count = gateway_count(connections, len(local))
    count = min(largest_count, max(MIN_STRONG_GATEWAYS, strong_count(local)))
    # A partition may separate a node from all of a few gateways.
    backup_count = max(MIN_BACKUPS, largest_count + 1 - count)
    return GatewaySet(
        tuple(ranked[:count]),
        backup=tuple(ranked[count : count + backup_count]),
        by_capacity=True,
    )


def rank_by_name(subject: str, nodes: Sequence[MemberBeat]) -> list[MemberBeat]:
    """Rank nodes for a subject by rendezvous hashing, wherever they are.

    Args:
        subject: what the nodes are ranked for.
        nodes: the nodes.

    Returns:
        The nodes, the first choice first.

    """
    by_name = {node.node: node for node in nodes}
    target = PlacementNode(name=subject, region='', data_centre='')
    locations = [
        PlacementNode(name=name, region='', data_centre='') for name in by_name
    ]
    return [by_name[name] for name in rank_nodes(target, locations)]


def gateway_share(connections: int, gateways: int) -> int:
    """Return how many connections one gateway may hold to an endpoint.

    Args:
        connections: connections that the endpoint accepts.
        gateways: number of gateways of its data centre.

    Returns:
        The number, at least 1.

    """
    available = connections - GATEWAY_CONTROL_CONNECTIONS
    return max(1, available // max(1, gateways))


def _median(amounts: Iterable[float]) -> float:
    """Return the median, 0 of nothing.

    The module `statistics` would load those of fractions and decimals too.
    """
    ordered = sorted(amounts)
    if not ordered:
        return 0
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
