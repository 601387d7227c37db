"""Exchanges state with each other node in turn, which finds failed nodes."""

from collections.abc import Awaitable, Callable, Sequence
from enum import Enum
from functools import partial
from random import Random

from trio import open_nursery, sleep

from trefoilhitch._generated.peer import (
    MemberBeat,
    MembersReply,
    MembersRequest,
    ProbeReply,
    ProbeRequest,
)
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.peer_rotation import PeerRotation
from trefoilhitch.pooler.reported_call import run_reported

# Exchanges within a data centre are cheap, those between regions are not.
NEAR_INTERVAL_S = 0.25
FAR_INTERVAL_S = 1.2
# Number of nodes that probe a node which did not answer.
INDIRECT_PROBE_NODES = 3
INDIRECT_PROBE_TIMEOUT_S = 0.6
FIRST_MEMBERS_SYNC_S = 0.5
MEMBERS_SYNC_INTERVAL_S = 10.0
# Least time between the exchanges of all nodes together that one node takes
# part in, so that their number does not grow with the number of nodes.
NEAR_INTERVAL_PER_NODE_S = 0.003
FAR_INTERVAL_PER_NODE_S = 0.05


class ProbeOutcome(Enum):
    """What other nodes responded that were asked to probe a node."""

    REACHED = 'reached'
    NOT_REACHED = 'not reached'
    NO_RESPONSE = 'no response'


def probe_outcome(replies: Sequence[ProbeReply]) -> ProbeOutcome:
    """Combine the responses of the nodes that were asked to probe a node.

    Args:
        replies: the responses that were received.

    Returns:
        Whether one of them reached the node, or none responded at all.

    """
    if not replies:
        return ProbeOutcome.NO_RESPONSE
    if any(reply.reached for reply in replies):
        return ProbeOutcome.REACHED
    return ProbeOutcome.NOT_REACHED


def exchange_interval_s(node_count: int, *, near: bool) -> float:
    """Return the time between two exchanges that a node begins.

    Args:
        node_count: number of live nodes.
        near: whether the exchange is with a node of the same data centre.

    Returns:
        Time in seconds.

    """
    if near:
        return max(NEAR_INTERVAL_S, node_count * NEAR_INTERVAL_PER_NODE_S)
    return max(FAR_INTERVAL_S, node_count * FAR_INTERVAL_PER_NODE_S)


class MemberProber:
    """Exchanges state with other nodes, and suspects those that are silent.

    Args:
        membership: the known nodes.
        client: sends requests to other nodes.
        exchange: exchanges state with the node at an address; returns whether
            it answered.
        random: chooses the order of nodes.

    """

    def __init__(
        self,
        *,
        membership: MembershipView,
        client: PeerClient,
        exchange: Callable[[str], Awaitable[bool]],
        random: Random,
    ) -> None:
        """Store the dependencies."""
        self._membership = membership
        self._client = client
        self._exchange = exchange
        self._random = random

    async def run(self) -> None:
        """Exchange state with other nodes until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(partial(self._exchange_periodically, near=True))
            nursery.start_soon(partial(self._exchange_periodically, near=False))
            nursery.start_soon(self._sync_members)

    async def _exchange_periodically(self, *, near: bool) -> None:
        membership = self._membership
        rotation = PeerRotation(membership, self._random, same_data_centre=near)
        async with open_nursery() as nursery:
            while True:
                count = len(membership.live())
                await sleep(exchange_interval_s(count, near=near))
                address = rotation.next_address()
                if address is not None:
                    probe = partial(self._probe, address)
                    nursery.start_soon(run_reported, self._client.log, probe)

    async def _probe(self, address: str) -> None:
        """Exchange state with a node; suspect it if nobody reaches it."""
        if await self._exchange(address):
            return
        outcome = await self._probe_through_others(address)
        if outcome is not ProbeOutcome.REACHED:
            self._membership.record_silence(
                address, confirmed=outcome is ProbeOutcome.NOT_REACHED
            )

    async def _probe_through_others(self, address: str) -> ProbeOutcome:
        replies: list[ProbeReply] = []
        async with open_nursery() as nursery:
            for peer in self._membership.sample(INDIRECT_PROBE_NODES):
                if peer.address != address:
                    nursery.start_soon(
                        self._probe_through, peer.address, address, replies
                    )
        return probe_outcome(replies)

    async def _probe_through(
        self, helper: str, address: str, replies: list[ProbeReply]
    ) -> None:
        beats = self._membership.heartbeats_to_send()
        reply = await self._client.request(
            helper,
            'probe',
            ProbeRequest(address=address, beats=beats),
            ProbeReply,
            timeout_s=INDIRECT_PROBE_TIMEOUT_S,
        )
        if reply is not None:
            self._membership.merge(reply.beats)
            replies.append(reply)

    async def _sync_members(self) -> None:
        """Compare all members with another node from time to time.

        A node that has just started knows the others from the store, which
        does not tell which of them failed.
        """
        await sleep(FIRST_MEMBERS_SYNC_S)
        while True:
            for peer in self._sync_partner():
                compare = partial(self._compare_members, peer.address)
                await run_reported(self._client.log, compare)
            await sleep(MEMBERS_SYNC_INTERVAL_S)

    async def _compare_members(self, address: str) -> None:
        reply = await self._client.request(
            address, 'members', MembersRequest(), MembersReply
        )
        if reply is not None:
            self._membership.merge(reply.beats)

    def _sync_partner(self) -> list[MemberBeat]:
        """Choose a node, in this data centre if there is one."""
        membership = self._membership
        peers = membership.sample(len(membership.peers()))
        near = [peer for peer in peers if membership.is_near(peer)]
        return [*near, *peers][:1]
