"""What one node knows of the log positions of all endpoints.

Load pattern: many nodes find out one after the other that a replica lags, and
all return to it when they have forgotten it. Nodes share what they observed on
messages that they send anyway, and take turns in trying the replica.
"""

from collections.abc import Callable

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointLoad
from trefoilhitch.pooler.balancing.endpoint_log import (
    SIGHTING_VALID_S,
    EndpointLog,
)
from trefoilhitch.pooler.balancing.log_lag import (
    GROWING_LAG_S,
    Sighting,
    is_expected_at,
    observed_lag_s,
    shows_lag,
)
from trefoilhitch.pooler.balancing.trial_turn import (
    FAR_INTERVAL_S,
    TRIAL_INTERVAL_S,
    TrialTurn,
)
from trefoilhitch.pooler.observations import ObservationHistory

# Age from which a sighting is not reported to other nodes.
REPORT_VALID_S = 2.0
_MS_PER_S = 1000


class LogPositions:
    """Log positions of the endpoints.

    Args:
        observations: observations of primaries.
        turn: returns the turn of this node in trying replicas that lag.
        is_far: returns whether an endpoint is in another region.

    """

    def __init__(
        self,
        observations: ObservationHistory,
        turn: Callable[[], TrialTurn],
        is_far: Callable[[str], bool],
    ) -> None:
        """Start without sightings."""
        self._is_far = is_far
        self._observations = observations
        self._turn = turn
        self._logs: dict[str, EndpointLog] = {}

    def observe(
        self, service: str, endpoint: str, seen: Sighting, *, is_own: bool
    ) -> None:
        """Record a position of an endpoint's log.

        Args:
            service: service name.
            endpoint: endpoint id.
            seen: the position and its time.
            is_own: whether this node or its gateway observed it.

        """
        log = self._logs.setdefault(endpoint, EndpointLog())
        was_lagging = log.is_lagging
        if not log.add(seen, is_own=is_own):
            return
        history = self._observations.history(service)
        lag_s = observed_lag_s(seen, history) or 0
        log.is_lagging = shows_lag(seen, history)
        if log.is_lagging or was_lagging:
            log.changed_at = seen.at
        if log.is_lagging or lag_s >= GROWING_LAG_S:
            log.await_turn(
                self._turn(), seen.at - lag_s, self._interval_s(endpoint)
            )

    def is_expected_at(
        self, service: str, endpoint: str, needed: LogPosition, now: float
    ) -> bool:
        """Return whether a replica is expected to have a position.

        Args:
            service: service name.
            endpoint: endpoint id.
            needed: the position.
            now: time on the clock of the sightings.

        Returns:
            True also if nothing was seen of the endpoint lately.

        """
        log = self._logs.get(endpoint)
        if log is None or log.newest is None:
            return True
        if log.is_outdated(now):
            return True
        return is_expected_at(
            needed,
            log.newest,
            log.reference(),
            self._observations.history(service),
            now,
        )

    def is_lagging(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint was notably behind when it was seen.

        Args:
            endpoint: endpoint id.
            now: time on the clock of the sightings.

        """
        log = self._logs.get(endpoint)
        return log is not None and log.is_lagging and not log.is_outdated(now)

    def may_try(self, endpoint: str, now: float) -> bool:
        """Return whether this node may try a replica that lags.

        Args:
            endpoint: endpoint id.
            now: time on the clock of the sightings.

        """
        log = self._logs.get(endpoint)
        if log is None or log.newest is None:
            return False
        # Another node may have tried it in the meantime.
        return now >= max(log.trial_at, log.newest.at + TRIAL_INTERVAL_S)

    def record_trial(self, endpoint: str, now: float) -> None:
        """Record that a read tries a replica that lags.

        Args:
            endpoint: endpoint id.
            now: time on the clock of the sightings.

        """
        log = self._logs.setdefault(endpoint, EndpointLog())
        log.trial_at = self._turn().next_at(
            log.trial_at, now, self._interval_s(endpoint)
        )

    def report(self, endpoint: str, now: float) -> EndpointLoad | None:
        """Return where this node saw the log of a replica that lags.

        The positions of the others are of no use to other nodes.

        Args:
            endpoint: endpoint id.
            now: time on the clock of the sightings.

        Returns:
            A report without a load; None if the replica has not lagged
            lately, or was not seen lately.

        """
        log = self._logs.get(endpoint)
        if log is None or log.own is None:
            return None
        age_s = now - log.own.at
        is_news = now - log.changed_at < SIGHTING_VALID_S
        if age_s >= REPORT_VALID_S or not is_news:
            return None
        return EndpointLoad(
            endpoint=endpoint,
            age_ms=int(SIGHTING_VALID_S * _MS_PER_S),
            position_term=log.own.position.term,
            position=log.own.position.position,
            position_age_ms=max(0, round(age_s * _MS_PER_S)),
            refused=log.own.refused,
        )

    def reports(self, now: float) -> list[EndpointLoad]:
        """Return where this node saw the logs of replicas that lag.

        Args:
            now: time on the clock of the sightings.

        Returns:
            The reports, those of the newest sightings first.

        """
        known = [
            report
            for name in self._logs
            if (report := self.report(name, now)) is not None
        ]
        return sorted(known, key=lambda report: report.position_age_ms)

    def _interval_s(self, endpoint: str) -> float:
        return FAR_INTERVAL_S if self._is_far(endpoint) else TRIAL_INTERVAL_S


def read_sighting(report: EndpointLoad, sent_at: float) -> Sighting | None:
    """Return the sighting that a report states.

    Args:
        report: report of another node.
        sent_at: time from which its age counts back, on the clock of the
            sightings.

    Returns:
        The sighting, None if the report states none or an outdated one.

    """
    age_s = report.position_age_ms / _MS_PER_S
    if not report.position or age_s >= SIGHTING_VALID_S:
        return None
    return Sighting(
        LogPosition(term=report.position_term, position=report.position),
        sent_at - age_s,
        report.refused,
    )
