"""Observes the log positions of endpoints on the responses of a node."""

from collections.abc import Callable, Collection

from msgspec import structs

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointLoad
from trefoilhitch.pooler.balancing.endpoint_log import SIGHTING_VALID_S
from trefoilhitch.pooler.balancing.log_lag import Sighting
from trefoilhitch.pooler.balancing.log_positions import (
    LogPositions,
    read_sighting,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.position import at_least

# How long after such a refusal an endpoint counts as reporting more than reads
# see. Lags that last are noticed by the trials in this time.
OVERSTATED_S = 10.0


class PositionObserver:
    """Records positions, and applies what other nodes observed.

    Args:
        positions: positions of the endpoints, None to observe nothing.
        find: returns the entry of an endpoint.
        clock: returns the time on the clock of the observations of primaries.

    """

    def __init__(
        self,
        positions: LogPositions | None,
        find: Callable[[str], EndpointRecord | None],
        clock: Callable[[], float],
    ) -> None:
        """Store the dependencies."""
        # Until when endpoints count as reporting entries that reads do not see.
        self._overstated_until: dict[str, float] = {}
        # Where their logs may have stopped, until they run a checked read.
        self._bounds: dict[str, Sighting] = {}
        self._positions = positions
        self._find = find
        self._clock = clock

    def record(
        self,
        endpoint: str,
        response: Response,
        minimum: LogPosition | None = None,
    ) -> None:
        """Record the position in a response that has just arrived.

        An endpoint may report the end of a log of which it has not applied
        everything. If it refuses a read of an entry that it reports, its
        responses count only if they were checked against a position.

        Args:
            endpoint: endpoint id.
            response: its response, also a refusal.
            minimum: position that the statement required, None for any.

        """
        position = response.position
        if position is None:
            return
        now = self._clock()
        refused = response.refusal == Refusal.TOO_OLD
        if refused and minimum is not None:
            if at_least(position, minimum):
                position = self._bound(endpoint, _before(minimum), now)
        elif minimum is not None:
            self._bounds.pop(endpoint, None)
        elif now < self._overstated_until.get(endpoint, 0):
            return
        self._observe(endpoint, Sighting(position, now, refused), is_own=True)

    def apply_gateway_report(self, report: EndpointLoad) -> None:
        """Apply what the gateway of a statement has just reported.

        Args:
            report: its report; one of an unknown endpoint is ignored.

        """
        seen = read_sighting(report, self._clock())
        if seen is not None:
            self._observe(report.endpoint, seen, is_own=True)

    def apply_peer_report(self, report: EndpointLoad, sent_at: float) -> None:
        """Apply what another node of the data centre observed.

        Args:
            report: its report; one of an unknown endpoint is ignored.
            sent_at: time from which its age counts back, on the clock of the
                observations of primaries.

        """
        seen = read_sighting(report, sent_at)
        if seen is not None:
            self._observe(report.endpoint, seen, is_own=False)

    def report(self, endpoint: str) -> EndpointLoad | None:
        """Return where this node saw the log of a replica that lags.

        Args:
            endpoint: endpoint id.

        Returns:
            The report, None if the replica does not lag or was not seen
            lately.

        """
        if self._positions is None:
            return None
        return self._positions.report(endpoint, self._clock())

    def reports(self) -> list[EndpointLoad]:
        """Return where this node saw the logs of replicas that lag."""
        if self._positions is None:
            return []
        return self._positions.reports(self._clock())

    def expected_to_lag(
        self,
        records: Collection[EndpointRecord],
        needed: LogPosition | None,
        now: float,
    ) -> frozenset[str]:
        """Return the replicas that are not expected to have a position.

        Args:
            records: the replicas.
            needed: the position, None if no replica may run the read.
            now: when they need it.

        Returns:
            Ids of the replicas.

        """
        positions = self._positions
        if needed is None or positions is None:
            return frozenset()
        return frozenset(
            record.endpoint
            for record in records
            if not positions.is_expected_at(
                record.service, record.endpoint, needed, now
            )
        )

    def may_try(self, endpoint: str, now: float) -> bool:
        """Return whether this node may try a replica that lags.

        Args:
            endpoint: endpoint id.
            now: time of the trial.

        """
        return self._positions is not None and (
            self._positions.may_try(endpoint, now)
        )

    def record_trial(self, endpoint: str) -> None:
        """Record that a read is sent to a replica that is expected to lag.

        Args:
            endpoint: endpoint id.

        """
        if self._positions is not None:
            self._positions.record_trial(endpoint, self._clock())

    def is_lagging(self, endpoint: str) -> bool:
        """Return whether an endpoint was notably behind when it was seen.

        Args:
            endpoint: endpoint id.

        """
        return self._positions is not None and (
            self._positions.is_lagging(endpoint, self._clock())
        )

    def _bound(
        self, endpoint: str, position: LogPosition, now: float
    ) -> LogPosition:
        """Return the earliest position at which a log may have stopped."""
        self._overstated_until[endpoint] = now + OVERSTATED_S
        former = self._bounds.get(endpoint)
        if former is not None and now < former.at + SIGHTING_VALID_S:
            if at_least(position, former.position):
                position = former.position
        self._bounds[endpoint] = Sighting(position, now)
        return position

    def _observe(self, endpoint: str, seen: Sighting, *, is_own: bool) -> None:
        record = self._find(endpoint)
        if self._positions is not None and record is not None:
            self._positions.observe(
                record.service, endpoint, seen, is_own=is_own
            )


def _before(position: LogPosition) -> LogPosition:
    return structs.replace(position, position=max(0, position.position - 1))


def add_position(
    load: EndpointLoad | None, position: EndpointLoad | None
) -> EndpointLoad | None:
    """Combine two reports of an endpoint.

    Args:
        load: its load, None if it is unknown.
        position: its position without a load, None if it is unknown.

    Returns:
        One report, None if neither is known.

    """
    if load is None or position is None:
        return load or position
    return structs.replace(
        load,
        position_term=position.position_term,
        position=position.position,
        position_age_ms=position.position_age_ms,
        refused=position.refused,
    )
