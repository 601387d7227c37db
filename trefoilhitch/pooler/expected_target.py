"""Tells where requests would be sent, without a draw and without a change."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from trefoilhitch.pooler.balancing.read_choice import most_likely_draw
from trefoilhitch.pooler.cluster_state import (
    ClusterState,
    expected_to_lag,
    usable_untried,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import (
    ReadRequirements,
    Target,
    choose_read_target,
    choose_write_target,
)


@dataclass(frozen=True, slots=True)
class ExpectedTarget:
    """Where requests of one kind would be sent.

    Args:
        ranking: endpoints in order of preference.
        target: the target if the first one is drawn, None if no endpoint can
            run the request now.
        shares: part of the requests that is sent to each endpoint, by its id.

    """

    ranking: Sequence[EndpointRecord]
    target: Target | None
    shares: Mapping[str, float]


def expect_read(
    cluster: ClusterState,
    requirements: ReadRequirements,
    now: float,
    tried: Collection[str],
) -> ExpectedTarget:
    """Return how reads are divided among endpoints.

    Args:
        cluster: known endpoints and primaries.
        requirements: requirements of the reads.
        now: monotonic time.
        tried: endpoints that may not run them.

    Returns:
        The ranking whose first endpoint is the one that is drawn most often.

    """
    service = requirements.route.service
    primary = _permitted_primary(cluster, service)
    untried = usable_untried(cluster.endpoints, service, tried)
    lagging = expected_to_lag(cluster, untried, primary, requirements)
    shares = cluster.balancer.shares(untried, primary, now, lagging)
    drawn = None
    if cluster.balancer.divides_by_load and shares:
        drawn = most_likely_draw(shares)
    ranking = cluster.balancer.rank(untried, primary, now, drawn, lagging)
    target = choose_read_target(
        requirements, ranking.records, primary, cluster.observations, tried
    )
    if target is None:
        return ExpectedTarget(ranking.records, None, {})
    if drawn is None or target.requires_primary_proof:
        shares = {target.endpoint: 1}
    return ExpectedTarget(ranking.records, target, shares)


def expect_write(cluster: ClusterState, service: str) -> ExpectedTarget:
    """Return where a single write would be sent.

    Args:
        cluster: known endpoints and primaries.
        service: service name.

    Returns:
        The target, without a ranking.

    """
    target = choose_write_target(_permitted_primary(cluster, service))
    shares = {target.endpoint: 1.0} if target else {}
    return ExpectedTarget((), target, shares)


def _permitted_primary(cluster: ClusterState, service: str) -> str | None:
    return cluster.evacuated.unless_excluded(cluster.known_primary(service))
