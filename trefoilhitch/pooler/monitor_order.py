"""Which nodes watch the lead of a service, in which order."""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.placement import rank_nodes

# A proof that is older is fetched from the node that watches the lead, by the
# first node of each data centre. It reaches the others by near talk; each of
# them fetches it itself if it stays away for so much longer.
PROOF_FETCH_AGE_S = 0.75
PROOF_FETCH_STEP_S = 0.15


def rank_monitors(
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
    return rank_nodes(
        place,
        [
            PlacementNode(
                name=beat.node, region='', data_centre=beat.data_centre
            )
            for beat in nodes
        ],
    )


def proof_fetch_age_s(own: MemberBeat, nodes: Sequence[MemberBeat]) -> float:
    """Return the age from which a node fetches a proof itself.

    Args:
        own: heartbeat of the node.
        nodes: heartbeats of live nodes, by name.

    Returns:
        Seconds, more for each further node of a data centre.

    """
    local_nodes = [
        beat.node for beat in nodes if beat.data_centre == own.data_centre
    ]
    rank = local_nodes.index(own.node) if own.node in local_nodes else 0
    return PROOF_FETCH_AGE_S + rank * PROOF_FETCH_STEP_S
