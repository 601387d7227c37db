"""Tokens that several nodes grant in response to one need."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from trio import Event, move_on_at

from trefoilhitch.pooler.rate_share import TOKEN_ROUNDING, RateShare


class Unasked(Enum):
    """Why no node was asked for tokens."""

    BACKED_OFF = 'backed off'


# Number of tokens given, None if it is not known, or why no node was asked.
TokenOutcome = float | Unasked | None


@dataclass(frozen=True, slots=True)
class TokenNeed:
    """Operations that need tokens.

    Args:
        organisation: organisation that they belong to.
        priority: their priority, of which 0 is the highest.

    """

    organisation: str
    priority: int


class TokenRound:
    """Collects the responses to requests for tokens.

    Args:
        need: operations that need the tokens.
        wanted: number of tokens needed.
        share: rate share that receives the tokens.
        in_flight: peer addresses of the nodes whose response is awaited, those
            that were asked in earlier rounds included.

    """

    def __init__(
        self,
        need: TokenNeed,
        *,
        wanted: float,
        share: RateShare,
        in_flight: set[str],
    ) -> None:
        """Start without responses."""
        self.need = need
        self.share = share
        self.in_flight = in_flight
        self._wanted = wanted
        self._given: float = 0
        self._awaits_responses = bool(in_flight)
        self._has_response = False
        self._has_backed_off = False
        self._is_settled = False
        self._changed = Event()

    @property
    def missing(self) -> float:
        """Number of tokens that are still needed."""
        return max(0, self._wanted - self._given)

    @property
    def has_all_wanted(self) -> bool:
        """Whether all tokens that are needed have arrived."""
        return self.missing <= TOKEN_ROUNDING

    @property
    def has_whole_token(self) -> bool:
        """Whether enough tokens for one operation have arrived."""
        return self._given >= 1 - TOKEN_ROUNDING

    def raise_wanted(self, wanted: float) -> None:
        """Take into account that more tokens are needed than at the start.

        Args:
            wanted: number of tokens needed, those given included.

        """
        self._wanted = max(self._wanted, wanted)

    def add_request(self, address: str) -> None:
        """Await the response of a node.

        Args:
            address: peer address of the node.

        """
        self._awaits_responses = True
        self.in_flight.add(address)

    def record_backoff(self) -> None:
        """Record that a node is not asked because it did not respond."""
        self._has_backed_off = True

    def record_result(self, granted: float | None) -> None:
        """Record that a request ended.

        Args:
            granted: number of tokens that the node granted, None if it did
                not respond.

        """
        if granted is not None:
            self._has_response = True
            self._given += granted
        self._notify()

    def settle(self) -> None:
        """End the round; later responses do not belong to it."""
        self._is_settled = True
        self._notify()

    async def wait_for_change(self) -> None:
        """Wait for a response or for the end of the round."""
        if not self._is_settled:
            await self._changed.wait()

    async def wait_until(
        self, condition: Callable[[], bool], deadline: float
    ) -> None:
        """Wait until a condition holds.

        Args:
            condition: returns whether it holds.
            deadline: monotonic time at which the wait ends in any case.

        """
        with move_on_at(deadline):
            while not condition():
                await self._changed.wait()

    def outcome(self) -> TokenOutcome:
        """Return what is known about the tokens of the nodes.

        Returns:
            Number of tokens given, at least 1 or final; None if further nodes
            may respond or if none of those that were asked responded; the
            reason if none was asked since all failed to respond lately.

        """
        if self.has_whole_token:
            return self._given
        if not self._is_settled:
            return None
        if self._awaits_responses:
            return self._given if self._has_response else None
        return Unasked.BACKED_OFF if self._has_backed_off else self._given

    def _notify(self) -> None:
        changed = self._changed
        self._changed = Event()
        changed.set()
