"""Decides which nodes watch the store; they pass its changes on to others."""

from collections.abc import Sequence

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.gateway_placement import rank_by_name

# Two, so that changes arrive while one of them is lost.
WATCHERS_PER_REGION = 2
# A region with at most this many nodes has no need for few watchers.
MAX_NODES_THAT_ALL_WATCH = 4


def watches_store(own: MemberBeat, live: Sequence[MemberBeat]) -> bool:
    """Return whether a node watches the store.

    Args:
        own: state of the node.
        live: states of all live nodes.

    Returns:
        True if it is one of the watchers of its region, or if the store
        answers none of the nodes there.

    """
    local = [node for node in live if node.region == own.region]
    if len(local) <= MAX_NODES_THAT_ALL_WATCH:
        return True
    reaching = [node for node in local if not node.store_lost]
    if not reaching:
        return True
    watchers = rank_by_name('watch', reaching)[:WATCHERS_PER_REGION]
    return own.node in {node.node for node in watchers}
