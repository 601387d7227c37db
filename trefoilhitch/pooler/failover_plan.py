"""What a failover replaces, and what it needs for that."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.acknowledging.failover_announcement import Announcer
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.failover_decision import FailoverReason
from trefoilhitch.pooler.group_recorder import GroupRecorder
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.ports import Promoter
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.running_attempts import RunningAttempts
from trefoilhitch.pooler.store_era import StoreEra


@dataclass(frozen=True, slots=True)
class FailoverDependencies:
    """Dependencies of a failover.

    Args:
        node: name of this node.
        address: peer address of this node.
        cluster: known endpoints and primaries.
        control: sends control statements to endpoints.
        leases: reads and writes leases.
        attempts: the failovers that run in this process.
        announcer: tells other nodes of failovers.
        groups: tells the members of groups.
        store_era: era of the store that keeps them.
        promoter: commands promotions.
        sync_replicas: returns how many replicas of a service hold a commit
            before it is acknowledged.
        log: records each step.
        metrics: counts promotions.

    """

    node: str
    address: str
    cluster: ClusterState
    control: EndpointControl
    leases: LeaseClient
    attempts: RunningAttempts
    announcer: Announcer
    groups: GroupRecorder
    store_era: StoreEra
    promoter: Promoter
    sync_replicas: Callable[[str], int]
    log: DecisionLog
    metrics: Metrics


@dataclass(frozen=True, slots=True)
class FailoverPlan:
    """What a node decided to replace, before it holds the lease.

    Args:
        service: name of the service.
        reason: why its primary is replaced.
        attempt: unique id of this failover.
        replaced: primary to replace; its term is 0 if none was proved, its
            endpoint empty if none is known.
        is_suspicion_shared: asks other nodes whether a silent primary is
            silent to them as well; True for any other reason that still holds.
        is_needed: returns whether the primary still has to be replaced.

    """

    service: str
    reason: FailoverReason
    attempt: str
    replaced: Primary
    is_suspicion_shared: Callable[[], Awaitable[bool]]
    is_needed: Callable[[], bool]
