"""Which nodes watch the lead of a service, in which order."""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.placement import ranking


def monitor_order(
    service: str, data_centre: str, nodes: Sequence[MemberBeat]
) -> list[str]:
    """Rank the nodes that may watch a service's lead.

    The nodes of the lead's data centre come first, since questions between
    regions are slow and dear.

    Args:
        service: name of the service.
        data_centre: where its lead stands, empty if that is not known.
        nodes: heartbeats of live nodes.

    Returns:
        Node names; the first one watches, the others stand ready.

    """
    place = PlacementNode(name=service, region='', data_centre=data_centre)
    return ranking(
        place,
        [
            PlacementNode(
                name=beat.node, region='', data_centre=beat.data_centre
            )
            for beat in nodes
        ],
    )
