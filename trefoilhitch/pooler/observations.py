"""Observations of primaries, from which reads derive minimum log positions.

An observation proves the state at one moment: when the request was sent, the
endpoint was the primary of the service, or became it before it responded, and
every commit acknowledged by then lies at or before the position in the
response.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.position import at_least

HISTORY_S = 10.0
# A read is sent only if its observation is younger than the maximum age by
# this margin. The response counts only if the observation is still within the
# maximum age when the response arrives.
AGE_MARGIN_S = 0.45
# An observation that follows another one sooner than this is ignored.
MIN_SPACING_S = 0.05


@dataclass(frozen=True, slots=True)
class PrimaryObservation:
    """Proof that an endpoint was the primary of its service.

    Args:
        service: service name.
        endpoint: id of the primary.
        term: term of the primary.
        position: log position that covers every commit acknowledged before
            `sent_at`.
        sent_at: when the request was sent, in seconds on a clock that
            includes the time in which the process was suspended.

    """

    service: str
    endpoint: str
    term: int
    position: LogPosition
    sent_at: float


class ObservationHistory:
    """Stores the recent observations of each service."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._history: dict[str, deque[PrimaryObservation]] = {}

    def add(self, observation: PrimaryObservation) -> bool:
        """Add an observation if it is newer than the latest one.

        Args:
            observation: the observation.

        Returns:
            True if it was added.

        """
        history = self._history.setdefault(observation.service, deque())
        if (
            history
            and observation.sent_at < history[-1].sent_at + MIN_SPACING_S
        ):
            return False
        history.append(observation)
        while history[0].sent_at < observation.sent_at - HISTORY_S:
            history.popleft()
        return True

    def newest(self, service: str) -> PrimaryObservation | None:
        """Return the latest observation of a service.

        Args:
            service: service name.

        Returns:
            The observation, or None if there is none.

        """
        history = self._history.get(service)
        return history[-1] if history else None

    def newest_per_service(self) -> list[PrimaryObservation]:
        """Return the latest observation of each service."""
        return [history[-1] for history in self._history.values() if history]

    def history(self, service: str) -> Sequence[PrimaryObservation]:
        """Return the observations of a service, the oldest first.

        Args:
            service: service name.

        """
        return self._history.get(service, ())

    def oldest_since(
        self, service: str, not_before: float
    ) -> PrimaryObservation | None:
        """Return the oldest observation that covers a moment.

        Of all observations that are recent enough, replicas are most likely to
        have reached the position of the oldest one.

        Args:
            service: service name.
            not_before: moment whose commits have to be covered.

        Returns:
            The oldest observation sent at that moment or later, or None.

        """
        for observation in self._history.get(service, ()):
            if observation.sent_at >= not_before:
                return observation
        return None


def later_position(
    first: LogPosition | None, second: LogPosition | None
) -> LogPosition | None:
    """Return the later of two positions, either of which may be absent.

    Args:
        first: a position or None.
        second: a position or None.

    Returns:
        The later one, or None if both are absent.

    """
    if first is None or second is None:
        return first or second
    return first if at_least(first, second) else second
