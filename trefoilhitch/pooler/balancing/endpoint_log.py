"""What one node knows of the log of one endpoint."""

import math
from dataclasses import dataclass, field

from trefoilhitch.pooler.balancing.log_lag import GROWTH_TIME_S, Sighting
from trefoilhitch.pooler.balancing.trial_turn import (
    TRIAL_INTERVAL_S,
    TrialTurn,
)

# Age from which a sighting does not count.
SIGHTING_VALID_S = 3.0


@dataclass(slots=True)
class EndpointLog:
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
