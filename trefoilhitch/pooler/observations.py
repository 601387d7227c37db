"""What is proved of a service's log, and which position a read must reach.

An observation is proof of one moment: when the question was sent, its endpoint
led the service, or came to lead it before it answered, and every commit that
had been acknowledged by then lies at or before the position in the answer.
"""

from collections import deque
from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.position import at_least

HISTORY_S = 10.0
# A read is sent with a proof that is younger than its bound by this much, and
# counts only if the proof is within the bound when the answer has arrived.
AGE_MARGIN_S = 0.45
# Observations closer together than this are merged into one.
MIN_SPACING_S = 0.05


@dataclass(frozen=True, slots=True)
class PrimaryObservation:
    """Proof that an endpoint led its service.

    Args:
        service: the service.
        endpoint: id of the endpoint that led.
        term: the term that it led.
        position: covers every commit acknowledged before `asked_at`.
        sent_at: when the question was sent, on a clock that counts the time
            in which the process was suspended; seconds.

    """

    service: str
    endpoint: str
    term: int
    position: LogPosition
    sent_at: float


class ObservationHistory:
    """Keeps recent observations of each service."""

    def __init__(self) -> None:
        """Start without any."""
        self._history: dict[str, deque[PrimaryObservation]] = {}

    def add(self, observation: PrimaryObservation) -> bool:
        """Keep an observation if it is newer than what is known.

        Args:
            observation: the observation.

        Returns:
            True if it was kept.

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
            service: its name.

        Returns:
            The observation, or None if there is none.

        """
        history = self._history.get(service)
        return history[-1] if history else None

    def newest_per_service(self) -> list[PrimaryObservation]:
        """Return the latest observation of each service."""
        return [history[-1] for history in self._history.values() if history]

    def oldest_since(
        self, service: str, not_before: float
    ) -> PrimaryObservation | None:
        """Return the least position that covers a moment.

        The oldest observation that is recent enough is the one that replicas
        are the likeliest to have reached.

        Args:
            service: name of the service.
            not_before: moment whose commits have to be covered.

        Returns:
            The oldest observation asked at that moment or later, or None.

        """
        for observed in self._history.get(service, ()):
            if observed.sent_at >= not_before:
                return observed
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
