"""Admission control: spends rate tokens before an operation runs."""

from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass
from typing import Protocol

from trio import Event, move_on_after

from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.rate_accounting import SpentTokens
from trefoilhitch.pooler.rate_share import (
    HIGHEST_PRIORITY,
    AvailableTokens,
    RateShare,
)
from trefoilhitch.pooler.token_round import TokenOutcome, Unasked

# Longest wait of an operation for tokens of other nodes.
TOKEN_WAIT_S = 0.15
# Pause in requests to other nodes after none of them had tokens to spare. It
# doubles with each further refusal, up to the maximum. There is none after a
# request that no node responded to, which tells nothing about their tokens.
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.2
# Pause while this node backs off from all nodes, since none responded. Looking
# for one that may be asked again sends no messages, so the pause is short.
UNASKED_PAUSE_S = 0.02


class RateSource(Protocol):
    """Returns this node's shares of rates."""

    def share(self, organisation: str) -> RateShare | None:
        """Return the share of an organisation's rate, None without a rate."""


class TokenSource(Protocol):
    """Requests rate tokens from other nodes."""

    async def request_tokens(
        self,
        organisation: str,
        wanted: float,
        share: RateShare,
        priority: int = HIGHEST_PRIORITY,
    ) -> TokenOutcome:
        """Request tokens, and wait until some arrive or no more will.

        Args:
            organisation: organisation whose rate the tokens belong to.
            wanted: number of tokens needed.
            share: rate share that receives the tokens.
            priority: priority of the operation that needs them.

        Returns:
            Number of tokens given; None while further nodes may respond, or
            if none of those that were asked responded; the reason if none was
            asked since all failed to respond lately.

        """


@dataclass(slots=True)
class _TokenRequestState:
    """State of the requests for tokens of one organisation and priority.

    Args:
        pending: set when the request that is under way has returned.
        pause_s: length of the last pause after a refusal in seconds, 0 after
            a success.
        paused_until: end of the pause.
        paused_at_count: grants that had arrived when the pause began.

    """

    pending: Event | None = None
    pause_s: float = 0
    paused_until: float = 0
    paused_at_count: int = 0

    def may_request(self, now: float, grant_count: int) -> bool:
        """Return whether no pause is on; a late grant ends it."""
        return now >= self.paused_until or grant_count != self.paused_at_count

    def record_result(
        self,
        given: float | Unasked,
        now: float,
        grant_count: int,
        *,
        is_admitted: bool,
    ) -> None:
        """Begin a pause unless the tokens sufficed for an operation."""
        if isinstance(given, Unasked):
            self._pause(UNASKED_PAUSE_S, now, grant_count)
        elif given >= 1 or (given > 0 and is_admitted):
            self.pause_s = 0
        else:
            self.pause_s = min(
                MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s)
            )
            self._pause(self.pause_s, now, grant_count)

    def _pause(self, pause_s: float, now: float, grant_count: int) -> None:
        self.paused_until = now + pause_s
        self.paused_at_count = grant_count


@dataclass(frozen=True, slots=True)
class AdmittedOperation:
    """An operation that may run.

    Args:
        share: share that its token came from, None without a rate.
        spent: tokens of the share that it spent, None without a rate.

    """

    share: RateShare | None = None
    spent: SpentTokens | None = None

    def refund(self) -> bool:
        """Give the token back, since the operation was not sent.

        Returns:
            False if the operation still has its token.

        """
        if self.share is None or self.spent is None:
            return True
        return self.share.refund(self.spent)


@dataclass(frozen=True, slots=True)
class TokenOutlook:
    """Tokens that an operation would find.

    Args:
        available: the tokens.
        asks_others: whether other nodes would be asked for more.

    """

    available: AvailableTokens
    asks_others: bool


