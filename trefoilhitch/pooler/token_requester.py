"""Asks other nodes for tokens of a rate, the near ones first."""

from collections.abc import Callable, Sequence

from trio import open_nursery

from trefoilhitch._generated.peer import MemberBeat, TokenReply, TokenRequest
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.rate_share import RateShare

# Nodes out of which those are taken that are asked.
SAMPLE_SIZE = 16
# Nodes of other data centres that are asked.
MAX_FAR_NODES = 2


class TokenRequester:
    """Asks other nodes for tokens.

    Args:
        membership: the nodes.
        client: calls other nodes.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        membership: MembershipView,
        client: PeerClient,
        clock: Callable[[], float],
    ) -> None:
        """Keep the collaborators."""
        self._membership = membership
        self._client = client
        self._clock = clock

    async def request_tokens(
        self, organisation: str, wanted: float, share: RateShare
    ) -> float:
        """Ask other nodes for tokens, the near ones first.

        Args:
            organisation: whose rate.
            wanted: how many tokens.
            share: receives them.

        Returns:
            How many were given.

        """
        own_data_centre = self._membership.heartbeat.data_centre
        others = self._membership.sample(SAMPLE_SIZE)
        near = [peer for peer in others if peer.data_centre == own_data_centre]
        far = [peer for peer in others if peer.data_centre != own_data_centre]
        given = await self._request_from_each(near, organisation, wanted, share)
        if given < 1:
            missing = wanted - given
            far_nodes = far[:MAX_FAR_NODES]
            given += await self._request_from_each(
                far_nodes, organisation, missing, share
            )
        return given

    async def _request_from_each(
        self,
        nodes: Sequence[MemberBeat],
        organisation: str,
        wanted: float,
        share: RateShare,
    ) -> float:
        given: list[float] = []
        part = wanted / max(1, len(nodes))
        request = TokenRequest(organisation=organisation, wanted=part)
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
            share.add_grant(reply.given, sent_at)
            given.append(reply.given)
