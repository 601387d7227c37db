"""One node's part of an organisation's rate, and what it gives to others.

Each node owns an equal part of the operations that any span of the rate's
window may hold. What it spends is its own again one window later. A node that
runs short asks others for tokens. The giver counts them as spent before it
answers, and they are void `GIFT_S` after they were asked for. So whatever is
lost or late, the operations of all nodes stay within the limit in any span.
What restarts may add to it is bounded in `rate_limit`.
"""

from trefoilhitch.pooler.rate_accounting import (
    Demand,
    GrantedTokens,
    SlidingWindow,
    SpentTokens,
    TokenBucket,
    TokenGrant,
)
from trefoilhitch.pooler.rate_limit import (
    MIN_RESTART_S,
    RAMP_DOWN_FRACTION,
    RateLimit,
)

# Tokens of another node are void after this time.
GRANT_LIFETIME_S = 0.5
# A node keeps what its own clients will ask for in this time.
DEMAND_RESERVE_S = 0.25
# A node whose clients ask for more than it gets keeps as much as they will
# miss in this time: what it gave away would only be refused here.
SHORTAGE_RESERVE_S = 5.0
# A node that runs short asks for what its clients will ask for in this time.
REQUEST_AHEAD_S = 0.2
MIN_GRANT_TOKENS = 0.1
_ROUNDING = 1e-9


class RateShare:
    """One node's part of one organisation's rate.

    Args:
        now: time in seconds, on a clock that counts suspended time; a new
            process passes the time of its start.

    """

    def __init__(self, now: float) -> None:
        """Start with no part."""
        self._node_count = 0
        self._limit = RateLimit()
        # The limit that is being left, and the time since when.
        self._previous_limit: RateLimit | None = None
        self._lowered_at: float = 0
        self._window = SlidingWindow()
        self._granted = GrantedTokens()
        self._demand = Demand(measured_at=now)
        # An earlier process may have spent what there was until its end.
        self._bucket = TokenBucket(refilled_at=now - MIN_RESTART_S)

    def configure(self, limit: RateLimit, node_count: int, now: float) -> None:
        """Take over a limit and the number of nodes that share it.

        Args:
            limit: what all nodes together may admit.
            node_count: nodes that may spend, those out of reach among them; 0
                while their number is not known.
            now: time in seconds.

        """
        if not node_count:
            return
        if self._node_count:
            self._bucket.refill(now)
        present = self._effective_limit(now)
        if limit.operations > present.operations:
            self._previous_limit = None
        elif limit != self._limit:
            self._previous_limit = present
            self._lowered_at = now
        self._limit = limit
        self._node_count = node_count
        self._refill(now)

    def record_request(self, now: float) -> None:
        """Count an operation that a client asks for.

        Args:
            now: time in seconds.

        """
        self._demand.update(now)
        self._demand.request_count += 1

    def try_spend(self, now: float) -> bool:
        """Admit one operation if there are tokens for it.

        Args:
            now: time in seconds.

        Returns:
            True if it may run.

        """
        own = self._own_tokens(now)
        self._granted.drop_expired(now)
        if own + self._granted.total() < 1 - _ROUNDING:
            return False
        self._count_spent(1 - self._granted.spend(1), now, spent_by=now)
        return True

    def tokens_to_request(self, now: float) -> float:
        """Return how many tokens to ask other nodes for.

        Args:
            now: time in seconds.

        Returns:
            Enough for the next operation and for some more.

        """
        self._demand.update(now)
        return 1 + self._demand.per_s * REQUEST_AHEAD_S

    def grant(self, wanted: float, now: float) -> float:
        """Give tokens up for another node.

        Args:
            wanted: how many it asks for.
            now: time in seconds.

        Returns:
            How many were subtracted here, 0 if none can be spared.

        """
        self._demand.update(now)
        missing_per_s = max(0, self._demand.per_s - self._bucket.per_s)
        kept = (
            self._demand.per_s * DEMAND_RESERVE_S
            + missing_per_s * SHORTAGE_RESERVE_S
        )
        spare = self._own_tokens(now) - kept
        given = min(wanted, spare)
        if given < MIN_GRANT_TOKENS:
            return 0
        self._count_spent(given, now, spent_by=now + GRANT_LIFETIME_S)
        return given

    def add_grant(self, tokens: float, sent_at: float) -> None:
        """Take over tokens that another node gave up.

        Args:
            tokens: how many.
            sent_at: when this node asked for them.

        """
        self._granted.grants.append(
            TokenGrant(tokens, sent_at + GRANT_LIFETIME_S)
        )

    def is_unused(self, now: float) -> bool:
        """Tell whether nothing that was spent counts any more.

        Args:
            now: time in seconds.

        Returns:
            True if the share may be forgotten.

        """
        self._window.drop_expired(now)
        return self._window.is_empty

    def _effective_limit(self, now: float) -> RateLimit:
        """Return the limit, or one on the way to it from a higher one."""
        if self._previous_limit is None:
            return self._limit
        elapsed = now - self._lowered_at
        progress = elapsed / (RAMP_DOWN_FRACTION * self._limit.window_s)
        if progress >= 1:
            self._previous_limit = None
            return self._limit
        return self._previous_limit.interpolate(self._limit, progress)

    def _refill(self, now: float) -> None:
        if not self._node_count:
            return
        present = self._effective_limit(now)
        self._bucket.per_s = present.per_s / self._node_count
        self._bucket.capacity = present.burst / self._node_count
        self._bucket.refill(now)

    def _own_tokens(self, now: float) -> float:
        """Return how many tokens of this node's own part are left."""
        if not self._node_count:
            return 0
        self._refill(now)
        self._window.drop_expired(now)
        operations = self._effective_limit(now).operations
        # What was allowed under a higher limit uses no more of a lower one
        # than it did of that one.
        scaled = self._window.used_fraction * operations
        left = operations / self._node_count - min(self._window.used, scaled)
        return max(0, min(self._bucket.tokens, left))

    def _count_spent(
        self, tokens: float, now: float, *, spent_by: float
    ) -> None:
        """Subtract tokens that are spent by some moment."""
        if not tokens:
            return
        present = self._effective_limit(now)
        part = tokens / present.operations
        counts_until = spent_by + present.window_s
        self._bucket.tokens -= tokens
        self._window.add(SpentTokens(tokens, part, counts_until))
