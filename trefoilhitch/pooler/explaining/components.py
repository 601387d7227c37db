"""Creates the parts that explain where requests would be routed."""

from trefoilhitch.pooler.admission import Admission
from trefoilhitch.pooler.explaining.endpoint_explainer import EndpointExplainer
from trefoilhitch.pooler.explaining.gateway_explainer import GatewayExplainer
from trefoilhitch.pooler.explaining.route_explainer import (
    ExplainedState,
    RouteExplainer,
)
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.retrying.read_target_finder import ReadTargetFinder
from trefoilhitch.pooler.session_components import make_retry_policy


def make_explainer(
    state: NodeState, admission: Admission, remote: GatewayExecutor
) -> RouteExplainer:
    """Create the part of a node that explains routes.

    Args:
        state: state of the node.
        admission: spends tokens of rates.
        remote: runs statements through gateways.

    Returns:
        The explainer.

    """
    gateways = GatewayExplainer(
        node=state.membership.heartbeat.node,
        gateways=state.gateways,
        remote=remote,
        scheduler=state.scheduler,
    )
    # The first attempt at a read does not depend on earlier statements'
    # budgets, so that a policy of its own serves.
    read_targets = ReadTargetFinder(state.cluster, make_retry_policy(state))
    return RouteExplainer(
        ExplainedState(
            membership=state.membership,
            declaration=state.declaration,
            cluster=state.cluster,
            rates=state.rates,
            admission=admission,
            read_targets=read_targets,
        ),
        EndpointExplainer(state.cluster, gateways),
    )
