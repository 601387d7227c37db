"""Talk to other nodes: heartbeats, proofs, declarations, second opinions."""

from functools import partial

from trio import open_nursery, sleep

from trefoilhitch._generated.peer import (
    CheckReply,
    CheckRequest,
    DeclarationReply,
    DeclarationRequest,
    Exchange,
)
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.monitor_order import proof_fetch_age_s, rank_monitors
from trefoilhitch.pooler.peer_calls import DECLARATION_TIMEOUT_S, PeerCalls
from trefoilhitch.pooler.peer_messages import apply_commit_reports, apply_proofs
from trefoilhitch.pooler.peer_parts import PeerParts, make_exchange

# Talk within a data centre is cheap, talk between regions is not.
NEAR_EVERY_S = 0.25
FAR_EVERY_S = 1.2
# How often a node looks whether a proof is missed.
PROOF_CHECK_S = 0.15
# Nodes that are asked for a second opinion.
ASKED_NODES = 3
# Nodes that are told at once of a change.
TOLD_NODES = 16


class PeerTalk:
    """Asks other nodes.

    Args:
        parts: what it needs.
        calls: calls other nodes.

    """

    def __init__(self, parts: PeerParts, calls: PeerCalls) -> None:
        """Start without news."""
        self._parts = parts
        self._calls = calls
        self._fetching = False
        self._publishing = False

    async def run(self) -> None:
        """Talk to other nodes for ever."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._greet_seeds)
            nursery.start_soon(partial(self._talk_to, near=True))
            nursery.start_soon(partial(self._talk_to, near=False))
            nursery.start_soon(self._fetch_proofs)

    async def exchange(self, address: str, *, news: bool = False) -> None:
        """Tell another node what this one knows, and learn what it knows.

        Args:
            address: its peer address.
            news: whether a lead has just changed.

        """
        asked_at = self._parts.knowledge.clock()
        told = make_exchange(self._parts, proofs=news)
        reply = await self._calls.ask(address, 'exchange', told, Exchange)
        if reply is None:
            return
        self._parts.fleet.merge(reply.beats)
        apply_proofs(self._parts.knowledge, reply.proofs, asked_at)
        apply_commit_reports(self._parts.knowledge, reply.commits)
        if (
            reply.beats
            and reply.beats[0].revision > self._parts.declared.revision
        ):
            await self.fetch_declaration(address)

    async def fetch_declaration(self, address: str) -> None:
        """Take over the declaration of another node if it is newer.

        Args:
            address: its peer address.

        """
        if self._fetching:
            return
        self._fetching = True
        try:
            reply = await self._calls.ask(
                address,
                'declaration',
                DeclarationRequest(above=self._parts.declared.revision),
                DeclarationReply,
                timeout_s=DECLARATION_TIMEOUT_S,
            )
        finally:
            self._fetching = False
        if reply is not None and reply.document:
            self._take_declaration(reply.document)

    async def publish(self) -> None:
        """Tell other nodes at once what this one knows."""
        if self._publishing:
            return
        self._publishing = True
        try:
            async with open_nursery() as nursery:
                for beat in self._parts.fleet.sample(TOLD_NODES):
                    nursery.start_soon(
                        partial(self.exchange, beat.address, news=True)
                    )
        finally:
            self._publishing = False

    async def confirm_silence(self, service: str, endpoint: str) -> bool:
        """Ask other nodes whether an endpoint leads.

        Args:
            service: the service.
            endpoint: id of the endpoint.

        Returns:
            False if one of them reached it as the lead.

        """
        replies: list[CheckReply] = []
        asked = CheckRequest(service=service, endpoint=endpoint)
        async with open_nursery() as nursery:
            for beat in self._parts.fleet.sample(ASKED_NODES):
                nursery.start_soon(self._check, beat.address, asked, replies)
        self._parts.log.event(
            'second_opinion',
            service=service,
            endpoint=endpoint,
            answered=sum(reply.answered for reply in replies),
            asked=len(replies),
        )
        return not any(reply.leads for reply in replies)

    def _take_declaration(self, document: str) -> None:
        try:
            declaration = self._parts.read_declaration(document)
        except TrefoilhitchError as exc:
            self._parts.log.event('declaration_ignored', detail=str(exc))
            return
        self._parts.declared.apply_if_newer(declaration)

    async def _talk_to(self, *, near: bool) -> None:
        pause_s = NEAR_EVERY_S if near else FAR_EVERY_S
        async with open_nursery() as nursery:
            while True:
                await sleep(pause_s)
                self._parts.fleet.next_heartbeat(self._parts.declared.revision)
                address = self._parts.fleet.next_gossip_address(
                    same_data_centre=near
                )
                if address is not None:
                    nursery.start_soon(self.exchange, address)

    async def _fetch_proofs(self) -> None:
        while True:
            await sleep(PROOF_CHECK_S)
            address = self._watcher_of_stalest()
            if address is not None:
                await self.exchange(address)

    def _watcher_of_stalest(self) -> str | None:
        """Return the node that has the proof which is missed most here."""
        knowledge = self._parts.knowledge
        live = self._parts.fleet.live()
        own = self._parts.fleet.heartbeat
        service = knowledge.service_with_oldest_proof(
            proof_fetch_age_s(own, live)
        )
        if service is None:
            return None
        names = rank_monitors(
            service, knowledge.primary_data_centre(service), live
        )
        others = {beat.node: beat.address for beat in self._parts.fleet.peers()}
        return others.get(names[0]) if names else None

    async def _greet_seeds(self) -> None:
        while not self._parts.fleet.peers():
            for address in self._parts.seeds:
                if address != self._parts.fleet.heartbeat.address:
                    await self.exchange(address)
            await sleep(NEAR_EVERY_S)

    async def _check(
        self, address: str, asked: CheckRequest, replies: list[CheckReply]
    ) -> None:
        reply = await self._calls.ask(address, 'check', asked, CheckReply)
        if reply is not None:
            replies.append(reply)
