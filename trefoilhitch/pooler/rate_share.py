"""One node's share of an organisation's rate, with grants between nodes.

Each node owns an equal share of the operations that a window may hold. Tokens
that it spends become available again one window later. A node that runs short
requests tokens from other nodes. The granting node counts them as spent before
it responds, and they expire `GRANT_LIFETIME_S` after the request. So even if
messages are lost or late, the operations of all nodes stay within the limit in
any window. `rate_limit` bounds the excess that restarts can add.
"""

from collections import Counter
from dataclasses import dataclass

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
from trefoilhitch.pooler.rate_priority.priority_reserve import PriorityReserve

# Granted tokens expire this long after they were requested.
GRANT_LIFETIME_S = 0.5
# A node keeps the tokens that its own clients will need within this time.
DEMAND_RESERVE_S = 0.25
# A node whose demand exceeds its share also keeps the tokens that its clients
# will lack within this time, since granting them would cause refusals here.
SHORTAGE_RESERVE_S = 5.0
# A node that runs short requests the tokens that it needs within this time.
REQUEST_AHEAD_S = 0.1
MIN_GRANT_TOKENS = 0.1
HIGHEST_PRIORITY = 0
# Parts of a token, such as six sixths, may add up to slightly less than one.
TOKEN_ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class AvailableTokens:
    """Tokens that an operation could spend.

    Args:
        own: tokens of this node's own share.
        granted: tokens that other nodes granted.
        reserved: tokens that are reserved for more urgent operations.

    """

    own: float
    granted: float
    reserved: float

    @property
    def suffice(self) -> bool:
        """Whether the operation may spend one."""
        return self.own + self.granted >= 1 + self.reserved - TOKEN_ROUNDING


