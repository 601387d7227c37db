"""Decides which node of a data centre requests statuses for all its nodes.

While a store refuses nodes or a failover is under way, every node of a data
centre needs the same statuses. If each asks the gateway to the endpoint, the
gateway gets one request for each node and statement. So one node, the relay,
asks the gateway, and the others ask the relay.
"""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.control.capacity_ranking import (
    are_capacities_known,
    do_capacities_differ,
    rank_strong_first,
)
from trefoilhitch.pooler.gateway_placement import rank_by_name


def rank_relays(
    endpoint: str, own: MemberBeat, live: Sequence[MemberBeat]
) -> list[MemberBeat]:
    """Rank the nodes that request an endpoint's status for a data centre.

    Args:
        endpoint: id of the endpoint.
        own: state of this node.
        live: states of all live nodes.

    Returns:
        Nodes of the data centre of this node, the first choice first.

    """
    local = [node for node in live if node.data_centre == own.data_centre]
    by_capacity = are_capacities_known(live) and do_capacities_differ(local)
    rank = rank_strong_first if by_capacity else rank_by_name
    return rank(f'status/{endpoint}', local)
