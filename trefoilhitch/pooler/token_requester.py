"""Requests rate tokens from other nodes, near nodes first."""

from collections.abc import Callable, Sequence

from msgspec.structs import replace as replace_message
from trio import open_nursery

from trefoilhitch._generated.peer import MemberBeat, TokenReply, TokenRequest
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.rate_share import HIGHEST_PRIORITY, RateShare

# Number of nodes from which the ones to ask are chosen.
SAMPLE_SIZE = 16
# Number of nodes of other data centres to ask.
MAX_FAR_NODES = 2


class TokenRequester:
    """Requests rate tokens from other nodes.

    Args:
        membership: the known nodes.
        directory: tells which nodes hold the rates.
        client: sends requests to other nodes.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        membership: MembershipView,
        directory: GatewayDirectory,
        client: PeerClient,
        clock: Callable[[], float],
    ) -> None:
        """Store the dependencies."""
        self._membership = membership
        self._directory = directory
        self._client = client
        self._clock = clock

    async def request_tokens(
        self,
        organisation: str,
        wanted: float,
        share: RateShare,
        priority: int = HIGHEST_PRIORITY,
    ) -> float:
        """Request tokens from other nodes, near nodes first.

        Args:
            organisation: organisation whose rate the tokens belong to.
            wanted: number of tokens needed.
            share: rate share that receives the tokens.
            priority: priority of the operation that needs them.

        Returns:
            Number of tokens given.

        """
        near, far = self._nodes_to_ask(organisation)
        request = TokenRequest(
            organisation=organisation, wanted=wanted, priority=priority
        )
        given = await self._request_from_each(near, request, share)
        if given < 1:
            remaining = replace_message(request, wanted=wanted - given)
            given += await self._request_from_each(far, remaining, share)
        return given

    def _nodes_to_ask(
        self, organisation: str
    ) -> tuple[list[MemberBeat], list[MemberBeat]]:
        """Return near nodes, and far ones to ask if these give too little."""
        membership = self._membership
        if not self._directory.is_active:
            others = membership.sample(SAMPLE_SIZE)
            near = [peer for peer in others if membership.is_near(peer)]
            far = [peer for peer in others if not membership.is_near(peer)]
            return near, far[:MAX_FAR_NODES]
        # One gateway of each data centre holds tokens, so the region counts.
        region = membership.heartbeat.region
        holders = [
            holder
            for holder in self._directory.rate_holders(organisation)
            if self._client.may_reach(holder.address)
        ]
        near = [peer for peer in holders if peer.region == region]
        far = [peer for peer in holders if peer.region != region]
        return near, far

    async def _request_from_each(
        self,
        nodes: Sequence[MemberBeat],
        total: TokenRequest,
        share: RateShare,
    ) -> float:
        given: list[float] = []
        part = total.wanted / max(1, len(nodes))
        request = replace_message(total, wanted=part)
        async with open_nursery() as nursery:
            for peer in nodes:
                nursery.start_soon(
                    self._request_from, peer.address, request, share, given
                )
        return sum(given)

    async def _request_from(
        self,
        address: str,
        request: TokenRequest,
        share: RateShare,
        given: list[float],
    ) -> None:
        sent_at = self._clock()
        reply = await self._client.request(
            address, 'tokens', request, TokenReply
        )
        if reply is not None and reply.given > 0:
            # More than requested would exceed the rate of the organisation.
            granted = min(reply.given, request.wanted)
            share.add_grant(granted, sent_at)
            given.append(granted)
