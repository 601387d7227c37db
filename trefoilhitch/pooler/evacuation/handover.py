"""Decides whether an evacuated primary can be handed over to another one."""

from collections.abc import Iterable

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_control import request_all
from trefoilhitch.pooler.failover_decision import FailoverReason
from trefoilhitch.pooler.failover_plan import FailoverDependencies, FailoverPlan
from trefoilhitch.pooler.held_lease import FailoverStoppedError
from trefoilhitch.position import at_least

# A replica that has what the primary had this long ago receives its commits.
# The rest arrives while the primary is demoted.
REPLICATION_TIME_S = 0.5
# Pause after a check found no successor: the primary answers, so that nothing
# but a lagging replica is waited for.
SUCCESSOR_CHECK_PAUSE_S = 2.0


class NoSuccessorError(FailoverStoppedError):
    """No endpoint outside the evacuated data centres holds all commits."""


def may_hand_over(
    cluster: ClusterState, service: str, primary: str | None
) -> bool:
    """Return whether a primary is evacuated and may be replaced.

    Args:
        cluster: known endpoints and primaries.
        service: service name.
        primary: id of its primary, None if none is known.

    Returns:
        False also if all endpoints of the service are evacuated.

    """
    if not cluster.evacuated.contains(primary):
        return False
    return bool(cluster.endpoints.usable(service))


async def ensure_successor(
    deps: FailoverDependencies, plan: FailoverPlan
) -> None:
    """Check that an evacuated primary has a successor, before it is demoted.

    Args:
        deps: dependencies of the failover.
        plan: what is replaced, and why.

    Raises:
        NoSuccessorError: the primary is evacuated, and only evacuated endpoints
            hold its commits.

    """
    if plan.reason != FailoverReason.EVACUATED:
        return
    needed = _recent_position(deps.cluster, plan.service)
    usable = deps.cluster.endpoints.usable(plan.service)
    ids = [record.endpoint for record in usable]
    statuses = await request_all(ids, deps.control.status)
    positions = [status.position for status in statuses.values()]
    if not has_caught_up(positions, needed):
        raise NoSuccessorError('no replica elsewhere has caught up')


def has_caught_up(
    positions: Iterable[LogPosition], needed: LogPosition | None
) -> bool:
    """Return whether one of several replicas receives the primary's commits.

    Args:
        positions: ends of the logs of the replicas that answered.
        needed: position that the primary had, None if it is unknown.

    """
    return any(
        needed is None or at_least(position, needed) for position in positions
    )


def _recent_position(cluster: ClusterState, service: str) -> LogPosition | None:
    observations = cluster.observations
    since = cluster.clock() - REPLICATION_TIME_S
    observation = observations.oldest_since(service, since)
    observation = observation or observations.newest(service)
    return observation.position if observation else None
