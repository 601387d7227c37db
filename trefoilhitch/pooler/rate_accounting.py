"""What one node's part of a rate consists of: pace, window, gifts, demand."""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

DEMAND_HALF_LIFE_S = 1.0
# Demand is measured over spans of at least this length.
MIN_DEMAND_INTERVAL_S = 0.25
# What is spent within this time is counted together, as if spent at its end.
COUNT_RESOLUTION_S = 0.1


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens that another node gave up.

    Args:
        tokens: how many are left of them.
        expires_at: time after which they must not be spent.

    """

    tokens: float
    expires_at: float


@dataclass(slots=True)
class Demand:
    """How many operations a second clients ask for.

    Args:
        measured_at: time in seconds up to which `per_s` is measured.
        request_count: operations asked for since then.
        per_s: the average, younger spans weigh more.

    """

    measured_at: float
    request_count: int = 0
    per_s: float = 0

    def update(self, now: float) -> None:
        """Measure up to now, if the span is long enough.

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
    """Paces what is spent.

    Args:
        per_s: tokens that it gets a second.
        capacity: tokens that it holds at most.
        tokens: tokens that it holds.
        refilled_at: time in seconds up to which it was filled.

    """

    per_s: float = 0
    capacity: float = 0
    tokens: float = 0
    refilled_at: float = 0

    def refill(self, now: float) -> None:
        """Add what the time since the last call brings.

        Args:
            now: time in seconds.

        """
        elapsed = max(0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.per_s)


@dataclass(frozen=True, slots=True)
class SpentTokens:
    """Tokens that count in a window.

    Args:
        tokens: how many.
        limit_fraction: the same as a part of the limit that was then in force.
        expires_at: time in seconds from which they count no more.

    """

    tokens: float
    limit_fraction: float
    expires_at: float


@dataclass(slots=True)
class SlidingWindow:
    """Counts what was spent in the span that ends now.

    Args:
        used: tokens.
        used_fraction: the same as parts of the limits that were then in force.

    """

    used: float = 0
    used_fraction: float = 0
    _spent: deque[SpentTokens] = field(default_factory=deque)

    @property
    def is_empty(self) -> bool:
        """Whether nothing counts any more."""
        return not self._spent

    def add(self, spent: SpentTokens) -> None:
        """Count tokens.

        Args:
            spent: the tokens.

        """
        self.used += spent.tokens
        self.used_fraction += spent.limit_fraction
        until = ceil(spent.expires_at / COUNT_RESOLUTION_S) * COUNT_RESOLUTION_S
        if self._spent and self._spent[-1].expires_at >= until:
            last = self._spent.pop()
            together = SpentTokens(
                last.tokens + spent.tokens,
                last.limit_fraction + spent.limit_fraction,
                last.expires_at,
            )
            self._spent.append(together)
        else:
            self._spent.append(
                SpentTokens(spent.tokens, spent.limit_fraction, until)
            )

    def drop_expired(self, now: float) -> None:
        """Drop what counts no more.

        Args:
            now: time in seconds.

        """
        while self._spent and self._spent[0].expires_at <= now:
            spent = self._spent.popleft()
            self.used -= spent.tokens
            self.used_fraction -= spent.limit_fraction


@dataclass(slots=True)
class GrantedTokens:
    """Keeps gifts until they are spent or void.

    Args:
        grants: gifts, those that are void first first.

    """

    grants: deque[TokenGrant] = field(default_factory=deque)

    def drop_expired(self, now: float) -> None:
        """Drop what must not be spent any more.

        Args:
            now: time in seconds.

        """
        while self.grants and self.grants[0].expires_at <= now:
            self.grants.popleft()

    def total(self) -> float:
        """Return how many tokens there are."""
        return sum(gift.tokens for gift in self.grants)

    def spend(self, wanted: float) -> float:
        """Spend tokens.

        Args:
            wanted: how many at most.

        Returns:
            How many were spent.

        """
        taken: float = 0
        while self.grants and taken < wanted:
            gift = self.grants.popleft()
            used = min(gift.tokens, wanted - taken)
            taken += used
            if gift.tokens > used:
                self.grants.appendleft(
                    TokenGrant(gift.tokens - used, gift.expires_at)
                )
        return taken
