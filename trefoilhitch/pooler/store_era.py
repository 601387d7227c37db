"""The era of the store, which changes when the store loses what it confirmed.

A store that is restored from an older copy forgets its newest writes and
assigns their revisions again. So a revision identifies a state only together
with the era in which it was read.
"""

import math
from collections.abc import Callable

from trefoilhitch.decision_log import DecisionLog

# Era of a store that names none, and never loses a confirmed write.
NO_ERA = 0


class StoreEra:
    """The newest era of the store that this node knows.

    Args:
        clock: returns seconds on a clock that includes suspended time.
        log: records changes of the era.

    """

    def __init__(self, *, clock: Callable[[], float], log: DecisionLog) -> None:
        """Start before the first response of the store."""
        self.current = NO_ERA
        # When this node first knew the era.
        self.seen_at = -math.inf
        self._clock = clock
        self._log = log

    def observe(self, era: int) -> None:
        """Record an era that the store or another node named.

        Args:
            era: the era; an older one changes nothing.

        """
        if era <= self.current:
            return
        self._log.event('store_era_changed', previous=self.current, era=era)
        self.current = era
        self.seen_at = self._clock()
