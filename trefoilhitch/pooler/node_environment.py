"""The environment of a node: external services and runtime."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.current_declaration import Declaration
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.object_watcher import ChangeSource
from trefoilhitch.pooler.ports import (
    EndpointConnector,
    GroupStore,
    LeaseStore,
    Promoter,
)
from trefoilhitch.pooler.store_era import StoreEra


class NodeRegistry(Protocol):
    """Stores an entry for each node."""

    async def list_nodes(
        self, deadline: float, *, may_be_stale: bool = False
    ) -> list[MemberBeat]:
        """Read the entries of all nodes, at some seconds' delay if allowed."""

    async def read_entry(self, node: str, deadline: float) -> None:
        """Read a node's entry, for the era that the response names."""

    async def register(self, beat: MemberBeat, deadline: float) -> None:
        """Write this node's entry."""

    async def deregister(self, node: str, deadline: float) -> None:
        """Remove this node's entry."""


@dataclass(frozen=True, slots=True)
class ExternalServices:
    """Access to systems outside a node's process.

    Args:
        era: era of the store.
        make_connector: creates the connector for endpoints, given a lookup of
            their entries.
        leases: stores leases.
        groups: stores records of groups.
        promoter: commands promotions.
        registry: stores the nodes' entries.
        declarations: source of the operators' declaration.
        endpoints: source of the endpoints' entries.
        evacuations: source of the names of evacuated data centres.
        read_declaration: parses a declaration's text.

    """

    era: StoreEra
    make_connector: Callable[
        [Callable[[str], EndpointRecord | None]], EndpointConnector
    ]
    leases: LeaseStore
    groups: GroupStore
    promoter: Promoter
    registry: NodeRegistry
    declarations: ChangeSource[Declaration]
    endpoints: ChangeSource[EndpointRecord]
    evacuations: ChangeSource[str]
    read_declaration: Callable[[str], Declaration]


@dataclass(frozen=True, slots=True)
class NodeRuntime:
    """Facilities inside a node's process.

    Args:
        log: records decisions.
        metrics: counts and measures.
        random: adds jitter to retries and selects peers.
        clock: seconds, on a clock that counts suspended time.
        incarnation: distinguishes this start of the node from earlier ones.

    """

    log: DecisionLog
    metrics: Metrics
    random: Random
    clock: Callable[[], float]
    incarnation: int
