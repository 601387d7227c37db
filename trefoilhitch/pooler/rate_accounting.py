"""Parts of one node's rate share: token bucket, window, grants and demand."""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from math import ceil
from operator import attrgetter

DEMAND_HALF_LIFE_S = 1.0
# Demand is measured over intervals of at least this length.
MIN_DEMAND_INTERVAL_S = 0.25
# Tokens spent within this time are counted together, as if spent at its end.
COUNT_RESOLUTION_S = 0.1


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens that another node granted to this one.

    Args:
        tokens: number of tokens that are left.
        expires_at: time in seconds after which they must not be spent.

    """

    tokens: float
    expires_at: float


@dataclass(slots=True)
class Demand:
    """Rate at which clients request operations.

    Args:
        measured_at: time in seconds up to which `per_s` is measured.
        request_count: operations requested since then.
        per_s: requested operations per second, an exponential average.

    """

    measured_at: float
    request_count: int = 0
    per_s: float = 0

    def update(self, now: float) -> None:
        """Update the average if enough time has passed since the last update.

        Args:
            now: time in seconds.

        """
        elapsed = now - self.measured_at
        if elapsed < MIN_DEMAND_INTERVAL_S:
            return
        weight = 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
        recent_per_s = self.request_count / elapsed
        self.per_s = weight * self.per_s + (1 - weight) * recent_per_s
        self.request_count = 0
        self.measured_at = now


@dataclass(slots=True)
class TokenBucket:
    """Token bucket that limits the pace of spending.

    Args:
        per_s: tokens added per second.
        capacity: maximum number of tokens.
        tokens: number of tokens at present.
        refilled_at: time in seconds of the last refill.

    """

    per_s: float = 0
    capacity: float = 0
    tokens: float = 0
    refilled_at: float = 0

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill.

        Args:
            now: time in seconds.

        """
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.per_s)


@dataclass(frozen=True, slots=True)
class SpentTokens:
    """Spent tokens that count in a window.

    Args:
        tokens: number of tokens.
        limit_fraction: the tokens as a fraction of the limit that was in
            force when they were spent.
        expires_at: time in seconds from which they no longer count.

    """

    tokens: float
    limit_fraction: float
    expires_at: float


@dataclass(slots=True)
class SlidingWindow:
    """Counts the tokens spent in the window that ends now.

    Args:
        used: number of tokens.
        used_fraction: sum of the tokens as fractions of the limits that were
            in force when they were spent.

    """

    used: float = 0
    used_fraction: float = 0
    _spent: deque[SpentTokens] = field(default_factory=deque)

    @property
    def is_empty(self) -> bool:
        """Whether no spent tokens count any more."""
        return not self._spent

    def add(self, spent: SpentTokens) -> None:
        """Add spent tokens.

        Args:
            spent: tokens to count.

        """
        self.used += spent.tokens
        self.used_fraction += spent.limit_fraction
        until = ceil(spent.expires_at / COUNT_RESOLUTION_S) * COUNT_RESOLUTION_S
        if self._spent and self._spent[-1].expires_at >= until:
            last = self._spent.pop()
            merged = SpentTokens(
                last.tokens + spent.tokens,
                last.limit_fraction + spent.limit_fraction,
                last.expires_at,
            )
            self._spent.append(merged)
        else:
            self._spent.append(
                SpentTokens(spent.tokens, spent.limit_fraction, until)
            )

    def remove(self, spent: SpentTokens) -> bool:
        """Remove tokens that turned out not to be spent.

        Args:
            spent: the tokens as they were added.

        Returns:
            False if they cannot be told apart from others any more; they then
            count until they expire.

        """
        until = ceil(spent.expires_at / COUNT_RESOLUTION_S) * COUNT_RESOLUTION_S
        if not self._spent or self._spent[-1].expires_at != until:
            return False
        last = self._spent.pop()
        self._spent.append(
            SpentTokens(
                last.tokens - spent.tokens,
                last.limit_fraction - spent.limit_fraction,
                until,
            )
        )
        self.used -= spent.tokens
        self.used_fraction -= spent.limit_fraction
        return True

    def drop_expired(self, now: float) -> None:
        """Drop the tokens that no longer count.

        Args:
            now: time in seconds.

        """
        while self._spent and self._spent[0].expires_at <= now:
            spent = self._spent.popleft()
            self.used -= spent.tokens
            self.used_fraction -= spent.limit_fraction


@dataclass(slots=True)
class GrantedTokens:
    """Holds granted tokens until they are spent or expire.

    Args:
        grants: grants in the order in which they expire.

    """

    grants: deque[TokenGrant] = field(default_factory=deque)

    def add(self, token_grant: TokenGrant) -> None:
        """Add a grant, which may expire before others that arrived earlier.

        Args:
            token_grant: the grant.

        """
        insort(self.grants, token_grant, key=attrgetter('expires_at'))

    def drop_expired(self, now: float) -> None:
        """Drop expired grants.

        Args:
            now: time in seconds.

        """
        while self.grants and self.grants[0].expires_at <= now:
            self.grants.popleft()

    def total(self) -> float:
        """Return the number of tokens."""
        return sum(token_grant.tokens for token_grant in self.grants)

    def spend(self, wanted: float) -> float:
        """Spend tokens.

        Args:
            wanted: maximum number of tokens to spend.

        Returns:
            Number of tokens that were spent.

        """
        spent: float = 0
        while self.grants and spent < wanted:
            token_grant = self.grants.popleft()
            used = min(token_grant.tokens, wanted - spent)
            spent += used
            if token_grant.tokens > used:
                self.grants.appendleft(
                    TokenGrant(
                        token_grant.tokens - used, token_grant.expires_at
                    )
                )
        return spent
