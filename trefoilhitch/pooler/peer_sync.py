"""Exchanges heartbeats, proofs of primaries and declarations with peers."""

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
from trefoilhitch.pooler.peer_client import DECLARATION_TIMEOUT_S, PeerClient
from trefoilhitch.pooler.peer_dependencies import (
    PeerDependencies,
    make_exchange,
)
from trefoilhitch.pooler.peer_messages import apply_commit_reports, apply_proofs

# Exchanges within a data centre are cheap, those between regions are not.
NEAR_INTERVAL_S = 0.25
FAR_INTERVAL_S = 1.2
# How often a node checks whether a proof is overdue.
PROOF_CHECK_INTERVAL_S = 0.15
# Number of nodes that probe a silent primary before it is replaced.
SILENCE_CHECK_NODES = 3
# Number of nodes to which a change is sent at once.
PUBLISH_NODES = 16


class PeerSync:
    """Exchanges state with other nodes.

    Args:
        deps: dependencies of the communication with peers.
        client: sends requests to other nodes.

    """

    def __init__(self, deps: PeerDependencies, client: PeerClient) -> None:
        """Start without running requests."""
        self._deps = deps
        self._client = client
        self._fetching = False
        self._publishing = False

    async def run(self) -> None:
        """Exchange state with other nodes until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._contact_seeds)
            nursery.start_soon(partial(self._exchange_periodically, near=True))
            nursery.start_soon(partial(self._exchange_periodically, near=False))
            nursery.start_soon(self._fetch_proofs)

    async def exchange(
        self, address: str, *, primary_changed: bool = False
    ) -> None:
        """Exchange state with another node.

        Args:
            address: peer address of the node.
            primary_changed: whether a primary has just changed.

        """
        sent_at = self._deps.cluster.clock()
        request = make_exchange(self._deps, include_proofs=primary_changed)
        reply = await self._client.request(
            address, 'exchange', request, Exchange
        )
        if reply is None:
            return
        self._deps.membership.merge(reply.beats)
        apply_proofs(self._deps.cluster, reply.proofs, sent_at)
        apply_commit_reports(self._deps.cluster, reply.commits)
        if (
            reply.beats
            and reply.beats[0].revision > self._deps.declaration.revision
        ):
            await self.fetch_declaration(address)

    async def fetch_declaration(self, address: str) -> None:
        """Fetch the declaration of another node and apply it if it is newer.

        Args:
            address: peer address of the node.

        """
        if self._fetching:
            return
        self._fetching = True
        try:
            reply = await self._client.request(
                address,
                'declaration',
                DeclarationRequest(above=self._deps.declaration.revision),
                DeclarationReply,
                timeout_s=DECLARATION_TIMEOUT_S,
            )
        finally:
            self._fetching = False
        if reply is not None and reply.document:
            self._apply_declaration(reply.document)

    async def publish(self) -> None:
        """Exchange state with several other nodes at once."""
        if self._publishing:
            return
        self._publishing = True
        try:
            async with open_nursery() as nursery:
                for peer in self._deps.membership.sample(PUBLISH_NODES):
                    nursery.start_soon(
                        partial(
                            self.exchange, peer.address, primary_changed=True
                        )
                    )
        finally:
            self._publishing = False

    async def confirm_silence(self, service: str, endpoint: str) -> bool:
        """Ask other nodes whether an endpoint is the primary.

        Args:
            service: name of the service.
            endpoint: id of the endpoint.

        Returns:
            False if one of them reached it as the primary.

        """
        replies: list[CheckReply] = []
        request = CheckRequest(service=service, endpoint=endpoint)
        async with open_nursery() as nursery:
            for peer in self._deps.membership.sample(SILENCE_CHECK_NODES):
                nursery.start_soon(self._check, peer.address, request, replies)
        self._deps.log.event(
            'second_opinion',
            service=service,
            endpoint=endpoint,
            answered=sum(reply.answered for reply in replies),
            asked=len(replies),
        )
        return not any(reply.leads for reply in replies)

    def _apply_declaration(self, document: str) -> None:
        try:
            declaration = self._deps.read_declaration(document)
        except TrefoilhitchError as exc:
            self._deps.log.event('declaration_ignored', detail=str(exc))
            return
        self._deps.declaration.apply_if_newer(declaration)

    async def _exchange_periodically(self, *, near: bool) -> None:
        pause_s = NEAR_INTERVAL_S if near else FAR_INTERVAL_S
        async with open_nursery() as nursery:
            while True:
                await sleep(pause_s)
                self._deps.membership.next_heartbeat(
                    self._deps.declaration.revision
                )
                address = self._deps.membership.next_gossip_address(
                    same_data_centre=near
                )
                if address is not None:
                    nursery.start_soon(self.exchange, address)

    async def _fetch_proofs(self) -> None:
        while True:
            await sleep(PROOF_CHECK_INTERVAL_S)
            address = self._monitor_with_oldest_proof()
            if address is not None:
                await self.exchange(address)

    def _monitor_with_oldest_proof(self) -> str | None:
        """Return the address of the monitor of the most overdue proof."""
        cluster = self._deps.cluster
        live = self._deps.membership.live()
        own = self._deps.membership.heartbeat
        service = cluster.service_with_oldest_proof(
            proof_fetch_age_s(own, live)
        )
        if service is None:
            return None
        names = rank_monitors(
            service, cluster.primary_data_centre(service), live
        )
        others = {
            peer.node: peer.address for peer in self._deps.membership.peers()
        }
        return others.get(names[0]) if names else None

    async def _contact_seeds(self) -> None:
        while not self._deps.membership.peers():
            for address in self._deps.seeds:
                if address != self._deps.membership.heartbeat.address:
                    await self.exchange(address)
            await sleep(NEAR_INTERVAL_S)

    async def _check(
        self, address: str, request: CheckRequest, replies: list[CheckReply]
    ) -> None:
        reply = await self._client.request(
            address, 'check', request, CheckReply
        )
        if reply is not None:
            replies.append(reply)
