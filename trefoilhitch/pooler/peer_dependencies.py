"""What talk between nodes needs, and what a node tells of itself."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from trefoilhitch._generated.peer import Exchange
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_messages import commit_reports, primary_proofs
from trefoilhitch.pooler.rate_shares import RateShares

PEER_PREFIX = '/v1/pooler'


@dataclass(frozen=True, slots=True)
class PeerDependencies:
    """What talk between nodes needs.

    Args:
        membership: the nodes.
        cluster: endpoints and leads.
        declaration: the declaration in force.
        rates: this node's shares of rates.
        control: questions to endpoints.
        read_declaration: reads a declaration's text.
        seeds: peer addresses to begin with.
        log: takes note of what changes.

    """

    membership: MembershipView
    cluster: ClusterState
    declaration: CurrentDeclaration
    rates: RateShares
    control: EndpointControl
    read_declaration: Callable[[str], Declaration]
    seeds: Sequence[str]
    log: DecisionLog


def make_exchange(deps: PeerDependencies, *, include_proofs: bool) -> Exchange:
    """Return what this node tells another.

    Args:
        deps: what it knows.
        include_proofs: whether to tell of leads. Only the one who asked
            can tell how old a proof is, so that questions carry none without
            news.

    Returns:
        The message.

    """
    return Exchange(
        beats=deps.membership.heartbeats_to_send(),
        proofs=primary_proofs(deps.cluster) if include_proofs else [],
        commits=commit_reports(deps.cluster),
    )
