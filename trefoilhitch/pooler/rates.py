"""Shares of the organisations' rates, spent by one node and lent to others.

A node owns an equal part of each rate and burst. A part of it may be lent to
another node until a deadline: the lender gives it up before it answers, and
counts it as its own again only after a margin; the borrower counts from when it
asked. So the parts in use never exceed the whole, whatever is lost or late.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

LOAN_S = 3.0
# A lender waits this much longer, for a borrower whose clock runs slower.
LOAN_MARGIN_S = 0.5
DEMAND_HALF_LIFE_S = 1.0
# Part of its share that a node keeps above its own demand.
HEADROOM = 1.25
# A node asks for more when demand takes this part of its share.
SHORT_AT = 0.85
LEAST_LOAN = 0.01


@dataclass(frozen=True, slots=True)
class Loan:
    """A part of a rate that moved for a while.

    Args:
        fraction: part of the organisation's whole rate and burst.
        ends_at: when it ends, on a clock that counts suspended time.

    """

    fraction: float
    ends_at: float


@dataclass(slots=True)
class _Account:
    updated_at: float
    tokens: float = 0
    demand_per_s: float = 0
    asked: int = 0
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)


class RateShare:
    """One node's part of one organisation's rate.

    It starts with nothing to spend, since an earlier process of the same node
    may have spent its burst a moment ago.

    Args:
        now: time in seconds, on a clock that counts suspended time.

    """

    def __init__(self, now: float) -> None:
        """Start empty."""
        self._rate = 0.0
        self._burst = 0.0
        self._base = 0.0
        self._account = _Account(updated_at=now)

    def configure(
        self, *, rate_per_s: float, burst: float, nodes: int, now: float
    ) -> None:
        """Take over a declared rate and the number of nodes that share it.

        Args:
            rate_per_s: operations a second over all nodes.
            burst: operations at once over all nodes.
            nodes: nodes that may spend, those out of reach among them.
            now: time in seconds.

        """
        self._refill(now)
        self._rate = rate_per_s
        self._burst = burst
        self._base = 1 / max(1, nodes)
        self._cap_tokens()

    def spend(self, now: float) -> bool:
        """Admit one operation if the share allows it.

        Args:
            now: time in seconds.

        Returns:
            True if it may run.

        """
        self._refill(now)
        self._account.asked += 1
        if self._account.tokens < 1:
            return False
        self._account.tokens -= 1
        return True

    def refund(self) -> None:
        """Take back an operation that was admitted and did not run."""
        self._account.tokens += 1
        self._cap_tokens()

    def lend(self, wanted: float, now: float) -> float:
        """Give up a part of the rate for a while, as far as demand allows.

        Args:
            wanted: part of the whole rate that the borrower asks for.
            now: time in seconds.

        Returns:
            The part lent, 0 if none can be spared.

        """
        self._refill(now)
        given = min(wanted, self.spare(now))
        if given < LEAST_LOAN:
            return 0
        loan = Loan(given, now + LOAN_S + LOAN_MARGIN_S)
        self._account.lent.append(loan)
        self._cap_tokens()
        return given

    def borrow(self, fraction: float, asked_at: float) -> None:
        """Take over a part that another node lent.

        Args:
            fraction: part of the whole rate.
            asked_at: when this node asked for it.

        """
        self._account.borrowed.append(Loan(fraction, asked_at + LOAN_S))

    def spare(self, now: float) -> float:
        """Return the part of the whole rate that demand leaves over.

        Args:
            now: time in seconds.

        Returns:
            A part between 0 and 1, without what was borrowed.

        """
        if not self._rate:
            return 0
        used = self._account.demand_per_s * HEADROOM / self._rate
        lent = sum(loan.fraction for loan in self._account.lent)
        return max(0, self._base - lent - used)

    def shortage(self, now: float) -> float:
        """Return the part of the whole rate that demand asks for on top.

        Args:
            now: time in seconds; measures demand since the last call.

        Returns:
            A part between 0 and 1; 0 if the share suffices.

        """
        self._refill(now)
        share = self._fraction(now + 1)
        if not self._rate or not self._account.demand_per_s:
            return 0
        used = self._account.demand_per_s / self._rate
        if used < share * SHORT_AT:
            return 0
        return min(1, used * HEADROOM) - share

    def measure(self, elapsed_s: float) -> None:
        """Update the demand from the operations asked for meanwhile.

        Args:
            elapsed_s: seconds since the last call.

        """
        if elapsed_s <= 0:
            return
        weight = 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)
        recent = self._account.asked / elapsed_s
        self._account.asked = 0
        self._account.demand_per_s = (
            weight * self._account.demand_per_s + (1 - weight) * recent
        )

    def _fraction(self, now: float) -> float:
        lent = _sum_open(self._account.lent, now)
        borrowed = _sum_open(self._account.borrowed, now)
        return max(0, self._base - lent) + borrowed

    def _refill(self, now: float) -> None:
        account = self._account
        elapsed = max(0, now - account.updated_at)
        # A loan that ended meanwhile counts as lent for all of the time since
        # the last update, and as borrowed for none of it.
        lent = _sum_open(account.lent, account.updated_at)
        own = max(0, self._base - lent)
        fraction = own + _sum_open(account.borrowed, now)
        account.updated_at = now
        account.tokens += elapsed * self._rate * fraction
        account.lent = [loan for loan in account.lent if loan.ends_at > now]
        account.borrowed = [
            loan for loan in account.borrowed if loan.ends_at > now
        ]
        self._cap_tokens()

    def _cap_tokens(self) -> None:
        account = self._account
        fraction = self._fraction(account.updated_at)
        account.tokens = min(account.tokens, self._burst * fraction)


def _sum_open(loans: Iterable[Loan], now: float) -> float:
    return sum(loan.fraction for loan in loans if loan.ends_at > now)
