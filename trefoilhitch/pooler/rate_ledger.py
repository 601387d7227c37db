"""What one node's part of a rate consists of: pace, window, gifts, demand."""

from collections import deque
from dataclasses import dataclass, field
from math import ceil

DEMAND_HALF_LIFE_S = 1.0
# Demand is measured over spans of at least this length.
DEMAND_SPAN_S = 0.25
# What is spent within this time is counted together, as if spent at its end.
COUNTED_S = 0.1


@dataclass(frozen=True, slots=True)
class Gift:
    """Tokens that another node gave up.

    Args:
        tokens: how many are left of them.
        void_at: time after which they must not be spent.

    """

    tokens: float
    void_at: float


@dataclass(slots=True)
class Demand:
    """How many operations a second clients ask for.

    Args:
        measured_at: time in seconds up to which `per_s` is measured.
        asked: operations asked for since then.
        per_s: the average, younger spans weigh more.

    """

    measured_at: float
    asked: int = 0
    per_s: float = 0

    def update(self, now: float) -> None:
        """Measure up to now, if the span is long enough.

        Args:
            now: time in seconds.

        """
        elapsed = now - self.measured_at
        if elapsed < DEMAND_SPAN_S:
            return
        weight = 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
        recent = self.asked / elapsed
        self.per_s = weight * self.per_s + (1 - weight) * recent
        self.asked = 0
        self.measured_at = now


@dataclass(slots=True)
class Bucket:
    """Paces what is spent.

    Args:
        per_s: tokens that it gets a second.
        size: tokens that it holds at most.
        tokens: tokens that it holds.
        filled_at: time in seconds up to which it was filled.

    """

    per_s: float = 0
    size: float = 0
    tokens: float = 0
    filled_at: float = 0

    def fill(self, now: float) -> None:
        """Add what the time since the last call brings.

        Args:
            now: time in seconds.

        """
        elapsed = max(0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        self.tokens = min(self.size, self.tokens + elapsed * self.per_s)


@dataclass(frozen=True, slots=True)
class Spent:
    """Tokens that count in a window.

    Args:
        tokens: how many.
        part: the same as a part of the limit that was then in force.
        counts_until: time in seconds from which they count no more.

    """

    tokens: float
    part: float
    counts_until: float


@dataclass(slots=True)
class Window:
    """Counts what was spent in the span that ends now.

    Args:
        used: tokens.
        used_part: the same as parts of the limits that were then in force.

    """

    used: float = 0
    used_part: float = 0
    _spent: deque[Spent] = field(default_factory=deque)

    @property
    def is_empty(self) -> bool:
        """Whether nothing counts any more."""
        return not self._spent

    def add(self, spent: Spent) -> None:
        """Count tokens.

        Args:
            spent: the tokens.

        """
        self.used += spent.tokens
        self.used_part += spent.part
        until = ceil(spent.counts_until / COUNTED_S) * COUNTED_S
        if self._spent and self._spent[-1].counts_until >= until:
            last = self._spent.pop()
            together = Spent(
                last.tokens + spent.tokens,
                last.part + spent.part,
                last.counts_until,
            )
            self._spent.append(together)
        else:
            self._spent.append(Spent(spent.tokens, spent.part, until))

    def expire(self, now: float) -> None:
        """Drop what counts no more.

        Args:
            now: time in seconds.

        """
        while self._spent and self._spent[0].counts_until <= now:
            spent = self._spent.popleft()
            self.used -= spent.tokens
            self.used_part -= spent.part


@dataclass(slots=True)
class Purse:
    """Keeps gifts until they are spent or void.

    Args:
        gifts: gifts, those that are void first first.

    """

    gifts: deque[Gift] = field(default_factory=deque)

    def drop_void(self, now: float) -> None:
        """Drop what must not be spent any more.

        Args:
            now: time in seconds.

        """
        while self.gifts and self.gifts[0].void_at <= now:
            self.gifts.popleft()

    def total(self) -> float:
        """Return how many tokens there are."""
        return sum(gift.tokens for gift in self.gifts)

    def take(self, wanted: float) -> float:
        """Spend tokens.

        Args:
            wanted: how many at most.

        Returns:
            How many were spent.

        """
        taken: float = 0
        while self.gifts and taken < wanted:
            gift = self.gifts.popleft()
            used = min(gift.tokens, wanted - taken)
            taken += used
            if gift.tokens > used:
                self.gifts.appendleft(Gift(gift.tokens - used, gift.void_at))
        return taken