class RateShare:
    """One node's share of one organisation's rate.

    Args:
        now: time in seconds on a clock that includes suspended time; a new
            process passes the time of its start.

    """

    def __init__(self, now: float) -> None:
        """Create a share without tokens."""
        self._node_count = 0
        self._is_suspended = False
        self._limit = RateLimit()
        # The higher limit that is being phased out, and when that began.
        self._previous_limit: RateLimit | None = None
        self._lowered_at: float = 0
        self._window = SlidingWindow()
        self._granted = GrantedTokens()
        self._grant_counts: Counter[int] = Counter()
        self._demand = Demand(measured_at=now)
        self.reserve = PriorityReserve()
        # An earlier process may have spent all tokens until it ended.
        self._bucket = TokenBucket(refilled_at=now - MIN_RESTART_S)

    def configure(self, limit: RateLimit, node_count: int, now: float) -> None:
        """Apply a limit and the number of nodes that share it.

        Args:
            limit: limit for all nodes together.
            node_count: number of nodes that own a part of it, including
                unreachable ones; 0 while it is unknown.
            now: time in seconds.

        """
        if not node_count:
            return
        if self._node_count:
            self._bucket.refill(now)
        if self._is_suspended:
            self._is_suspended = False
            self._restart_bucket(now)
        effective = self._effective_limit(now)
        if limit.operations > effective.operations:
            self._previous_limit = None
        elif limit != self._limit:
            self._previous_limit = effective
            self._lowered_at = now
        self._limit = limit
        self._node_count = node_count
        self._refill(now)

    def suspend(self, limit: RateLimit) -> None:
        """Own no part of the limit; only granted tokens may be spent.

        Args:
            limit: limit for all nodes together.

        """
        self._is_suspended = True
        self._node_count = 0
        self._limit = limit
        self._previous_limit = None

    def record_request(
        self, now: float, priority: int = HIGHEST_PRIORITY
    ) -> None:
        """Count an operation that a client requests.

        Args:
            now: time in seconds.
            priority: priority of the operation, of which 0 is the highest.

        """
        self._demand.update(now)
        self._demand.request_count += 1
        self.reserve.record_request(priority, now)

    def available(
        self, now: float, priority: int = HIGHEST_PRIORITY
    ) -> AvailableTokens:
        """Return the tokens that an operation could spend.

        This brings the accounts of the share up to date.

        Args:
            now: time in seconds.
            priority: priority of the operation.

        Returns:
            The tokens.

        """
        own_tokens = self._own_tokens(now)
        self._granted.drop_expired(now)
        return AvailableTokens(
            own_tokens, self._granted.total(), self._reserved(priority, now)
        )

    def try_spend(
        self, now: float, priority: int = HIGHEST_PRIORITY
    ) -> SpentTokens | None:
        """Spend one token if it is available.

        Args:
            now: time in seconds.
            priority: priority of the operation; tokens that are reserved for
                more urgent ones are not available to it.

        Returns:
            The tokens of this node's own share that were spent, None if the
            operation may not run.

        """
        if not self.available(now, priority).suffice:
            return None
        return self._count_spent(1 - self._granted.spend(1), now, spent_by=now)

    def refund(self, spent: SpentTokens) -> bool:
        """Take back the tokens of an operation that was not sent.

        Args:
            spent: tokens that the operation spent.

        Returns:
            False if they cannot be taken back any more.

        """
        is_removed = self._window.remove(spent)
        if is_removed:
            self._bucket.tokens += spent.tokens
        return is_removed

    def tokens_to_request(
        self,
        now: float,
        priority: int = HIGHEST_PRIORITY,
        *,
        delay_s: float = 0,
    ) -> float:
        """Return how many tokens to request from other nodes.

        Args:
            now: time in seconds.
            priority: priority of the operations that need them.
            delay_s: time in seconds after which they will arrive.

        Returns:
            Tokens for the operations that wait, at least one, and for the
            expected demand.

        """
        self._demand.update(now)
        waiting = max(1, self.reserve.waiting_count(priority))
        return waiting + self._demand.per_s * (REQUEST_AHEAD_S + delay_s)

    def grant(
        self, wanted: float, now: float, priority: int | None = None
    ) -> float:
        """Grant tokens to another node.

        Tokens are kept for the demand of this node's clients, but not for
        operations that are less urgent than those of the other node.

        Args:
            wanted: number of tokens that it requests.
            now: time in seconds.
            priority: priority of its operations; None keeps tokens for all of
                this node's clients.

        Returns:
            Number of tokens subtracted from this share, 0 if none can be
            spared.

        """
        spare = self._own_tokens(now) - self._tokens_to_keep(now, priority)
        granted = min(wanted, spare)
        if granted < MIN_GRANT_TOKENS:
            return 0
        self._count_spent(granted, now, spent_by=now + GRANT_LIFETIME_S)
        return granted

    def add_grant(
        self, tokens: float, sent_at: float, priority: int = HIGHEST_PRIORITY
    ) -> None:
        """Add tokens that another node granted.

        Args:
            tokens: number of tokens.
            sent_at: time in seconds at which this node sent the request.
            priority: priority of the operations that they were requested for;
                any other operation may spend them too.

        """
        self._grant_counts[priority] += 1
        self._granted.add(TokenGrant(tokens, sent_at + GRANT_LIFETIME_S))

    def grant_count(self, priority: int) -> int:
        """Return how many grants have arrived.

        Args:
            priority: priority of the operations that they were requested for.

        Returns:
            The number since this share was created.

        """
        return self._grant_counts[priority]

    def is_unused(self, now: float) -> bool:
        """Return whether no spent tokens count any more.

        Args:
            now: time in seconds.

        Returns:
            True if the share may be dropped.

        """
        self._window.drop_expired(now)
        return self._window.is_empty

    def _effective_limit(self, now: float) -> RateLimit:
        """Return the limit, interpolated while a lower one is phased in."""
        if self._previous_limit is None:
            return self._limit
        elapsed = now - self._lowered_at
        progress = elapsed / (RAMP_DOWN_FRACTION * self._limit.window_s)
        if progress >= 1:
            self._previous_limit = None
            return self._limit
        return self._previous_limit.interpolate(self._limit, progress)

    def _restart_bucket(self, now: float) -> None:
        """Start like a new process: another node may have spent all tokens."""
        self._bucket.tokens = 0
        self._bucket.refilled_at = now - MIN_RESTART_S

    def _refill(self, now: float) -> None:
        if not self._node_count:
            return
        effective = self._effective_limit(now)
        self._bucket.per_s = effective.per_s / self._node_count
        self._bucket.capacity = effective.burst / self._node_count
        self._bucket.refill(now)

    def _own_tokens(self, now: float) -> float:
        """Return how many tokens of this node's own share are left."""
        if not self._node_count:
            return 0
        self._refill(now)
        self._window.drop_expired(now)
        operations = self._effective_limit(now).operations
        # Tokens spent under a higher limit use up no larger fraction of a
        # lower limit than they did of the higher one.
        scaled = self._window.used_fraction * operations
        left = operations / self._node_count - min(self._window.used, scaled)
        return max(0, min(self._bucket.tokens, left))

    def _tokens_to_keep(self, now: float, priority: int | None) -> float:
        """Return the tokens that this node does not grant to another one."""
        self._demand.update(now)
        demand_per_s = self._demand.per_s
        if priority is not None:
            demand_per_s = self.reserve.demand_per_s(priority, now)
        missing_per_s = max(0, demand_per_s - self._bucket.per_s)
        return (
            demand_per_s * DEMAND_RESERVE_S + missing_per_s * SHORTAGE_RESERVE_S
        )

    def _reserved(self, priority: int, now: float) -> float:
        """Return the tokens that are reserved for more urgent operations.

        One token always remains within the reach of each operation, however
        small the share is.
        """
        reserved = self.reserve.tokens_above(priority, now)
        return min(reserved, max(0, self._bucket.capacity - 1))

    def _count_spent(
        self, tokens: float, now: float, *, spent_by: float
    ) -> SpentTokens:
        """Count tokens that are spent by the given time."""
        effective = self._effective_limit(now)
        expires_at = spent_by + effective.window_s
        if not tokens:
            return SpentTokens(0, 0, expires_at)
        spent = SpentTokens(tokens, tokens / effective.operations, expires_at)
        self._bucket.tokens -= tokens
        self._window.add(spent)
        return spent
