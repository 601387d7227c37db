"""Endpoints that started again under their ids, perhaps without their logs."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.position import at_least

# Commits younger than this may not have reached the replicas.
REPLICATION_TIME_S = 0.5
# The first position of a log that is not empty.
_FIRST_POSITION = LogPosition(term=0, position=1)


@dataclass(frozen=True, slots=True)
class RestartedEndpoint:
    """An endpoint that started again under the id that it had.

    Args:
        service: service that it belongs to.
        first_started_at_ms: Unix time in ms of the first start known.
        started_at_ms: Unix time in ms of its latest start.
        noticed_at: time on the cluster's clock by which that start was known,
            None before the first observation of a primary since.
        caught_up: observation of a primary after that start, which covers all
            that was acknowledged before it; None before the first one.

    """

    service: str
    first_started_at_ms: int
    started_at_ms: int
    noticed_at: float | None = None
    caught_up: PrimaryObservation | None = None


class RestartedEndpoints:
    """Tells which position proves that a restarted endpoint has its log.

    A replica's log has no gaps. One that has reached a position which the
    primary had after the replica's start holds all that was acknowledged
    before.
    """

    def __init__(self) -> None:
        """Start without restarted endpoints."""
        self._restarted: dict[str, RestartedEndpoint] = {}

    def compare(self, known: EndpointRecord, entry: EndpointRecord) -> None:
        """Notice a later start of an endpoint.

        Args:
            known: its entry so far.
            entry: another entry of it.

        """
        if entry.started_at_ms <= known.started_at_ms:
            return
        mark = self._restarted.get(entry.endpoint)
        first = self.first_start(known)
        if mark is None or mark.started_at_ms < entry.started_at_ms:
            self._restarted[entry.endpoint] = RestartedEndpoint(
                entry.service, first, entry.started_at_ms
            )
        elif first < mark.first_started_at_ms:
            self._restarted[entry.endpoint] = replace(
                mark, first_started_at_ms=first
            )

    def first_start(self, record: EndpointRecord) -> int:
        """Return the first known start of an endpoint.

        Nodes that start later compare its entry with it.

        Args:
            record: its entry.

        Returns:
            Unix time in ms.

        """
        mark = self._restarted.get(record.endpoint)
        if mark is None:
            return record.started_at_ms
        return min(mark.first_started_at_ms, record.started_at_ms)

    def observe(self, observation: PrimaryObservation, now: float) -> None:
        """Take an observation of a primary into account.

        A later term replaces an earlier one, whose last commits may have been
        rolled back.

        Args:
            observation: the observation.
            now: time on the cluster's clock.

        """
        for endpoint, mark in self._restarted.items():
            if mark.service == observation.service:
                self._restarted[endpoint] = _observed(mark, observation, now)

    def needed_position(
        self, endpoint: str, history: Sequence[PrimaryObservation]
    ) -> LogPosition | None:
        """Return the position that an endpoint must have to count.

        Before the primary is observed after the start, an endpoint that has
        kept its log is told by a position that the primary had shortly before.

        Args:
            endpoint: endpoint id.
            history: recent observations of its service, the oldest first.

        Returns:
            The position, None if it did not start again.

        """
        mark = self._restarted.get(endpoint)
        if mark is None:
            return None
        if mark.caught_up is not None:
            return mark.caught_up.position
        return _known_before(history)


def has_its_log(position: LogPosition, needed: LogPosition | None) -> bool:
    """Return whether an endpoint holds what it may have held before.

    Args:
        position: end of its log.
        needed: position that proves it, None if it did not start again.

    """
    if needed is None:
        return True
    is_empty = not position.position and needed.position
    return not is_empty and at_least(position, needed)


def _known_before(history: Sequence[PrimaryObservation]) -> LogPosition:
    """Return a position that replicas had reached when last observed."""
    if not history:
        return _FIRST_POSITION
    newest = history[-1]
    settled = [
        each.position
        for each in history
        if each.sent_at <= newest.sent_at - REPLICATION_TIME_S
        and each.position.position
    ]
    return settled[-1] if settled else newest.position


def _observed(
    mark: RestartedEndpoint, observation: PrimaryObservation, now: float
) -> RestartedEndpoint:
    if mark.noticed_at is None:
        return replace(mark, noticed_at=now)
    if observation.sent_at < mark.noticed_at:
        return mark
    if mark.caught_up and mark.caught_up.term >= observation.term:
        return mark
    return replace(mark, caught_up=observation)
