"""Selects the endpoint for a read and what has to be proved about its data."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.observations import (
    AGE_MARGIN_S,
    ObservationHistory,
    PrimaryObservation,
    later_position,
)

SAME_DATA_CENTRE = 0
SAME_REGION = 1
OTHER_REGION = 2

# How an endpoint was chosen: no other could run the statement, the nearest one,
# drawn by the load of several, or after an attempt that failed.
ChoiceKind = Literal['only', 'nearest', 'weighted', 'retry']
# Whether an endpoint failed recently, and whether it is known to lag.
Setback = tuple[bool, bool]
# Whether a replica that is expected to lag was tried or passed over.
LagHandling = Literal['', 'tried', 'avoided']


@dataclass(frozen=True, slots=True)
class Target:
    """Endpoint for a statement and the conditions on its response.

    Args:
        endpoint: endpoint id.
        minimum_position: log position that the endpoint must have reached, None
            for any.
        proof_sent_at: when the observation was requested which proves that
            the position is recent enough; None if the proof has to come with
            the response.
        requires_primary_proof: whether the response counts only with proof
            that the endpoint was the primary after it received the statement.
        choice: how the endpoint was chosen.
        lag_handling: what became of a replica that would have been chosen and
            is not expected to have the position; empty if there was none.

    """

    endpoint: str
    minimum_position: LogPosition | None
    proof_sent_at: float | None
    requires_primary_proof: bool
    choice: ChoiceKind = 'only'
    lag_handling: LagHandling = ''


@dataclass(frozen=True, slots=True)
class ReadRequirements:
    """Requirements of a read.

    Args:
        route: route of the database.
        sent_at: when the read is about to be sent, in seconds.
        last_commit_position: position of the session's last commit, None if
            there is none.

    """

    route: Route
    sent_at: float
    last_commit_position: LogPosition | None

    @property
    def not_before(self) -> float:
        """Moment up to which the read must see all acknowledged commits."""
        margin = min(AGE_MARGIN_S, self.route.max_age_s / 2)
        return self.sent_at - self.route.max_age_s + margin


class EndpointSelector:
    """Ranks endpoints by recent failures, lag and distance.

    Args:
        data_centre: data centre of this node.
        regions: region of each data centre.

    """

    def __init__(self, *, data_centre: str, regions: Mapping[str, str]) -> None:
        """Create a selector that avoids no endpoint."""
        self._data_centre = data_centre
        self._regions = dict(regions)
        self._avoided_until: dict[str, float] = {}
        self._lagging_until: dict[str, float] = {}

    def avoid(self, endpoint: str, until: float) -> None:
        """Avoid an endpoint for a while after a failure.

        Args:
            endpoint: id of the endpoint that failed.
            until: monotonic time until which it is avoided.

        """
        self._avoided_until[endpoint] = until

    def mark_lagging(self, endpoint: str, until: float) -> None:
        """Avoid an endpoint for reads for a while because its log lags.

        Args:
            endpoint: id of an endpoint that had not reached the position that
                a read required.
            until: monotonic time until which it is avoided.

        """
        self._lagging_until[endpoint] = until

    def clear_failure(self, endpoint: str) -> None:
        """Clear the failure of an endpoint that has responded.

        Args:
            endpoint: endpoint id.

        """
        self._avoided_until.pop(endpoint, None)

    def is_avoided(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is avoided because it failed recently.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            True until the time that was passed to `avoid`.

        """
        return self._avoided_until.get(endpoint, 0) > now

    def distance(self, data_centre: str) -> int:
        """Return how far a data centre is from this node.

        Args:
            data_centre: name of the data centre.

        Returns:
            0 for this data centre, 1 for the same region, 2 otherwise.

        """
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE
        own_region = self._regions.get(self._data_centre)
        if self._regions.get(data_centre) == own_region:
            return SAME_REGION
        return OTHER_REGION

    def rank(
        self,
        records: Sequence[EndpointRecord],
        now: float,
        lagging: Collection[str] = (),
    ) -> list[EndpointRecord]:
        """Sort endpoints by preference for a read.

        Args:
            records: usable endpoints.
            now: monotonic time.
            lagging: endpoints that are not expected to have the position that
                the read requires.

        Returns:
            Endpoints without recent failures first, among these the ones that
            are not known to lag, among these the nearest.

        """
        return sorted(
            records, key=lambda record: self._rank_key(record, now, lagging)
        )

    def setback(
        self,
        record: EndpointRecord,
        now: float,
        lagging: Collection[str] = (),
    ) -> Setback:
        """Return what ranks an endpoint behind others, wherever they are.

        Args:
            record: the endpoint.
            now: monotonic time.
            lagging: endpoints that are not expected to have the position that
                the read requires.

        Returns:
            Whether it failed recently, and whether it is known to lag.

        """
        return (
            self.is_avoided(record.endpoint, now),
            record.endpoint in lagging
            or self._lagging_until.get(record.endpoint, 0) > now,
        )

    def _rank_key(
        self, record: EndpointRecord, now: float, lagging: Collection[str]
    ) -> tuple[Setback, int, str]:
        return (
            self.setback(record, now, lagging),
            self.distance(record.data_centre),
            record.endpoint,
        )


