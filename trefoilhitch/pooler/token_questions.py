"""Asks other nodes for tokens of a rate, the near ones first."""

from collections.abc import Callable, Sequence

from trio import open_nursery

from trefoilhitch._generated.peer import MemberBeat, TokenReply, TokenRequest
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_calls import PeerCalls
from trefoilhitch.pooler.rate_share import RateShare

# Nodes out of which those are taken that are asked.
SAMPLED_NODES = 16
# Nodes of other data centres that are asked.
FAR_ASKED_NODES = 2


class TokenQuestions:
    """Asks other nodes for tokens.

    Args:
        fleet: the nodes.
        calls: calls other nodes.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        fleet: MembershipView,
        calls: PeerCalls,
        clock: Callable[[], float],
    ) -> None:
        """Keep the collaborators."""
        self._fleet = fleet
        self._calls = calls
        self._clock = clock

    async def ask_tokens(
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
        here = self._fleet.heartbeat.data_centre
        others = self._fleet.sample(SAMPLED_NODES)
        near = [beat for beat in others if beat.data_centre == here]
        far = [beat for beat in others if beat.data_centre != here]
        given = await self._ask_each(near, organisation, wanted, share)
        if given < 1:
            missing = wanted - given
            asked = far[:FAR_ASKED_NODES]
            given += await self._ask_each(asked, organisation, missing, share)
        return given

    async def _ask_each(
        self,
        nodes: Sequence[MemberBeat],
        organisation: str,
        wanted: float,
        share: RateShare,
    ) -> float:
        given: list[float] = []
        part = wanted / max(1, len(nodes))
        asked = TokenRequest(organisation=organisation, wanted=part)
        async with open_nursery() as nursery:
            for beat in nodes:
                nursery.start_soon(
                    self._ask_one, beat.address, asked, share, given
                )
        return sum(given)

    async def _ask_one(
        self,
        address: str,
        asked: TokenRequest,
        share: RateShare,
        given: list[float],
    ) -> None:
        asked_at = self._clock()
        reply = await self._calls.ask(address, 'tokens', asked, TokenReply)
        if reply is not None and reply.given > 0:
            share.add_grant(reply.given, asked_at)
            given.append(reply.given)
