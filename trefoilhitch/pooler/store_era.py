"""The era of the store, which changes when the store loses what it confirmed.

A store that is restored from an older copy forgets its newest writes and
assigns their revisions again. So a revision identifies a state only together
with the era in which it was read.
"""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from trio import CancelScope

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.era_numbers import FIRST_ERA, NO_ERA

# How long operators and endpoints may take to write again what a restored store
# has lost.
REWRITE_TIME_S = 5.0


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
        # When the last request was sent to which the store named the era.
        self._confirmed_at = -math.inf
        self._clock = clock
        self._log = log
        self._scopes: dict[CancelScope, int] = {}

    def now(self) -> float:
        """Return the time on the clock of this class."""
        return self._clock()

    @property
    def lacks_writes(self) -> bool:
        """Whether the store may lack confirmed writes of others."""
        if self.current <= FIRST_ERA:
            return False
        return self._clock() < self.seen_at + REWRITE_TIME_S

    def observe(self, era: int, source: str) -> None:
        """Record an era that the store or another node named.

        Args:
            era: the era; an older one changes nothing.
            source: who named it, for the log.

        """
        if era <= self.current:
            return
        self._log.event(
            'store_era_changed',
            previous=self.current,
            era=era,
            source=source,
        )
        self.current = era
        self.seen_at = self._clock()
        self._confirmed_at = -math.inf
        for scope, needed in self._scopes.items():
            if needed < era:
                scope.cancel()

    def confirm(self, sent_at: float) -> None:
        """Record that the store named the present era.

        Args:
            sent_at: when that was requested, on the clock of this class.

        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def is_confirmed(self, max_age_s: float) -> bool:
        """Return whether the store has named the present era lately.

        Args:
            max_age_s: age of the request that it answered, in seconds.

        """
        return self._clock() < self._confirmed_at + max_age_s

    @contextmanager
    def cancel_when_over(self, era: int) -> Iterator[CancelScope]:
        """Cancel a block when an era is over.

        Args:
            era: the era.

        Yields:
            The scope of the block.

        """
        with CancelScope() as scope:
            self._scopes[scope] = era
            if era < self.current:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.pop(scope)
