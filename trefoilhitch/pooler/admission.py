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
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.2


class TokenSource(Protocol):
    """Asks other nodes for tokens."""

    async def request_tokens(
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
class _TokenRequestState:
    """When other nodes are asked for tokens of one organisation."""

    pending: Event | None = None
    pause_s: float = 0
    paused_until: float = 0

    def back_off(self, now: float) -> None:
        self.pause_s = min(MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s))
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
        self._request_states: dict[str, _TokenRequestState] = {}

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
        request_state = self._request_states.setdefault(
            organisation, _TokenRequestState()
        )
        with move_on_after(TOKEN_WAIT_S):
            while self._clock() >= request_state.paused_until:
                await self._request_tokens(organisation, share, request_state)
                if share.try_spend(self._clock()):
                    return True
        self._metrics.count('rate_refusals', organisation)
        return False

    async def _request_tokens(
        self,
        organisation: str,
        share: RateShare,
        request_state: _TokenRequestState,
    ) -> None:
        if request_state.pending is not None:
            await request_state.pending.wait()
            return
        finished = Event()
        request_state.pending = finished
        self._metrics.count('token_requests', organisation)
        wanted = share.tokens_to_request(self._clock())
        given: float = 0
        try:
            given = await self._tokens.request_tokens(
                organisation, wanted, share
            )
        finally:
            request_state.pending = None
            finished.set()
        if given < 1:
            request_state.back_off(self._clock())
        else:
            request_state.pause_s = 0
