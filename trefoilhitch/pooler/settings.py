"""Settings of a node that pools connections."""

from collections.abc import Mapping
from dataclasses import dataclass

from trefoilhitch.pooler.rate_limit import RateRule


@dataclass(frozen=True, slots=True)
class PoolerSettings:
    """Who and where a node is, and what it may use.

    Args:
        node: its name.
        region: where it stands.
        data_centre: where it stands.
        regions: region of each data centre.
        client_address: `ADDRESS:PORT` for clients' sessions.
        ready_address: `ADDRESS:PORT` for the balancer's question.
        peer_address: `ADDRESS:PORT` for other nodes.
        seeds: peer addresses of some nodes, which may be stale.
        store_address: `ADDRESS:PORT` of the store.
        promotion_address: `ADDRESS:PORT` where promotions are ordered.
        stop_within_s: time from SIGTERM to the end of the process, in s.
        descriptors: sockets that may be open.
        rate_rule: how operations are counted against a rate.

    """

    node: str
    region: str
    data_centre: str
    regions: Mapping[str, str]
    client_address: str
    ready_address: str
    peer_address: str
    seeds: tuple[str, ...]
    store_address: str
    promotion_address: str
    stop_within_s: float
    descriptors: int
    rate_rule: RateRule
