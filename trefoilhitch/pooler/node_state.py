"""State of a node that its parts share."""

from dataclasses import dataclass

from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.node_environment import NodeRuntime
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.ports import EndpointConnector
from trefoilhitch.pooler.routed_executor import EndpointGateways
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    StatementScheduler,
)


@dataclass(frozen=True, slots=True)
class NodeState:
    """State of a node that the components share.

    Args:
        declaration: declaration in force.
        cluster: known endpoints and primaries.
        membership: known nodes.
        directory: tells which nodes hold connections.
        gateways: finds the gateways to an endpoint.
        rates: this node's shares of rates.
        pool: this node's connections.
        scheduler: decides when statements are sent on them.
        connector: builds the pooler's own statements.
        client: sends requests to other nodes.
        runtime: log, metrics and clock.
        loads: observes the load of endpoints.
        options: parts of the node that are turned on.

    """

    declaration: CurrentDeclaration
    cluster: ClusterState
    membership: MembershipView
    directory: GatewayDirectory
    gateways: EndpointGateways
    rates: HeldRates
    pool: ConnectionPool
    scheduler: StatementScheduler
    connector: EndpointConnector
    client: PeerClient
    runtime: NodeRuntime
    loads: LoadObserver
    options: PoolerOptions

    def reject_waiters(self, endpoint: str) -> None:
        """Reject all statements that wait for an endpoint.

        Args:
            endpoint: id of an unreachable endpoint.

        """
        self.scheduler.reject_waiters(endpoint)
        self.pool.reject_waiters(endpoint)
