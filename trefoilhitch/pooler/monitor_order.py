"""Decides which nodes monitor the primary of a service, and in which order."""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.placement import rank_nodes

# Each standby acts this much later than the monitor ranked before it.
RANK_DELAY_S = 1.5


def rank_monitors(
    service: str, data_centre: str, nodes: Sequence[MemberBeat]
) -> list[str]:
    """Rank the nodes that may monitor a service's primary.

    The nodes of the primary's data centre come first, since requests between
    regions are slow and expensive. Nodes without the store come last: they
    cannot acquire the lease of a failover.

    Args:
        service: service name.
        data_centre: data centre of its primary, empty if it is unknown.
        nodes: heartbeats of live nodes.

    Returns:
        Node names; the first node monitors, the others are standbys.

    """
    target = PlacementNode(name=service, region='', data_centre=data_centre)
    reaching = [node for node in nodes if not node.store_lost]
    others = [node for node in nodes if node.store_lost]
    return [
        *rank_nodes(target, _locations(reaching)),
        *rank_nodes(target, _locations(others)),
    ]


def _locations(nodes: Sequence[MemberBeat]) -> list[PlacementNode]:
    return [
        PlacementNode(name=node.node, region='', data_centre=node.data_centre)
        for node in nodes
    ]
