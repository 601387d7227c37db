"""Which endpoint runs a read or write, and what has to be proved about it."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.pooler.observations import (
    AGE_MARGIN_S,
    ObservationHistory,
    later_position,
)

SAME_DATA_CENTRE = 0
SAME_REGION = 1
OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class Target:
    """Where a statement goes.

    Args:
        endpoint: id of the endpoint.
        minimum_position: position that its log must have reached, None for any.
        proof_sent_at: when the question was sent whose answer
            proves the position recent enough; None if the proof has to come
            with the answer.
        requires_primary_proof: whether the answer counts only with proof
            that the endpoint led the service after the statement was
            received.

    """

    endpoint: str
    minimum_position: LogPosition | None
    proof_sent_at: float | None
    requires_primary_proof: bool


@dataclass(frozen=True, slots=True)
class ReadRequirements:
    """What a read asks for.

    Args:
        route: how its database is served.
        sent_at: when it is about to be sent.
        last_commit_position: position of the session's last commit.

    """

    route: Route
    sent_at: float
    last_commit_position: LogPosition | None

    @property
    def not_before(self) -> float:
        """Moment whose acknowledged commits the read must see."""
        margin = min(AGE_MARGIN_S, self.route.max_age_s / 2)
        return self.sent_at - self.route.max_age_s + margin


class EndpointSelector:
    """Chooses endpoints by distance, recent failures and load.

    Args:
        data_centre: where this node stands.
        regions: region of each data centre.

    """

    def __init__(self, *, data_centre: str, regions: Mapping[str, str]) -> None:
        """Start with no endpoint avoided."""
        self._data_centre = data_centre
        self._regions = dict(regions)
        self._avoided_until: dict[str, float] = {}
        self._lagging_until: dict[str, float] = {}

    def avoid(self, endpoint: str, until: float) -> None:
        """Prefer other endpoints for a while, after a failure.

        Args:
            endpoint: id of the endpoint that failed.
            until: monotonic time.

        """
        self._avoided_until[endpoint] = until

    def mark_lagging(self, endpoint: str, until: float) -> None:
        """Prefer other endpoints for reads for a while.

        Args:
            endpoint: id of an endpoint whose log had not come far enough.
            until: monotonic time.

        """
        self._lagging_until[endpoint] = until

    def clear_failure(self, endpoint: str) -> None:
        """Forget the failures of an endpoint that answered.

        Args:
            endpoint: its id.

        """
        self._avoided_until.pop(endpoint, None)

    def is_avoided(self, endpoint: str, now: float) -> bool:
        """Tell whether an endpoint failed a short while ago.

        Args:
            endpoint: its id.
            now: monotonic time.

        Returns:
            True until the time named in `avoid`.

        """
        return self._avoided_until.get(endpoint, 0) > now

    def distance(self, data_centre: str) -> int:
        """Return how far a data centre is from this node.

        Args:
            data_centre: its name.

        Returns:
            0 for this one, 1 for the same region, 2 otherwise.

        """
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE
        here = self._regions.get(self._data_centre)
        if self._regions.get(data_centre) == here:
            return SAME_REGION
        return OTHER_REGION

    def rank(
        self, records: Sequence[EndpointRecord], now: float
    ) -> list[EndpointRecord]:
        """Return endpoints in the order in which to try them for a read.

        Args:
            records: endpoints that may be used.
            now: monotonic time.

        Returns:
            Working ones first, then those not known to lag, then by distance.

        """
        return sorted(records, key=lambda record: self._rank_key(record, now))

    def _rank_key(
        self, record: EndpointRecord, now: float
    ) -> tuple[bool, bool, int, str]:
        return (
            self.is_avoided(record.endpoint, now),
            self._lagging_until.get(record.endpoint, 0) > now,
            self.distance(record.data_centre),
            record.endpoint,
        )


def choose_read_target(
    requirements: ReadRequirements,
    ranked: Sequence[EndpointRecord],
    primary: str | None,
    observations: ObservationHistory,
    tried: Collection[str] = (),
) -> Target | None:
    """Choose where a read runs.

    Any endpoint whose log reaches a position that is proved recent enough may
    run it. Without such a proof only the lead may, and has to prove itself.

    Args:
        requirements: what the read asks for.
        ranked: usable endpoints, the preferred ones first.
        primary: endpoint to try as the lead, None if unknown.
        observations: what is proved of the service's log.
        tried: endpoints that could not run this read.

    Returns:
        The target, or None if no endpoint can be asked now.

    """
    floor = None
    if requirements.route.freshness != Freshness.LATEST:
        floor = observations.oldest_since(
            requirements.route.service, requirements.not_before
        )
    if floor is not None:
        needed = later_position(
            floor.position, requirements.last_commit_position
        )
        for record in ranked:
            if record.endpoint not in tried:
                return Target(
                    record.endpoint,
                    needed,
                    floor.sent_at,
                    requires_primary_proof=False,
                )
    if primary is None:
        return None
    return Target(
        primary,
        requirements.last_commit_position,
        None,
        requires_primary_proof=True,
    )