class Admission:
    """Admits operations against this node's rate shares.

    If a share is used up, spare tokens are requested from other nodes.

    Args:
        rates: this node's rate shares.
        tokens: requests tokens from other nodes.
        clock: seconds, on a clock that counts suspended time.
        metrics: counts refusals.
        by_priority: whether tokens are reserved for urgent operations.

    """

    def __init__(
        self,
        *,
        rates: RateSource,
        tokens: TokenSource,
        clock: Callable[[], float],
        metrics: Metrics,
        by_priority: bool = True,
    ) -> None:
        """Start without pending token requests."""
        self._by_priority = by_priority
        self._rates = rates
        self._tokens = tokens
        self._clock = clock
        self._metrics = metrics
        self._request_states: dict[tuple[str, int], _TokenRequestState] = {}

    async def admit(
        self, organisation: str, priority: int = HIGHEST_PRIORITY
    ) -> AdmittedOperation | None:
        """Admit one operation if the organisation's rate allows it.

        Args:
            organisation: organisation that the operation belongs to.
            priority: priority of the operation, of which 0 is the highest.

        Returns:
            The operation, None if it may not run.

        """
        share = self._rates.share(organisation)
        if share is None:
            return AdmittedOperation()
        effective = self._effective_priority(priority)
        share.record_request(self._clock(), effective)
        spent = share.try_spend(self._clock(), effective)
        if spent is None:
            spent = await self._wait_for_tokens(organisation, share, effective)
        if spent is None:
            self._metrics.count('rate_refusals', organisation)
            self._metrics.count('rate_refusals_by_priority', str(priority))
            return None
        return AdmittedOperation(share, spent)

    def expect_tokens(
        self, organisation: str, share: RateShare, priority: int
    ) -> TokenOutlook:
        """Return the tokens that an operation would find, without a change.

        Args:
            organisation: organisation that the operation belongs to.
            share: the organisation's share.
            priority: priority of the operation, of which 0 is the highest.

        Returns:
            The tokens, and whether other nodes would be asked for more.

        """
        effective = self._effective_priority(priority)
        now = self._clock()
        # The accounts of the share itself stay as they are.
        available = deepcopy(share).available(now, effective)
        request_state = self._request_states.get((organisation, effective))
        may_ask = request_state is None or request_state.may_request(
            now, share.grant_count(effective)
        )
        return TokenOutlook(available, may_ask and not available.suffice)

    def _effective_priority(self, priority: int) -> int:
        return priority if self._by_priority else HIGHEST_PRIORITY

    async def _wait_for_tokens(
        self, organisation: str, share: RateShare, priority: int
    ) -> SpentTokens | None:
        request_state = self._request_states.setdefault(
            (organisation, priority), _TokenRequestState()
        )
        share.reserve.begin_wait(priority)
        spent = None
        try:
            with move_on_after(TOKEN_WAIT_S):
                while spent is None and request_state.may_request(
                    self._clock(), share.grant_count(priority)
                ):
                    spent = await self._spend_requested(
                        organisation, share, request_state, priority
                    )
        finally:
            share.reserve.end_wait(priority)
        return spent or share.try_spend(self._clock(), priority)

    async def _spend_requested(
        self,
        organisation: str,
        share: RateShare,
        request_state: _TokenRequestState,
        priority: int,
    ) -> SpentTokens | None:
        given = await self._request_tokens(
            organisation, share, request_state, priority
        )
        spent = share.try_spend(self._clock(), priority)
        if given is not None:
            request_state.record_result(
                given,
                self._clock(),
                share.grant_count(priority),
                is_admitted=spent is not None,
            )
        return spent

    async def _request_tokens(
        self,
        organisation: str,
        share: RateShare,
        request_state: _TokenRequestState,
        priority: int,
    ) -> TokenOutcome:
        """Return the tokens given, None if unknown or requested by another."""
        if request_state.pending is not None:
            await request_state.pending.wait()
            return None
        finished = Event()
        request_state.pending = finished
        wanted = share.tokens_to_request(self._clock(), priority)
        try:
            return await self._tokens.request_tokens(
                organisation, wanted, share, priority
            )
        finally:
            request_state.pending = None
            finished.set()
