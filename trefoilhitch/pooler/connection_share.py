"""How many of an endpoint's connections one node may hold.

An endpoint accepts a fixed number of connections from all nodes together. Each
connection is bound to one organisation, so a node that holds few of them
opens and closes connections all the time when many organisations take turns.
All nodes send writes to the lead, but nearly all reads of a replica come from
the nodes in its data centre.
"""

from dataclasses import dataclass

# Parts of a replica's connections: nodes of its data centre, other nodes.
NEAR_WEIGHT = 4
FAR_WEIGHT = 1


@dataclass(frozen=True, slots=True)
class Holders:
    """The nodes that share an endpoint's connections.

    Args:
        near: nodes in the endpoint's data centre.
        far: the other nodes.
        own_is_near: whether this node is one of the near ones.

    """

    near: int
    far: int
    own_is_near: bool


def connection_share(total: int, holders: Holders, *, leads: bool) -> int:
    """Return how many connections this node may hold to an endpoint.

    Args:
        total: connections for all nodes together.
        holders: who shares them.
        leads: whether the endpoint leads its service.

    Returns:
        The number, at least 1.

    """
    near_weight = FAR_WEIGHT if leads else NEAR_WEIGHT
    own_weight = near_weight if holders.own_is_near else FAR_WEIGHT
    weights = holders.near * near_weight + holders.far * FAR_WEIGHT
    return max(1, total * own_weight // max(1, weights))
