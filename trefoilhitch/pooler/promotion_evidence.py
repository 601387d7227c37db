"""Whether the fences that stand permit the promotion of an endpoint."""

from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.failover_decision import (
    FencedEndpoint,
    holds_every_commit,
    reaches,
)
from trefoilhitch.pooler.fence_state import FenceState
from trefoilhitch.position import at_least


@dataclass(frozen=True, slots=True)
class PromotionEvidence:
    """What a node knows when it commands a promotion.

    Args:
        fenced: the endpoints that answered that their fences stand.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.
        primary: id of the current primary, None if it is unknown.

    """

    fenced: tuple[FencedEndpoint, ...]
    members: frozenset[str]
    sync_replicas: int
    primary: str | None

    @property
    def missing(self) -> list[str]:
        """Ids of the endpoints that may still receive commits, sorted."""
        return sorted(self.members - {each.endpoint for each in self.fenced})

    @property
    def is_complete(self) -> bool:
        """Whether the fenced endpoints hold every acknowledged commit."""
        return self._holds_all(self.fenced)

    def permits(self, endpoint: str) -> bool:
        """Return whether an endpoint holds every acknowledged commit.

        Commits that only a primary holds were not acknowledged if its
        replicas alone hold every acknowledged one.

        Args:
            endpoint: id of the endpoint.

        """
        replicas = tuple(each for each in self.fenced if not each.was_primary)
        return any(
            self._holds_all(group) and _is_most_advanced(endpoint, group)
            for group in (replicas, self.fenced)
        )

    def position(self, endpoint: str) -> LogPosition | None:
        """Return the end of the log of a fenced endpoint.

        Args:
            endpoint: id of the endpoint.

        Returns:
            The position, None if it is not fenced.

        """
        positions = (
            each.position for each in self.fenced if each.endpoint == endpoint
        )
        return next(positions, None)

    def _holds_all(self, group: tuple[FencedEndpoint, ...]) -> bool:
        names = {each.endpoint for each in group}
        return holds_every_commit(
            names, self.primary, self.members, self.sync_replicas
        )


def find_objection(
    state: FenceState,
    evidence: PromotionEvidence,
    endpoint: str,
    floor: LogPosition | None = None,
) -> str | None:
    """Return why the promotion of an endpoint may lose a commit.

    Args:
        state: what the fenced endpoints reported.
        evidence: what the last check has confirmed of it.
        endpoint: id of the endpoint.
        floor: position that clients know to be committed, None for any.

    Returns:
        The reason, None if it holds every acknowledged commit.

    """
    if not state.stands:
        return 'a fence was lifted'
    if not evidence.permits(endpoint):
        return 'too few fences were confirmed'
    position = evidence.position(endpoint)
    if position is None or not reaches(position, floor):
        return 'an acknowledged commit is missing'
    return None


def _is_most_advanced(endpoint: str, group: tuple[FencedEndpoint, ...]) -> bool:
    return any(
        each.endpoint == endpoint
        and all(at_least(each.position, other.position) for other in group)
        for each in group
    )
