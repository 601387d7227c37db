"""Decides which nodes monitor the primary of a service, and in which order."""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.placement import rank_nodes

# The first node of each data centre fetches a proof older than this from the
# node that monitors the primary. The other nodes of the data centre get it by
# gossip; each further node fetches it itself only after one more step.
PROOF_FETCH_AGE_S = 0.75
PROOF_FETCH_STEP_S = 0.15


def rank_monitors(
    service: str, data_centre: str, nodes: Sequence[MemberBeat]
) -> list[str]:
    """Rank the nodes that may monitor a service's primary.

    The nodes of the primary's data centre come first, since requests between
    regions are slow and expensive.

    Args:
        service: service name.
        data_centre: data centre of its primary, empty if it is unknown.
        nodes: heartbeats of live nodes.

    Returns:
        Node names; the first node monitors, the others are standbys.

    """
    target = PlacementNode(name=service, region='', data_centre=data_centre)
    return rank_nodes(
        target,
        [
            PlacementNode(
                name=heartbeat.node,
                region='',
                data_centre=heartbeat.data_centre,
            )
            for heartbeat in nodes
        ],
    )


def proof_fetch_age_s(own: MemberBeat, nodes: Sequence[MemberBeat]) -> float:
    """Return the age from which a node fetches a proof itself.

    Args:
        own: heartbeat of the node.
        nodes: heartbeats of live nodes, sorted by name.

    Returns:
        Age in seconds, which increases with the node's rank in its data
        centre.

    """
    local_nodes = [
        heartbeat.node
        for heartbeat in nodes
        if heartbeat.data_centre == own.data_centre
    ]
    rank = local_nodes.index(own.node) if own.node in local_nodes else 0
    return PROOF_FETCH_AGE_S + rank * PROOF_FETCH_STEP_S
