"""Divides the connections of an endpoint between the nodes.

An endpoint accepts a fixed number of connections from all nodes together. Each
connection is bound to one organisation, so a node that holds few connections
keeps opening and closing them when many organisations take turns. All nodes
send writes to the primary, but nearly all reads of a replica come from the
nodes in its data centre, which therefore get larger shares.
"""

from dataclasses import dataclass

# Weights of nodes in a replica's data centre and of other nodes.
LOCAL_WEIGHT = 4
REMOTE_WEIGHT = 1


@dataclass(frozen=True, slots=True)
class ConnectionHolders:
    """Nodes that share an endpoint's connections.

    Args:
        local: number of nodes in the endpoint's data centre.
        remote: number of other nodes.
        own_is_local: whether this node is in the endpoint's data centre.

    """

    local: int
    remote: int
    own_is_local: bool


def connection_share(
    total: int, holders: ConnectionHolders, *, is_primary: bool
) -> int:
    """Return how many connections this node may hold to an endpoint.

    Args:
        total: connections for all nodes together.
        holders: nodes that share them.
        is_primary: whether the endpoint is the primary of its service.

    Returns:
        The number, at least 1.

    """
    local_weight = REMOTE_WEIGHT if is_primary else LOCAL_WEIGHT
    own_weight = local_weight if holders.own_is_local else REMOTE_WEIGHT
    total_weight = holders.local * local_weight + holders.remote * REMOTE_WEIGHT
    return max(1, total * own_weight // max(1, total_weight))
