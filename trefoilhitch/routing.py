"""Routing decisions: which endpoint runs a statement, and why."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Literal, TypeAlias

from trefoilhitch._generated.messages import Access, Freshness, LogPosition
from trefoilhitch._generated.record import Candidate, RouteRecord
from trefoilhitch.position import ORIGIN, at_least

Reason: TypeAlias = Literal[
    'write_to_primary',
    'strict_to_primary',
    'fresh_replica',
    'expected_replica',
    'no_fresh_replica',
    'no_primary',
]
NO_ENDPOINT = ''


@dataclass(frozen=True, slots=True)
class RouteCriteria:
    """Criteria that an endpoint must meet to run a statement.

    Args:
        access: read or write.
        freshness: how recent the rows have to be.
        minimum: position that a replica must have applied.
        excluded: endpoints on which an attempt has failed.

    """

    access: Access
    freshness: Freshness = 'session'
    minimum: LogPosition = ORIGIN
    excluded: Collection[str] = ()


@dataclass(frozen=True, slots=True)
class Route:
    """Endpoint chosen for a statement.

    Args:
        endpoint: name of the endpoint; empty if there is none.
        reason: reason for the choice.

    """

    endpoint: str
    reason: Reason


def choose_route(
    criteria: RouteCriteria, candidates: Sequence[Candidate], draw: float
) -> Route:
    """Choose the endpoint for a statement.

    A read that a replica may serve goes to the nearest replica that is known
    to have applied the required position; among equally near ones to the least
    loaded; the random draw breaks ties. If no replica is known to have applied
    it, the read goes to the replica with little lag that is nearest to the
    primary: a majority held the position before the session learned of it, so
    the replica probably has it too, and the owner checks the response.

    Args:
        criteria: what the statement requires of an endpoint.
        candidates: endpoints of the service.
        draw: random number in [0, 1).

    Returns:
        The route; its endpoint is empty if no endpoint meets the criteria.

    """
    if criteria.access == 'write':
        return _to_primary(criteria, candidates, 'write_to_primary')
    if criteria.freshness == 'strict':
        return _to_primary(criteria, candidates, 'strict_to_primary')
    replicas = [
        each for each in candidates if _is_usable_replica(each, criteria)
    ]
    fresh = [each for each in replicas if _has_applied(each, criteria.minimum)]
    if fresh:
        return Route(_nearest(fresh, draw).name, 'fresh_replica')
    expected = [each for each in replicas if each.expected]
    if expected:
        chosen = min(expected, key=_expected_cost)
        return Route(chosen.name, 'expected_replica')
    return _to_primary(criteria, candidates, 'no_fresh_replica')


def replay_route(record: RouteRecord) -> Route:
    """Repeat a recorded routing decision.

    Args:
        record: inputs of the recorded decision.

    Returns:
        The route that the current code chooses for these inputs.

    """
    minimum = LogPosition(
        term=record.minimum_term,
        position=record.minimum_position,
    )
    criteria = RouteCriteria(
        record.access, record.freshness, minimum, record.excluded
    )
    return choose_route(criteria, record.candidates, record.draw)


def _to_primary(
    criteria: RouteCriteria,
    candidates: Iterable[Candidate],
    reason: Reason,
) -> Route:
    for each in candidates:
        if each.role == 'primary' and each.name not in criteria.excluded:
            return Route(each.name, reason)
    return Route(NO_ENDPOINT, 'no_primary')


def _is_usable_replica(candidate: Candidate, criteria: RouteCriteria) -> bool:
    if candidate.role != 'replica' or candidate.name in criteria.excluded:
        return False
    return candidate.reachable and not candidate.leaving


def _has_applied(candidate: Candidate, minimum: LogPosition) -> bool:
    applied = LogPosition(
        term=candidate.applied_term,
        position=candidate.applied_position,
    )
    return at_least(applied, minimum)


def _nearest(fresh: Sequence[Candidate], draw: float) -> Candidate:
    best = min(_cost(each) for each in fresh)
    tied = [each for each in fresh if _cost(each) == best]
    return tied[int(draw * len(tied))]


def _cost(candidate: Candidate) -> tuple[int, int]:
    return candidate.distance, candidate.load


def _expected_cost(candidate: Candidate) -> tuple[int, int, int]:
    return candidate.primary_distance, candidate.distance, candidate.load