def position_needed(
    requirements: ReadRequirements, observations: ObservationHistory
) -> LogPosition | None:
    """Return the position that an endpoint needs in order to run a read.

    Args:
        requirements: requirements of the read.
        observations: observations of primaries.

    Returns:
        The position, None if only the primary may run the read.

    """
    observation = _find_observation(requirements, observations)
    if observation is None:
        return None
    return _minimum_position(requirements, observation)


def choose_read_target(
    requirements: ReadRequirements,
    ranked: Sequence[EndpointRecord],
    primary: str | None,
    observations: ObservationHistory,
    tried: Collection[str] = (),
) -> Target | None:
    """Choose the target of a read.

    Any endpoint may run the read if its log has reached a position that is
    proved to be recent enough. Without such a proof only the primary may run
    it, and has to prove that it is the primary.

    Args:
        requirements: requirements of the read.
        ranked: usable endpoints in order of preference.
        primary: id of the known primary, None if there is none.
        observations: observations of primaries.
        tried: endpoints that could not run this read.

    Returns:
        The target, or None if no endpoint can run the read now.

    """
    observation = _find_observation(requirements, observations)
    if observation is not None:
        minimum_position = _minimum_position(requirements, observation)
        for record in ranked:
            if record.endpoint not in tried:
                return Target(
                    record.endpoint,
                    minimum_position,
                    observation.sent_at,
                    requires_primary_proof=False,
                )
    return None if primary is None else _proved_target(requirements, primary)


def choose_begin_target(
    requirements: ReadRequirements,
    primary: str | None,
    observations: ObservationHistory,
) -> Target | None:
    """Choose the target of a transaction that may write.

    It runs on the primary, whose log must be recent enough for the reads of
    the transaction. A recent observation of the same endpoint shows that;
    without one, the endpoint has to prove that it is the primary.

    Args:
        requirements: requirements of the transaction's reads.
        primary: id of the known primary, None if there is none.
        observations: observations of primaries.

    Returns:
        The target, or None if no primary is known.

    """
    if primary is None:
        return None
    observation = _find_observation(requirements, observations)
    if observation is None or observation.endpoint != primary:
        return _proved_target(requirements, primary)
    return Target(
        primary,
        _minimum_position(requirements, observation),
        observation.sent_at,
        requires_primary_proof=False,
    )


def choose_write_target(primary: str | None) -> Target | None:
    """Choose the target of a single write.

    Args:
        primary: id of the known primary, None if there is none.

    Returns:
        The target, or None if no primary is known.

    """
    if primary is None:
        return None
    return Target(primary, None, None, requires_primary_proof=False)


def _find_observation(
    requirements: ReadRequirements, observations: ObservationHistory
) -> PrimaryObservation | None:
    """Return the observation that shows a read what it has to see."""
    if requirements.route.freshness == Freshness.LATEST:
        return None
    return observations.oldest_since(
        requirements.route.service, requirements.not_before
    )


def _minimum_position(
    requirements: ReadRequirements, observation: PrimaryObservation
) -> LogPosition | None:
    return later_position(
        observation.position, requirements.last_commit_position
    )


def _proved_target(requirements: ReadRequirements, primary: str) -> Target:
    return Target(
        primary,
        requirements.last_commit_position,
        None,
        requires_primary_proof=True,
    )
