"""Turns of the nodes of a data centre in trying a replica that lags."""

import math
from dataclasses import dataclass

# Shortest time between two trials of a replica by one node, and average time
# between those of all nodes of a data centre.
TRIAL_INTERVAL_S = 0.4
# Reads of other regions mostly go elsewhere, so their nodes try less often.
FAR_INTERVAL_S = 0.8


@dataclass(frozen=True, slots=True)
class TrialTurn:
    """Place of a node among the nodes of its data centre.

    Args:
        rank: number of nodes before it.
        node_count: number of nodes, at least one.

    """

    rank: int
    node_count: int

    def first_at(
        self, missing_since: float, now: float, interval_s: float
    ) -> float:
        """Return when the node may try a replica that it found to lag.

        Nodes with the same information must not all try it at once. They agree
        on when the replica began to lack an entry, and count from there.

        Args:
            missing_since: time since which the replica lacked an entry.
            now: time at which that was seen.
            interval_s: time between the turns of two nodes.

        """
        first_at = missing_since + (self.rank + 1) * interval_s
        period_s = self.node_count * interval_s
        passed = math.ceil((now + interval_s - first_at) / period_s)
        return first_at + max(0, passed) * period_s

    def next_at(self, due_at: float, now: float, interval_s: float) -> float:
        """Return when the node may try a replica again.

        Args:
            due_at: time of its turn. Counting from there, the time until there
                was a read does not add up.
            now: time of this trial.
            interval_s: time between the turns of two nodes.

        """
        next_at = due_at + self.node_count * interval_s
        return max(now + interval_s, next_at)
