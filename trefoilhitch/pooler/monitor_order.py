"""Decides which nodes monitor the primary of a service, and in which order."""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.placement import rank_nodes

# Each standby acts this much later than the monitor ranked before it.
RANK_DELAY_S = 1.5
# The first monitor checks the store after this time without a response, and
# no sooner than this long after its last check.
STORE_CHECK_INTERVAL_S = 2.0


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


def is_store_check_due(
    rank: int, *, is_answered: bool, checked_at: float, now: float
) -> bool:
    """Return whether a node checks that the store answers it.

    Most nodes do not watch the store. Without a check, the first monitor would
    find out during a failover that the store refuses it.

    Args:
        rank: rank of the node among the monitors of a service.
        is_answered: whether the store answered a request that the node sent in
            the last STORE_CHECK_INTERVAL_S.
        checked_at: when the node began its last check, in seconds.
        now: time in seconds.

    """
    if rank > 0 or is_answered:
        return False
    return now >= checked_at + STORE_CHECK_INTERVAL_S


def _locations(nodes: Sequence[MemberBeat]) -> list[PlacementNode]:
    return [
        PlacementNode(name=node.node, region='', data_centre=node.data_centre)
        for node in nodes
    ]
