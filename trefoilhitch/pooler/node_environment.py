"""What a node is given: what it reaches outside, and its tools."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.current_declaration import Declaration
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.pooler.object_watcher import ChangeSource
from trefoilhitch.pooler.ports import EndpointConnector, LeaseStore, Promoter


class NodeRegistry(Protocol):
    """Keeps an entry for each node."""

    async def list_nodes(self, deadline: float) -> list[MemberBeat]:
        """Read the entries of all nodes."""

    async def register(self, beat: MemberBeat, deadline: float) -> None:
        """Write this node's entry."""

    async def deregister(self, node: str, deadline: float) -> None:
        """Remove this node's entry."""


@dataclass(frozen=True, slots=True)
class ExternalServices:
    """What a node reaches outside.

    Args:
        make_connector: returns what opens connections to endpoints, given where
            their entries are found.
        leases: keeps leases.
        promoter: orders promotions.
        registry: keeps nodes' entries.
        declarations: the operators' declaration.
        endpoints: entries of endpoints.
        read_declaration: reads a declaration's text.

    """

    make_connector: Callable[
        [Callable[[str], EndpointRecord | None]], EndpointConnector
    ]
    leases: LeaseStore
    promoter: Promoter
    registry: NodeRegistry
    declarations: ChangeSource[Declaration]
    endpoints: ChangeSource[EndpointRecord]
    read_declaration: Callable[[str], Declaration]


@dataclass(frozen=True, slots=True)
class NodeRuntime:
    """What a node uses inside.

    Args:
        log: takes note of decisions.
        metrics: counts and measures.
        random: spreads retries and picks peers.
        clock: seconds, on a clock that counts suspended time.
        incarnation: tells this start from earlier ones.

    """

    log: DecisionLog
    metrics: Metrics
    random: Random
    clock: Callable[[], float]
    incarnation: int
