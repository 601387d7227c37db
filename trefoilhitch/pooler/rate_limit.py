"""Limits on the operations that all nodes admit for an organisation."""

from dataclasses import dataclass
from typing import Self

# Minimum time from the end of a process until its replacement has started.
MIN_RESTART_S = 0.5
# A lowered limit takes full effect within this fraction of a window, since the
# first windows that it applies to began under the higher limit.
RAMP_DOWN_FRACTION = 0.6
# Fraction of the tolerance that a restart of all nodes may use up.
RESTART_TOLERANCE_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class RateRule:
    """How operations are counted against a rate.

    Args:
        window_s: length of the window in which operations are counted.
        overage: fraction of a window's operations that nodes may admit in
            addition when they restart.
        slack: number of operations that they may admit beyond that.

    """

    window_s: float = 5
    overage: float = 0
    slack: float = 0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Limit for all nodes together.

    A process does not know what an earlier process of its node admitted. A
    token bucket keeps each window within the rule's tolerance however often
    nodes restart: after a pause it admits at most `burst` operations, then
    `per_s`. The bucket of a new process starts with the tokens that
    `MIN_RESTART_S` would have added.

    Args:
        window_s: length of the window in which operations are counted.
        operations: maximum number of operations in any window.
        per_s: operations per second in the long run.
        burst: maximum number of operations at once after a pause.

    """

    window_s: float = 0
    operations: float = 0
    per_s: float = 0
    burst: float = 0

    @classmethod
    def from_declared(
        cls, rate_per_s: float, burst: float, rule: RateRule
    ) -> Self:
        """Derive the limit from a declared rate.

        Args:
            rate_per_s: declared operations per second.
            burst: declared additional operations in each window.
            rule: how operations are counted.

        Returns:
            The limit.

        """
        operations = rate_per_s * rule.window_s + burst
        per_s = operations / rule.window_s
        tolerated = operations * rule.overage + rule.slack
        max_burst = max(
            per_s * MIN_RESTART_S, tolerated * RESTART_TOLERANCE_FRACTION
        )
        return cls(
            window_s=rule.window_s,
            operations=operations,
            per_s=per_s,
            burst=min(operations, max_burst),
        )

    def interpolate(self, target: 'RateLimit', progress: float) -> 'RateLimit':
        """Return a limit between this one and another.

        Args:
            target: the other limit.
            progress: from 0 for this limit to 1 for the other limit.

        Returns:
            The interpolated limit, with the window of the other limit.

        """
        return RateLimit(
            window_s=target.window_s,
            operations=_interpolate(
                self.operations, target.operations, progress
            ),
            per_s=_interpolate(self.per_s, target.per_s, progress),
            burst=_interpolate(self.burst, target.burst, progress),
        )


def _interpolate(first: float, second: float, progress: float) -> float:
    return first + (second - first) * progress
