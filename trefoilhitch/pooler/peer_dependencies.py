"""Dependencies of the communication with peers, and the state it shares."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from trio import current_time

from trefoilhitch._generated.peer import Exchange
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.http_message import HttpLimits
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.entry_log import EntryLog
from trefoilhitch.pooler.evacuation.evacuations import Evacuations
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_messages import (
    acknowledged_reports,
    commit_reports,
    load_reports,
    primary_proofs,
)
from trefoilhitch.pooler.store_era import StoreEra

PEER_PREFIX = '/v1/pooler'
# JSON takes up to 6 bytes for a character. The text, the argument and the
# prepared statement of one message are 1 MiB at most each, 18 MiB together; the
# rest is for the session's variables.
MAX_BODY_BYTES = 33554432
PEER_LIMITS = HttpLimits(body_bytes=MAX_BODY_BYTES)


@dataclass(frozen=True, slots=True)
class PeerDependencies:
    """Dependencies of the communication with peers.

    Args:
        membership: the known nodes.
        cluster: known endpoints and primaries.
        declaration: the declaration in force.
        rates: this node's shares of rates.
        rates_by_priority: whether tokens are reserved for urgent operations.
        control: requests the status of endpoints.
        seeds: peer addresses to contact first.
        entries: changes of endpoints' entries, for other nodes.
        store_era: era of the store.
        random: chooses the order of nodes.
        log: records probes by peers.
        evacuations: the evacuations in force, None if none are kept.
        shares_loads: whether nodes tell each other the load of endpoints.

    """

    membership: MembershipView
    cluster: ClusterState
    declaration: CurrentDeclaration
    rates: HeldRates
    rates_by_priority: bool
    control: EndpointControl
    seeds: Sequence[str]
    entries: EntryLog
    store_era: StoreEra
    random: Random
    log: DecisionLog
    evacuations: Evacuations | None = None
    shares_loads: bool = False

    def is_near(self, address: str) -> bool:
        """Return whether a live node of this data centre has an address.

        Args:
            address: peer address of the node, empty if it is unknown.

        """
        return any(
            member.address == address and self.membership.is_near(member)
            for member in self.membership.live()
        )

    def takes_loads(self, address: str) -> bool:
        """Return whether a node shares the load of endpoints with this one.

        Nodes of other data centres see other network times, and bytes between
        data centres have a price.

        Args:
            address: peer address of the node, empty if it is unknown.

        """
        return self.shares_loads and self.is_near(address)


def make_exchange(
    deps: PeerDependencies, *, include_proofs: bool, address: str
) -> Exchange:
    """Build the message that shares this node's state with a peer.

    Args:
        deps: source of the state.
        include_proofs: whether to include proofs of primaries. Only the node
            that sent a request can tell how old a proof in the response is,
            so requests include proofs only when a primary has changed.
        address: peer address of the receiver, which is told if this node does
            not take it for live, so that it can refute that.

    Returns:
        The message.

    """
    membership = deps.membership
    membership.update_revision(deps.declaration.revision)
    near = deps.is_near(address)
    loads = []
    if deps.takes_loads(address):
        loads = load_reports(deps.cluster, current_time())
    return Exchange(
        beats=[
            *membership.heartbeats_to_send(near=near),
            *membership.doubts_about(address),
        ],
        entries_revision=deps.entries.revision,
        entries_era=deps.entries.era,
        store_era=deps.store_era.current,
        proofs=primary_proofs(deps.cluster) if include_proofs else [],
        commits=commit_reports(deps.cluster),
        acknowledged=acknowledged_reports(deps.cluster),
        evacuations=deps.evacuations.report() if deps.evacuations else None,
        loads=loads,
    )
