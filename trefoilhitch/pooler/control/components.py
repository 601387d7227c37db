"""Creates what sends a node's own requests, as its options say."""

from collections.abc import Callable

from trefoilhitch.pooler.control.connection_guard import ConnectionGuard
from trefoilhitch.pooler.control.direct_status import DirectStatus
from trefoilhitch.pooler.control.endpoint_status import PooledStatus
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.control.relayed_status import RelayedStatus
from trefoilhitch.pooler.control.status_source import (
    StatusDependencies,
    StatusSource,
)
from trefoilhitch.pooler.node_environment import NodeRuntime
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.settings import PoolerSettings


def make_client(cfg: PoolerSettings, runtime: NodeRuntime) -> PeerClient:
    """Create the client for requests to other nodes.

    Args:
        cfg: settings of the node.
        runtime: log, metrics and random source.

    Returns:
        The client.

    """
    guard = None
    if cfg.options.gateways.shared_status:
        guard = ConnectionGuard(random=runtime.random, log=runtime.log)
    return PeerClient(runtime.log, guard=guard, metrics=runtime.metrics)


def make_peer_backoff(
    cfg: PoolerSettings, runtime: NodeRuntime, trial_s: float
) -> PeerBackoff:
    """Create the memory of nodes that did not answer.

    Args:
        cfg: settings of the node.
        runtime: random source.
        trial_s: time within which a request ends, in seconds.

    Returns:
        The memory, without failures.

    """
    return PeerBackoff.with_backoff(
        runtime.random,
        trial_s=trial_s,
        enabled=cfg.options.gateways.shared_status,
    )


def make_statuses(
    cfg: PoolerSettings, state: NodeState, service_of: Callable[[str], str]
) -> StatusSource:
    """Create the source of endpoints' statuses.

    Args:
        cfg: settings of the node.
        state: state of the node.
        service_of: returns the service of an endpoint, empty if it is unknown.

    Returns:
        The source.

    """
    runtime = state.runtime
    pooled = PooledStatus(
        pool=state.pool, connector=state.connector, metrics=runtime.metrics
    )
    deps = StatusDependencies(
        gateways=state.gateways,
        membership=state.membership,
        client=state.client,
        fetch=pooled.fetch,
        service_of=service_of,
        random=runtime.random,
        log=runtime.log,
        metrics=runtime.metrics,
    )
    if cfg.options.gateways.shared_status:
        return RelayedStatus(deps)
    return DirectStatus(deps)
