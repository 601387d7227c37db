"""Log positions of the commits whose acknowledgements nodes passed on."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.position import ORIGIN, at_least


@dataclass(frozen=True, slots=True)
class MissingCommit:
    """An acknowledged commit that the log of a later primary lacks.

    Args:
        acknowledged: log position of the commit.
        observation: observation of the primary, in a later term.

    """

    acknowledged: LogPosition
    observation: PrimaryObservation


class AcknowledgedPositions:
    """Keeps the furthest acknowledged commit of each service.

    Only commits count whose clients were told of the success. The end of a
    primary's log may lie further, and need not survive a failover. Nodes report
    their commits to each other, so that none is forgotten with a node.
    """

    def __init__(self) -> None:
        """Start without commits."""
        self._furthest: dict[str, LogPosition] = {}
        # The same for the terms before that of the furthest commit.
        self._earlier: dict[str, LogPosition] = {}
        # The furthest commits that any node acknowledged, the newest last.
        self._known: dict[str, LogPosition] = {}
        # The shortest log observed in the latest term of each service.
        self._shortest_logs: dict[str, PrimaryObservation] = {}
        # Latest term of each service for which a missing commit was reported.
        self._reported_terms: dict[str, int] = {}
        self._listeners: list[Callable[[MissingCommit], None]] = []

    def add_listener(self, listener: Callable[[MissingCommit], None]) -> None:
        """Add a listener for commits that a later primary lacks.

        Args:
            listener: called at most once for each service and term.

        """
        self._listeners.append(listener)

    def record(self, service: str, position: LogPosition) -> None:
        """Record that the acknowledgement of a commit is passed on.

        Args:
            service: service name.
            position: log position of the commit.

        """
        shortest = self._shortest_logs.get(service)
        if shortest is not None:
            self._report_if_missing(position, shortest)
        self.merge(service, position)
        furthest = self._furthest.get(service, ORIGIN)
        if at_least(furthest, position):
            return
        if furthest.term not in {ORIGIN.term, position.term}:
            self._earlier[service] = furthest
        self._furthest[service] = position

    def merge(self, service: str, position: LogPosition) -> None:
        """Record what some node has acknowledged.

        Args:
            service: service name.
            position: log position of a commit.

        """
        if not at_least(self._known.get(service, ORIGIN), position):
            self._known.pop(service, None)
            self._known[service] = position

    def furthest(self, service: str) -> LogPosition | None:
        """Return the position of the furthest commit that is known.

        Args:
            service: service name.

        Returns:
            The position, None if no acknowledgement is known.

        """
        return self._known.get(service)

    def newest(self, count: int) -> dict[str, LogPosition]:
        """Return the furthest commits of the services that changed last.

        Args:
            count: number of services.

        Returns:
            The positions by service, the newest first.

        """
        services = islice(reversed(self._known), count)
        return {service: self._known[service] for service in services}

    def observe(self, observation: PrimaryObservation) -> None:
        """Compare the log of a primary with the acknowledged commits.

        Args:
            observation: proof that an endpoint was the primary.

        """
        service = observation.service
        known = self._shortest_logs.get(service, observation)
        shortest = min(known, observation, key=_log_order)
        self._shortest_logs[service] = shortest
        for commits in (self._earlier, self._furthest):
            acknowledged = commits.get(service)
            if acknowledged is not None:
                self._report_if_missing(acknowledged, shortest)

    def _report_if_missing(
        self, position: LogPosition, observation: PrimaryObservation
    ) -> None:
        """Report a commit that the log of a later term does not reach.

        Numbers go on over terms, so that a log that holds the commit has
        reached its number.
        """
        service = observation.service
        if observation.term <= self._reported_terms.get(service, position.term):
            return
        if observation.position.position >= position.position:
            return
        self._reported_terms[service] = observation.term
        for listener in self._listeners:
            listener(MissingCommit(position, observation))


def _log_order(observation: PrimaryObservation) -> tuple[int, int]:
    """Order the latest term first, and the shortest log in it."""
    return -observation.term, observation.position.position
