"""What one node knows of the log positions of all endpoints.

Load pattern: many nodes find out one after the other that a replica lags, and
all return to it when they have forgotten it. Nodes share what they observed on
messages that they send anyway, and take turns in trying the replica.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointLoad
from trefoilhitch.pooler.balancing.log_lag import (
    GROWING_LAG_S,
    GROWTH_TIME_S,
    Sighting,
    is_expected_at,
    observed_lag_s,
    shows_lag,
)
from trefoilhitch.pooler.observations import ObservationHistory

# Age from which a sighting does not count.
SIGHTING_VALID_S = 3.0
# Age from which a sighting is not reported to other nodes.
REPORT_VALID_S = 2.0
# Shortest time between two trials of a replica by one node, and average time
# between those of all nodes of a data centre.
TRIAL_INTERVAL_S = 0.4
# Reads of other regions mostly go elsewhere, so their nodes try less often.
FAR_INTERVAL_S = 0.8
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class TrialTurn:
    """Place of a node among the nodes of its data centre.

    Args:
        rank: number of nodes before it.
        node_count: number of nodes, at least one.

    """

    rank: int
    node_count: int

    def first_at(
        self, missing_since: float, now: float, interval_s: float
    ) -> float:
        """Return when the node may try a replica that it found to lag.

        Nodes with the same information must not all try it at once. They agree
        on when the replica began to lack an entry, and count from there.

        Args:
            missing_since: time since which the replica lacked an entry.
            now: time at which that was seen.
            interval_s: time between the turns of two nodes.

        """
        first_at = missing_since + (self.rank + 1) * interval_s
        period_s = self.node_count * interval_s
        passed = math.ceil((now + interval_s - first_at) / period_s)
        return first_at + max(0, passed) * period_s

    def next_at(self, due_at: float, now: float, interval_s: float) -> float:
        """Return when the node may try a replica again.

        Args:
            due_at: time of its turn. Counting from there, the time until there
                was a read does not add up.
            now: time of this trial.
            interval_s: time between the turns of two nodes.

        """
        next_at = due_at + self.node_count * interval_s
        return max(now + interval_s, next_at)


@dataclass(slots=True)
class _EndpointLog:
    """Sightings of the log of one endpoint.

    Args:
        newest: the newest sighting of any node.
        own: the newest one of this node or its gateways.
        references: two earlier sightings, from which the growth of the lag is
            measured; the later one last.
        is_lagging: whether the newest sighting showed a notable lag.
        changed_at: when a notable lag, or its end, was seen last.
        trial_at: when this node may try the replica.

    """

    newest: Sighting | None = None
    own: Sighting | None = None
    references: list[Sighting] = field(default_factory=list)
    is_lagging: bool = False
    changed_at: float = -math.inf
    trial_at: float = -math.inf

    def add(self, seen: Sighting, *, is_own: bool) -> bool:
        """Add a sighting; return whether it is the newest."""
        if is_own and (self.own is None or seen.at >= self.own.at):
            self.own = seen
        if self.newest is not None and seen.at < self.newest.at:
            return False
        self.newest = seen
        if (
            not self.references
            or seen.at >= self.references[-1].at + GROWTH_TIME_S
        ):
            self.references = [*self.references[-1:], seen]
        return True

    def await_turn(
        self, turn: TrialTurn, missing_since: float, interval_s: float
    ) -> None:
        """Wait for this node's turn to try the replica, unless it waits."""
        if self.newest is None:
            return
        if self.trial_at < self.newest.at - SIGHTING_VALID_S:
            self.trial_at = turn.first_at(
                missing_since, self.newest.at, interval_s
            )

    def is_outdated(self, now: float) -> bool:
        """Return whether the newest sighting does not count any more.

        One that showed a lag counts until this node has tried the replica.
        """
        if self.newest is None:
            return True
        until = self.newest.at + SIGHTING_VALID_S
        if self.is_lagging:
            until = max(until, self.trial_at + TRIAL_INTERVAL_S)
        return now >= until

    def reference(self) -> Sighting | None:
        """Return the latest reference that is old enough to measure growth."""
        if self.newest is None:
            return None
        before = self.newest.at - GROWTH_TIME_S
        after = self.newest.at - SIGHTING_VALID_S
        return next(
            (
                each
                for each in reversed(self.references)
                if after <= each.at <= before
            ),
            None,
        )


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
        self._logs: dict[str, _EndpointLog] = {}

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
        log = self._logs.setdefault(endpoint, _EndpointLog())
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
        log = self._logs.setdefault(endpoint, _EndpointLog())
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
