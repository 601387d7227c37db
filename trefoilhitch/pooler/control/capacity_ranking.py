"""Ranks nodes by rendezvous hashing, weighted by the capacity of their VMs.

VMs of one data centre may differ widely. If all are chosen alike,
the smallest carry as much for others as the largest, and are overloaded first.
With weighted rendezvous hashing, each VM is chosen in proportion to its
capacity, and one that joins or leaves moves only what it takes over or held.
"""

import math
from collections.abc import Iterable, Sequence
from functools import partial

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.placement import WEIGHT_LIMIT, rendezvous_weight

# A VM counts as strong if its capacity is at least the largest divided by this.
STRONG_DIVISOR = 2
_LARGEST_FRACTION = math.nextafter(1, 0)


def are_capacities_known(nodes: Iterable[MemberBeat]) -> bool:
    """Return whether all nodes know their capacity.

    A node of an earlier release, or one whose operator turned the choice by
    capacity off, reports none, and chooses without. All others then have to do
    the same, so that no two nodes choose differently.

    Args:
        nodes: nodes of all data centres.

    """
    return all(node.capacity for node in nodes)


def do_capacities_differ(nodes: Sequence[MemberBeat]) -> bool:
    """Return whether the VMs of some nodes differ.

    Args:
        nodes: the nodes.

    """
    return len({node.capacity for node in nodes}) > 1


def strong_count(nodes: Sequence[MemberBeat]) -> int:
    """Return how many nodes have at least half the largest capacity.

    Args:
        nodes: the nodes.

    """
    largest = max((node.capacity for node in nodes), default=0)
    return sum(_is_strong(node, largest) for node in nodes)


def rank_weighted(
    subject: str, nodes: Sequence[MemberBeat]
) -> list[MemberBeat]:
    """Rank nodes; each comes first in proportion to its capacity.

    Args:
        subject: what the nodes are ranked for.
        nodes: the nodes, whose capacities are known.

    Returns:
        The nodes, the first choice first.

    """
    return sorted(nodes, key=partial(_order, subject))


def rank_strong_first(
    subject: str, nodes: Sequence[MemberBeat]
) -> list[MemberBeat]:
    """Rank nodes; those with less than half the largest capacity come last.

    Args:
        subject: what the nodes are ranked for.
        nodes: the nodes, whose capacities are known.

    Returns:
        The nodes, the first choice first.

    """
    largest = max((node.capacity for node in nodes), default=0)
    ranked = rank_weighted(subject, nodes)
    return sorted(ranked, key=lambda node: not _is_strong(node, largest))


def _is_strong(node: MemberBeat, largest: int) -> bool:
    return node.capacity * STRONG_DIVISOR >= largest


def _order(subject: str, node: MemberBeat) -> tuple[float, str]:
    """Return a sort key: an exponential time of arrival at the node's rate."""
    weight = rendezvous_weight(subject, node.node)
    # Strictly between 0 and 1, also after rounding.
    fraction = min((weight + 1) / (WEIGHT_LIMIT + 1), _LARGEST_FRACTION)
    capacity = max(node.capacity, 1)
    return -math.log(fraction) / capacity, node.node
