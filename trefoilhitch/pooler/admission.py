"""Admits operations within their organisation's rate."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from trio import Event, move_on_after

from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.rate_share import RateShare
from trefoilhitch.pooler.rate_shares import RateShares

# How long an operation waits for tokens of other nodes.
TOKEN_WAIT_S = 0.15
# How long no node is asked again after all had nothing to spare; twice as long
# each further time, up to the longest.
REFUSED_PAUSE_S = 0.15
LONGEST_PAUSE_S = 1.2


class TokenSource(Protocol):
    """Asks other nodes for tokens."""

    async def ask_tokens(
        self, organisation: str, wanted: float, share: RateShare
    ) -> float:
        """Ask until enough were given or all nodes were asked.

        Args:
            organisation: whose rate.
            wanted: how many tokens.
            share: receives them.

        Returns:
            How many were given.

        """


@dataclass(slots=True)
class _Questions:
    """When other nodes are asked for tokens of one organisation."""

    answered: Event | None = None
    pause_s: float = 0
    paused_until: float = 0

    def refuse(self, now: float) -> None:
        self.pause_s = min(
            LONGEST_PAUSE_S, max(REFUSED_PAUSE_S, 2 * self.pause_s)
        )
        self.paused_until = now + self.pause_s


class Admission:
    """Spends this node's shares, and other nodes' spare tokens.

    Args:
        rates: this node's shares.
        tokens: asks other nodes.
        clock: seconds, on a clock that counts suspended time.
        metrics: counts.

    """

    def __init__(
        self,
        *,
        rates: RateShares,
        tokens: TokenSource,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Start asking nobody."""
        self._rates = rates
        self._tokens = tokens
        self._clock = clock
        self._metrics = metrics
        self._questions: dict[str, _Questions] = {}

    async def admit(self, organisation: str) -> bool:
        """Admit one operation if the organisation's rate allows it.

        Args:
            organisation: for whom it runs.

        Returns:
            True if it may run; also if no rate is declared.

        """
        share = self._rates.share(organisation)
        if share is None:
            return True
        share.record_request(self._clock())
        if share.try_spend(self._clock()):
            return True
        questions = self._questions.setdefault(organisation, _Questions())
        with move_on_after(TOKEN_WAIT_S):
            while self._clock() >= questions.paused_until:
                await self._ask(organisation, share, questions)
                if share.try_spend(self._clock()):
                    return True
        self._metrics.count('rate_refusals', organisation)
        return False

    async def _ask(
        self, organisation: str, share: RateShare, questions: _Questions
    ) -> None:
        if questions.answered is not None:
            await questions.answered.wait()
            return
        answered = Event()
        questions.answered = answered
        self._metrics.count('token_requests', organisation)
        wanted = share.tokens_to_request(self._clock())
        given: float = 0
        try:
            given = await self._tokens.ask_tokens(organisation, wanted, share)
        finally:
            questions.answered = None
            answered.set()
        if given < 1:
            questions.refuse(self._clock())
        else:
            questions.pause_s = 0
