"""Requests rate tokens from other nodes, near nodes first.

Requests run in tasks of their own. So an operation proceeds while some nodes
have not responded, and tokens that arrive later serve other operations.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from trio import Nursery, current_time, open_nursery, sleep_forever

from trefoilhitch._generated.peer import MemberBeat, TokenReply, TokenRequest
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import TOKEN_WAIT_S
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.rate_share import (
    GRANT_LIFETIME_S,
    HIGHEST_PRIORITY,
    MIN_GRANT_TOKENS,
    RateShare,
)
from trefoilhitch.pooler.token_round import (
    TokenNeed,
    TokenOutcome,
    TokenRound,
)

# Number of nodes from which the ones to ask are chosen.
SAMPLE_SIZE = 16
# Number of nodes of other data centres to ask.
MAX_FAR_NODES = 2
# Near nodes respond within a few milliseconds. Those that have not responded
# after this time are not waited for before others are asked.
NEAR_WAIT_S = 0.02
# Round trip between regions. More operations arrive while tokens of far nodes
# are on their way, and could not wait for another round.
FAR_DELAY_S = 0.1
# A round ends this long before the operations that began it stop waiting, so
# that they learn whether any node responded.
ROUND_MARGIN_S = 0.01
ROUND_TIMEOUT_S = TOKEN_WAIT_S - ROUND_MARGIN_S


@dataclass(frozen=True, slots=True)
class _Candidates:
    """Nodes that may have tokens.

    Args:
        near: nodes that are asked first.
        far: nodes that are asked if the near ones give too little.

    """

    near: Sequence[MemberBeat]
    far: Sequence[MemberBeat]


class TokenRequester:
    """Requests rate tokens from other nodes.

    Args:
        membership: the known nodes.
        directory: tells which nodes hold the rates.
        client: sends requests to other nodes.
        clock: seconds, on a clock that counts suspended time.
        backoff: tells which nodes may be asked.
        metrics: counts the rounds of requests.

    """

    def __init__(
        self,
        *,
        membership: MembershipView,
        directory: GatewayDirectory,
        client: PeerClient,
        clock: Callable[[], float],
        backoff: PeerBackoff,
        metrics: Metrics,
    ) -> None:
        """Start without requests."""
        self._membership = membership
        self._directory = directory
        self._client = client
        self._clock = clock
        self._backoff = backoff
        self._metrics = metrics
        self._nursery: Nursery | None = None
        self._rounds: dict[TokenNeed, TokenRound] = {}
        self._in_flight: dict[TokenNeed, set[str]] = {}

    @property
    def need_count(self) -> int:
        """Number of needs with a round or an awaited response."""
        return len(self._in_flight)

    async def run(self) -> None:
        """Run the requests, until cancelled."""
        try:
            async with open_nursery() as nursery:
                self._nursery = nursery
                await sleep_forever()
        finally:
            self._nursery = None

    async def request_tokens(
        self,
        organisation: str,
        wanted: float,
        share: RateShare,
        priority: int = HIGHEST_PRIORITY,
    ) -> TokenOutcome:
        """Request tokens from other nodes, and wait for a response.

        A call joins an earlier round for the same need that has not ended.

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
        if self._nursery is None:
            return 0
        need = TokenNeed(organisation, priority)
        current = self._rounds.get(need)
        if current is None:
            current = self._start_round(need, wanted, share, self._nursery)
        await current.wait_for_change()
        return current.outcome()

    def _start_round(
        self,
        need: TokenNeed,
        wanted: float,
        share: RateShare,
        nursery: Nursery,
    ) -> TokenRound:
        started = TokenRound(
            need,
            wanted=wanted,
            share=share,
            in_flight=self._in_flight.setdefault(need, set()),
        )
        self._rounds[need] = started
        self._metrics.count('token_requests', need.organisation)
        nursery.start_soon(self._run_round, started, nursery)
        return started

    async def _run_round(self, current: TokenRound, nursery: Nursery) -> None:
        deadline = current_time() + ROUND_TIMEOUT_S
        try:
            await self._ask_in_turn(current, nursery, deadline)
        finally:
            self._end_round(current)

    def _end_round(self, current: TokenRound) -> None:
        self._rounds.pop(current.need)
        self._drop_unused(current.need)
        current.settle()

    def _drop_unused(self, need: TokenNeed) -> None:
        """Drop the state of a need without a round or an awaited response."""
        if need not in self._rounds and not self._in_flight.get(need):
            self._in_flight.pop(need, None)

    async def _ask_in_turn(
        self, current: TokenRound, nursery: Nursery, deadline: float
    ) -> None:
        """Ask near nodes, and far ones if these give too little."""
        candidates = self._candidates(current.need.organisation)
        near = self._ask_each(candidates.near, current, nursery)
        await current.wait_until(
            lambda: (
                current.has_all_wanted or near.isdisjoint(current.in_flight)
            ),
            current_time() + NEAR_WAIT_S,
        )
        if current.has_whole_token:
            return
        current.raise_wanted(
            current.share.tokens_to_request(
                self._clock(), current.need.priority, delay_s=FAR_DELAY_S
            )
        )
        self._ask_each(candidates.far, current, nursery)
        await current.wait_until(
            lambda: current.has_whole_token or not current.in_flight,
            deadline,
        )
        # Far nodes respond at about the same time.
        await current.wait_until(
            lambda: current.has_all_wanted or not current.in_flight,
            min(deadline, current_time() + NEAR_WAIT_S),
        )

    def _candidates(self, organisation: str) -> _Candidates:
        membership = self._membership
        if not self._directory.is_active:
            others = membership.sample(SAMPLE_SIZE)
            far = [peer for peer in others if not membership.is_near(peer)]
            return _Candidates(
                near=[peer for peer in others if membership.is_near(peer)],
                far=far[:MAX_FAR_NODES],
            )
        # One gateway of each data centre holds tokens, so the region counts.
        region = membership.heartbeat.region
        holders = self._directory.rate_holders(organisation)
        return _Candidates(
            near=[peer for peer in holders if peer.region == region],
            far=[peer for peer in holders if peer.region != region],
        )

    def _ask_each(
        self,
        nodes: Sequence[MemberBeat],
        current: TokenRound,
        nursery: Nursery,
    ) -> frozenset[str]:
        """Divide the missing tokens among those nodes that may be asked.

        The part of each suffices without the nodes that failed to respond
        lately, which are asked as a trial. Larger parts would expire unused
        and exceed what small rates can spare; smaller ones than
        `MIN_GRANT_TOKENS` are not granted.

        Returns:
            Peer addresses of the nodes that are asked.

        """
        chosen = [
            peer
            for peer in nodes
            if peer.address not in current.in_flight
            and self._may_ask(peer, current)
        ]
        expected = sum(
            not self._backoff.has_failed(each.node) for each in chosen
        )
        part = max(MIN_GRANT_TOKENS, current.missing / max(1, expected))
        for holder in chosen:
            current.add_request(holder.address)
            nursery.start_soon(self._request_from, holder, part, current)
        return frozenset(peer.address for peer in chosen)

    def _may_ask(self, peer: MemberBeat, current: TokenRound) -> bool:
        if not self._client.may_reach(peer.address):
            return False
        if self._backoff.may_ask(peer.node):
            return True
        current.record_backoff()
        return False

    async def _request_from(
        self, peer: MemberBeat, wanted: float, asked_in: TokenRound
    ) -> None:
        try:
            granted = await self._receive_grant(peer, wanted, asked_in)
        finally:
            asked_in.in_flight.discard(peer.address)
            self._drop_unused(asked_in.need)
        # The response may arrive during a later round, or between two.
        current = self._rounds.get(asked_in.need, asked_in)
        current.record_result(granted)

    async def _receive_grant(
        self, peer: MemberBeat, wanted: float, asked_in: TokenRound
    ) -> float | None:
        """Return the usable tokens that a node grants.

        None if it does not respond.
        """
        need = asked_in.need
        request = TokenRequest(
            organisation=need.organisation,
            wanted=wanted,
            priority=need.priority,
        )
        sent_at = self._clock()
        reply = await self._client.request(
            peer.address, 'tokens', request, TokenReply
        )
        self._backoff.record(peer.node, answered=reply is not None)
        if reply is None:
            return None
        if self._clock() >= sent_at + GRANT_LIFETIME_S:
            return 0
        # More than requested would exceed the rate of the organisation.
        granted = min(reply.given, wanted)
        if granted > 0:
            asked_in.share.add_grant(granted, sent_at, need.priority)
        return granted
