"""Placement of endpoints and group monitors on nodes."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from trefoilhitch._generated.record import PlacementNode, PlacementRecord

SAME_DATA_CENTRE = 0
SAME_REGION = 1
OTHER_REGION = 2
_WEIGHT_BYTES = 8
_BITS_PER_BYTE = 8
# Weights are below this.
WEIGHT_LIMIT = 1 << _BITS_PER_BYTE * _WEIGHT_BYTES


def distance(first: PlacementNode, second: PlacementNode) -> int:
    """Return the distance between two locations.

    Args:
        first: location of a node or endpoint.
        second: location of a node or endpoint.

    Returns:
        0 in the same data centre, 1 in the same region, 2 otherwise.

    """
    if first.region != second.region:
        return OTHER_REGION
    if first.data_centre != second.data_centre:
        return SAME_REGION
    return SAME_DATA_CENTRE


def choose_owner(
    location: PlacementNode, nodes: Iterable[PlacementNode]
) -> str | None:
    """Return the node that owns an endpoint.

    One of the nearest nodes is chosen by rendezvous hashing, so that a node
    that joins or leaves moves only its own share of the endpoints.

    Args:
        location: name, region and data centre of the endpoint.
        nodes: nodes that are live and not leaving.

    Returns:
        The owner's name, or None if there are no nodes.

    """
    ranked = rank_nodes(location, nodes)
    return ranked[0] if ranked else None


def rank_nodes(
    location: PlacementNode, nodes: Iterable[PlacementNode]
) -> list[str]:
    """Return the nodes ordered by their precedence as owner of an endpoint.

    Args:
        location: name, region and data centre of the endpoint.
        nodes: nodes that are live and not leaving.

    Returns:
        Node names, the owner first.

    """
    ordered = sorted(
        nodes,
        key=lambda node: (
            distance(location, node),
            -rendezvous_weight(location.name, node.name),
        ),
    )
    return [node.name for node in ordered]


def choose_monitors(
    service: str, nodes: Sequence[PlacementNode], count: int
) -> list[str]:
    """Return the nodes that monitor a service's database group.

    Args:
        service: name of the service.
        nodes: nodes that are live and not leaving.
        count: number of nodes to choose.

    Returns:
        Node names ordered by rank; the first one claims a term first.

    """
    ordered = sorted(
        (node.name for node in nodes),
        key=lambda name: -rendezvous_weight(service, name),
    )
    return ordered[:count]


def replay_placement(record: PlacementRecord) -> str | None:
    """Repeat a recorded placement decision.

    Args:
        record: inputs of the earlier decision.

    Returns:
        The owner that the current code chooses on these inputs.

    """
    location = PlacementNode(
        name=record.endpoint,
        region=record.region,
        data_centre=record.data_centre,
    )
    return choose_owner(location, record.nodes)


def rendezvous_weight(subject: str, node: str) -> int:
    """Return the weight of a node in the ranking for a subject.

    Args:
        subject: what the nodes are ranked for.
        node: name of the node.

    Returns:
        A number from 0 up to `WEIGHT_LIMIT`; the highest ranks first.

    """
    digest = blake2b(f'{subject}/{node}'.encode(), digest_size=_WEIGHT_BYTES)
    return int.from_bytes(digest.digest())
