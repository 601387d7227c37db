"""How many operations of an organisation all nodes together may admit."""

from dataclasses import dataclass
from typing import Self

# A process that ends is replaced no sooner than this, its start included.
MIN_RESTART_S = 0.5
# A lower limit takes hold within this part of a span, since the spans that it
# applies to first began under the higher one.
RAMP_DOWN_FRACTION = 0.6
# Part of the tolerance that restarts of all nodes may use up.
RESTART_TOLERANCE_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class RateRule:
    """How operations are counted against a rate.

    Args:
        window_s: length of the spans in which they are counted.
        overage: part of a span's operations that nodes may admit beyond them
            while they restart.
        slack: operations that they may admit beyond that.

    """

    window_s: float = 5
    overage: float = 0
    slack: float = 0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What all nodes together may admit.

    A process does not know what an earlier one of its node admitted. So that
    a span in which nodes restart, however often, stays within the rule's
    tolerance, operations are also paced: at most `at_once`, then `per_s`, and
    a new process begins with what `RESTART_S` would have brought.

    Args:
        window_s: length of the spans in which operations are counted.
        operations: how many any such span may hold.
        per_s: how many a second, in the long run.
        burst: how many after a pause.

    """

    window_s: float = 0
    operations: float = 0
    per_s: float = 0
    burst: float = 0

    @classmethod
    def from_declared(
        cls, rate_per_s: float, burst: float, rule: RateRule
    ) -> Self:
        """Derive the limit of all nodes together.

        Args:
            rate_per_s: declared operations a second.
            burst: declared operations beyond them in each span.
            rule: how operations are counted.

        Returns:
            The limit.

        """
        operations = rate_per_s * rule.window_s + burst
        per_s = operations / rule.window_s
        tolerated = operations * rule.overage + rule.slack
        at_once = max(
            per_s * MIN_RESTART_S, tolerated * RESTART_TOLERANCE_FRACTION
        )
        return cls(
            window_s=rule.window_s,
            operations=operations,
            per_s=per_s,
            burst=min(operations, at_once),
        )

    def interpolate(self, target: 'RateLimit', progress: float) -> 'RateLimit':
        """Return a limit between this one and another.

        Args:
            target: the other limit.
            progress: 0 for this one, 1 for the other.

        Returns:
            The limit, counted in the other one's spans.

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
