"""How many of an endpoint's connections one node may hold.

An endpoint accepts a fixed number of connections from all nodes together. Each
connection is bound to one organisation, so a node that holds few of them
opens and closes connections all the time when many organisations take turns.
All nodes send writes to the lead, but nearly all reads of a replica come from
the nodes in its data centre.
"""

from dataclasses import dataclass

# Parts of a replica's connections: nodes of its data centre, other nodes.
LOCAL_WEIGHT = 4
REMOTE_WEIGHT = 1


@dataclass(frozen=True, slots=True)
class ConnectionHolders:
    """The nodes that share an endpoint's connections.

    Args:
        local: nodes in the endpoint's data centre.
        remote: the other nodes.
        own_is_local: whether this node is one of the near ones.

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
        holders: who shares them.
        is_primary: whether the endpoint leads its service.

    Returns:
        The number, at least 1.

    """
    local_weight = REMOTE_WEIGHT if is_primary else LOCAL_WEIGHT
    own_weight = local_weight if holders.own_is_local else REMOTE_WEIGHT
    weights = holders.local * local_weight + holders.remote * REMOTE_WEIGHT
    return max(1, total * own_weight // max(1, weights))
