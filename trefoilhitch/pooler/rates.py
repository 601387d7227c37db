"""One node's part of an organisation's rate, and what it gives to others.

Each node owns an equal part of the operations that any span of the rate's
window may hold. What it spends is its own again one window later. A node that
runs short asks others for tokens. The giver counts them as spent before it
answers, and they are void `GIFT_S` after they were asked for. So whatever is
lost or late, the operations of all nodes stay within the limit in any span.
What restarts may add to it is bounded in `rate_limit`.
"""

from trefoilhitch.pooler.rate_ledger import (
    Bucket,
    Demand,
    Gift,
    Purse,
    Spent,
    Window,
)
from trefoilhitch.pooler.rate_limit import (
    LANDING_PART,
    RESTART_S,
    RateLimit,
)

# Tokens of another node are void after this time.
GIFT_S = 0.5
# A node keeps what its own clients will ask for in this time.
RESERVE_S = 0.25
# A node whose clients ask for more than it gets keeps as much as they will
# miss in this time: what it gave away would only be refused here.
KEPT_S = 5.0
# A node that runs short asks for what its clients will ask for in this time.
ASK_AHEAD_S = 0.2
LEAST_GIFT = 0.1
_ROUNDING = 1e-9


class RateShare:
    """One node's part of one organisation's rate.

    Args:
        now: time in seconds, on a clock that counts suspended time; a new
            process passes the time of its start.

    """

    def __init__(self, now: float) -> None:
        """Start with no part."""
        self._nodes = 0
        self._limit = RateLimit()
        # The limit that is being left, and the time since when.
        self._higher: RateLimit | None = None
        self._lowered_at: float = 0
        self._window = Window()
        self._purse = Purse()
        self._demand = Demand(measured_at=now)
        # An earlier process may have spent what there was until its end.
        self._bucket = Bucket(filled_at=now - RESTART_S)

    def configure(self, limit: RateLimit, nodes: int, now: float) -> None:
        """Take over a limit and the number of nodes that share it.

        Args:
            limit: what all nodes together may admit.
            nodes: nodes that may spend, those out of reach among them; 0
                while their number is not known.
            now: time in seconds.

        """
        if not nodes:
            return
        if self._nodes:
            self._bucket.fill(now)
        present = self._present(now)
        if limit.operations > present.operations:
            self._higher = None
        elif limit != self._limit:
            self._higher = present
            self._lowered_at = now
        self._limit = limit
        self._nodes = nodes
        self._fill(now)

    def ask(self, now: float) -> None:
        """Count an operation that a client asks for.

        Args:
            now: time in seconds.

        """
        self._demand.update(now)
        self._demand.asked += 1

    def spend(self, now: float) -> bool:
        """Admit one operation if there are tokens for it.

        Args:
            now: time in seconds.

        Returns:
            True if it may run.

        """
        own = self._own(now)
        self._purse.drop_void(now)
        if own + self._purse.total() < 1 - _ROUNDING:
            return False
        self._use(1 - self._purse.take(1), now, spent_by=now)
        return True

    def wanted(self, now: float) -> float:
        """Return how many tokens to ask other nodes for.

        Args:
            now: time in seconds.

        Returns:
            Enough for the next operation and for some more.

        """
        self._demand.update(now)
        return 1 + self._demand.per_s * ASK_AHEAD_S

    def give(self, wanted: float, now: float) -> float:
        """Give tokens up for another node.

        Args:
            wanted: how many it asks for.
            now: time in seconds.

        Returns:
            How many were subtracted here, 0 if none can be spared.

        """
        self._demand.update(now)
        missing_per_s = max(0, self._demand.per_s - self._bucket.per_s)
        kept = self._demand.per_s * RESERVE_S + missing_per_s * KEPT_S
        spare = self._own(now) - kept
        given = min(wanted, spare)
        if given < LEAST_GIFT:
            return 0
        self._use(given, now, spent_by=now + GIFT_S)
        return given

    def receive(self, tokens: float, asked_at: float) -> None:
        """Take over tokens that another node gave up.

        Args:
            tokens: how many.
            asked_at: when this node asked for them.

        """
        self._purse.gifts.append(Gift(tokens, asked_at + GIFT_S))

    def is_unused(self, now: float) -> bool:
        """Tell whether nothing that was spent counts any more.

        Args:
            now: time in seconds.

        Returns:
            True if the share may be forgotten.

        """
        self._window.expire(now)
        return self._window.is_empty

    def _present(self, now: float) -> RateLimit:
        """Return the limit, or one on the way to it from a higher one."""
        if self._higher is None:
            return self._limit
        elapsed = now - self._lowered_at
        progress = elapsed / (LANDING_PART * self._limit.window_s)
        if progress >= 1:
            self._higher = None
            return self._limit
        return self._higher.toward(self._limit, progress)

    def _fill(self, now: float) -> None:
        if not self._nodes:
            return
        present = self._present(now)
        self._bucket.per_s = present.per_s / self._nodes
        self._bucket.size = present.at_once / self._nodes
        self._bucket.fill(now)

    def _own(self, now: float) -> float:
        """Return how many tokens of this node's own part are left."""
        if not self._nodes:
            return 0
        self._fill(now)
        self._window.expire(now)
        operations = self._present(now).operations
        # What was allowed under a higher limit uses no more of a lower one
        # than it did of that one.
        scaled = self._window.used_part * operations
        left = operations / self._nodes - min(self._window.used, scaled)
        return max(0, min(self._bucket.tokens, left))

    def _use(self, tokens: float, now: float, *, spent_by: float) -> None:
        """Subtract tokens that are spent by some moment."""
        if not tokens:
            return
        present = self._present(now)
        part = tokens / present.operations
        counts_until = spent_by + present.window_s
        self._bucket.tokens -= tokens
        self._window.add(Spent(tokens, part, counts_until))
