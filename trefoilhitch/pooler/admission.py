"""Admits operations within their organisation's rate."""

from collections.abc import Callable
from typing import Protocol

from trio import Event, move_on_after

from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.rate_book import RateBook
from trefoilhitch.pooler.rates import RateShare

# How long an operation waits for tokens of other nodes.
TOKEN_WAIT_S = 0.15
# How long no node is asked again after all had nothing to spare.
REFUSED_PAUSE_S = 0.15


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
        rates: RateBook,
        tokens: TokenSource,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Start asking nobody."""
        self._rates = rates
        self._tokens = tokens
        self._clock = clock
        self._metrics = metrics
        self._asking: dict[str, Event] = {}
        self._paused_until: dict[str, float] = {}

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
        share.ask(self._clock())
        if share.spend(self._clock()):
            return True
        with move_on_after(TOKEN_WAIT_S):
            while not self._is_paused(organisation):
                await self._ask(organisation, share)
                if share.spend(self._clock()):
                    return True
        self._metrics.count('rate_refusals', organisation)
        return False

    def _is_paused(self, organisation: str) -> bool:
        return self._clock() < self._paused_until.get(organisation, 0)

    async def _ask(self, organisation: str, share: RateShare) -> None:
        asking = self._asking.get(organisation)
        if asking is not None:
            await asking.wait()
            return
        asking = Event()
        self._asking[organisation] = asking
        self._metrics.count('token_requests', organisation)
        wanted = share.wanted(self._clock())
        given: float = 0
        try:
            given = await self._tokens.ask_tokens(organisation, wanted, share)
        finally:
            self._asking.pop(organisation)
            asking.set()
        if given < 1:
            until = self._clock() + REFUSED_PAUSE_S
            self._paused_until[organisation] = until
