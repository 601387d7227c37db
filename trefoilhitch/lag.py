"""Estimates replica lag from positions of the primary over time."""

from collections import deque
from dataclasses import dataclass, field

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.position import at_least

MAX_SAMPLES = 256


@dataclass(frozen=True, slots=True)
class PrimarySample:
    """Position of the primary at a point in time.

    Args:
        requested_at: monotonic time at which the position was requested.
        position: position of the primary at that time or later.

    """

    requested_at: float
    position: LogPosition


@dataclass(slots=True)
class LagEstimator:
    """Estimates the lag of replicas from samples of the primary."""

    _samples: deque[PrimarySample] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES),
    )

    def add_sample(self, requested_at: float, position: LogPosition) -> None:
        """Add a position of the primary.

        Args:
            requested_at: monotonic time at which the position was requested.
            position: position of the primary.

        """
        self._samples.append(PrimarySample(requested_at, position))

    def lag_s(self, applied: LogPosition, now: float) -> float | None:
        """Estimate how long ago the primary was at a replica's position.

        Args:
            applied: position that the replica has applied.
            now: monotonic time.

        Returns:
            The lag in seconds, too long by at most one sampling interval; None
            if the replica is behind all samples.

        """
        for sample in reversed(self._samples):
            if at_least(applied, sample.position):
                return now - sample.requested_at
        return None
