"""The usual time that a read spends at an endpoint of a service.

Load pattern: one endpoint of a service is flooded for a while. Its delay must
not pass for usual, else the other endpoints, of which less is known, would be
taken for as slow.
"""

import math
from dataclasses import dataclass

# Time constants with which the usual delay follows shorter and longer ones.
FALL_S = 5.0
RISE_S = 60.0
# Weight of one of several observations at the same time.
MIN_WEIGHT = 0.001


@dataclass(slots=True)
class UsualDelay:
    """Usual delay of the reads of one service.

    Args:
        delay_s: the delay in seconds, 0 while it is unknown.

    """

    delay_s: float = 0
    _observed_at: float = -math.inf

    def observe(self, delay_s: float, now: float) -> None:
        """Add an observation at any endpoint of the service.

        Args:
            delay_s: wait and response time of a read, in seconds.
            now: monotonic time.

        """
        follow_s = FALL_S if delay_s < self.delay_s else RISE_S
        elapsed_s = max(0, now - self._observed_at)
        weight = max(MIN_WEIGHT, 1 - math.exp(-elapsed_s / follow_s))
        self.delay_s += weight * (delay_s - self.delay_s)
        self._observed_at = now
