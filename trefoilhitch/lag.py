"""How far a replica is behind, from positions of the primary over time."""

from collections import deque
from dataclasses import dataclass, field

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.position import at_least

SAMPLES_KEPT = 256


@dataclass(frozen=True, slots=True)
class Sample:
    """A position of the primary.

    Args:
        at: monotonic time at which it was asked for.
        position: its position then or later.

    """

    at: float
    position: LogPosition


@dataclass(slots=True)
class LagEstimator:
    """Estimates lags from samples of the primary."""

    _samples: deque[Sample] = field(
        default_factory=lambda: deque(maxlen=SAMPLES_KEPT),
    )

    def sample(self, at: float, position: LogPosition) -> None:
        """Take a position of the primary.

        Args:
            at: monotonic time at which it was asked for.
            position: its position.

        """
        self._samples.append(Sample(at, position))

    def lag_s(self, applied: LogPosition, now: float) -> float | None:
        """Estimate how long ago the primary was where a replica is now.

        Args:
            applied: position that the replica has applied.
            now: monotonic time.

        Returns:
            Seconds, at most one sampling interval too many; None if the
            replica is behind all samples.

        """
        for sample in reversed(self._samples):
            if at_least(applied, sample.position):
                return now - sample.at
        return None
