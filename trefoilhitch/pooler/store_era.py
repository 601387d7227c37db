"""The era of the store, which changes when the store loses what it confirmed.

A store that is restored from an older copy forgets its newest writes and
assigns their revisions again. So a revision identifies a state only together
with the era in which it was read.

Only the store's own responses tell its era. A later one that another node names
is a reason to ask the store.
"""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from trio import CancelScope, Event

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.era_numbers import FIRST_ERA, NO_ERA

# How long operators and endpoints may take to write again what a restored store
# has lost.
REWRITE_TIME_S = 5.0


class StoreEra:
    """The newest era that the store has named to this node.

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
        # Later era that another node named, and when.
        self._hinted = NO_ERA
        self._hinted_at = -math.inf
        self._is_hinted = Event()
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

    @property
    def is_in_doubt(self) -> bool:
        """Whether another node named a later era than the store so far."""
        return self._hinted > self.current

    def hint(self, era: int) -> None:
        """Record an era that another node named.

        It is not taken for that of the store: if it were wrong, each response
        of the store would count as one of an earlier era.

        Args:
            era: the era; one that is not the latest changes nothing.

        """
        if era <= max(self._hinted, self.current):
            return
        self._hinted = era
        self._hinted_at = self._clock()
        # The store is asked again before a write depends on the era.
        self._confirmed_at = -math.inf
        self._is_hinted.set()

    async def wait_for_doubt(self) -> None:
        """Wait until another node has named a later era."""
        while not self.is_in_doubt:
            self._is_hinted = Event()
            await self._is_hinted.wait()

    def observe(self, era: int) -> None:
        """Record an era that the store named.

        Args:
            era: the era; an older one changes nothing.

        """
        if era <= self.current:
            return
        self._log.event(
            'store_era_changed',
            previous=self.current,
            era=era,
            source='store',
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
        if self.is_in_doubt and sent_at >= self._hinted_at:
            self._log.event(
                'store_era_refuted', era=self._hinted, current=self.current
            )
            self._hinted = NO_ERA

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
