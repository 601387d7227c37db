"""One node's part of an organisation's rate, and what it gives to others.

Each node owns an equal part of the rate and of the burst, and fills a bucket of
its own with it. A node that runs short asks others for tokens. The giver
subtracts them before it answers, and they are void `GIFT_S` after they were
asked for. So whatever is lost, late or restarted, the operations of all nodes
in any span of W seconds stay within burst + rate * (W + GIFT_S).
"""

from collections import deque
from dataclasses import dataclass, field

GIFT_S = 0.5
DEMAND_HALF_LIFE_S = 1.0
# A node keeps what its own clients will ask for in this time.
RESERVE_S = 0.25
# A node that runs short asks for what its clients will ask for in this time.
ASK_AHEAD_S = 0.5
LEAST_GIFT = 0.1
_ROUNDING = 1e-9


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
class _Demand:
    measured_at: float
    asked: int = 0
    per_s: float = 0

    def update(self, now: float) -> None:
        elapsed = now - self.measured_at
        if elapsed < RESERVE_S:
            return
        weight = 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
        recent = self.asked / elapsed
        self.per_s = weight * self.per_s + (1 - weight) * recent
        self.asked = 0
        self.measured_at = now


@dataclass(slots=True)
class _Bucket:
    rate_per_s: float = 0
    size: float = 0
    tokens: float = 0
    filled_at: float = 0

    def fill(self, now: float) -> None:
        elapsed = max(0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        self.tokens = min(self.size, self.tokens + elapsed * self.rate_per_s)


@dataclass(slots=True)
class _Purse:
    gifts: deque[Gift] = field(default_factory=deque)

    def drop_void(self, now: float) -> None:
        while self.gifts and self.gifts[0].void_at <= now:
            self.gifts.popleft()

    def total(self) -> float:
        return sum(gift.tokens for gift in self.gifts)

    def take(self, wanted: float) -> float:
        """Spend up to some tokens, those that are void first first."""
        taken: float = 0
        while self.gifts and taken < wanted:
            gift = self.gifts.popleft()
            used = min(gift.tokens, wanted - taken)
            taken += used
            if gift.tokens > used:
                self.gifts.appendleft(Gift(gift.tokens - used, gift.void_at))
        return taken


class RateShare:
    """One node's part of one organisation's rate.

    It starts with nothing to spend, since an earlier process of the same node
    may have spent its burst a moment ago.

    Args:
        now: time in seconds, on a clock that counts suspended time.

    """

    def __init__(self, now: float) -> None:
        """Start empty."""
        self._bucket = _Bucket(filled_at=now)
        self._purse = _Purse()
        self._demand = _Demand(measured_at=now)

    def configure(
        self, *, rate_per_s: float, burst: float, nodes: int, now: float
    ) -> None:
        """Take over a declared rate and the number of nodes that share it.

        Args:
            rate_per_s: operations a second over all nodes.
            burst: operations at once over all nodes.
            nodes: nodes that may spend, those out of reach among them; 0
                while their number is not known.
            now: time in seconds.

        """
        self._bucket.fill(now)
        part = 1 / nodes if nodes else 0
        self._bucket.rate_per_s = rate_per_s * part
        self._bucket.size = burst * part
        self._bucket.fill(now)

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
        self._bucket.fill(now)
        self._purse.drop_void(now)
        if self._bucket.tokens + self._purse.total() < 1 - _ROUNDING:
            return False
        self._bucket.tokens -= 1 - self._purse.take(1)
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
        self._bucket.fill(now)
        self._demand.update(now)
        spare = self._bucket.tokens - self._demand.per_s * RESERVE_S
        given = min(wanted, spare)
        if given < LEAST_GIFT:
            return 0
        self._bucket.tokens -= given
        return given

    def receive(self, tokens: float, asked_at: float) -> None:
        """Take over tokens that another node gave up.

        Args:
            tokens: how many.
            asked_at: when this node asked for them.

        """
        self._purse.gifts.append(Gift(tokens, asked_at + GIFT_S))
