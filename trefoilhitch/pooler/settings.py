"""Settings of a node that pools connections."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch.pooler.options import default_options
from trefoilhitch.pooler.rate_limit import RateRule


@dataclass(frozen=True, slots=True)
class PoolerSettings:
    """Identity, addresses and limits of a node.

    Args:
        node: name of the node.
        region: region of the node.
        data_centre: data centre of the node.
        regions: region of each data centre.
        client_address: `ADDRESS:PORT` for client sessions.
        health_address: `ADDRESS:PORT` for the load balancer's health checks.
        peer_address: `ADDRESS:PORT` for other nodes.
        seeds: peer addresses of some nodes, which may be stale.
        store_address: `ADDRESS:PORT` of the store.
        promotion_address: `ADDRESS:PORT` of the service that promotes
            endpoints.
        shutdown_timeout_s: time from SIGTERM to the end of the process, in
            seconds.
        drain_timeout_s: how long an endpoint serves after it began to leave,
            in seconds.
        max_sockets: maximum number of open sockets.
        rate_rule: how operations are counted against a rate.
        capacity: what the VM can carry, in thousandths of a core; 0 if it is
            unknown.
        evacuation_timeout_s: time after which no statement may reach the
            endpoints of an evacuated data centre, in seconds; None if data
            centres are not evacuated.
        options: parts of the node that are turned on.

    """

    node: str
    region: str
    data_centre: str
    regions: Mapping[str, str]
    client_address: str
    health_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    promotion_address: str
    shutdown_timeout_s: float
    drain_timeout_s: float
    max_sockets: int
    rate_rule: RateRule
    capacity: int = 0
    evacuation_timeout_s: float | None = None
    options: PoolerOptions = field(default_factory=default_options)
