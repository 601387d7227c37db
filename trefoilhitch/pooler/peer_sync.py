"""Exchanges heartbeats, proofs of primaries and declarations with peers."""

from collections.abc import Awaitable, Callable
from functools import partial

from trio import Nursery, current_time, open_nursery, sleep

from trefoilhitch._generated.peer import (
    CheckReply,
    CheckRequest,
    EntriesReply,
    EntriesRequest,
    Exchange,
    MemberBeat,
)
from trefoilhitch.pooler.declaration_sync import DeclarationSync
from trefoilhitch.pooler.gateway_placement import rank_by_name
from trefoilhitch.pooler.member_prober import NEAR_INTERVAL_S, MemberProber
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.peer_dependencies import (
    PeerDependencies,
    make_exchange,
)
from trefoilhitch.pooler.peer_messages import (
    apply_acknowledged_reports,
    apply_commit_reports,
    apply_load_reports,
    apply_proofs,
)
from trefoilhitch.pooler.reported_call import run_reported

# Number of nodes that probe a silent primary before it is replaced.
SILENCE_CHECK_NODES = 3
# Number of nodes among which these are chosen.
MAX_CHECKERS = 8
# Number of nodes to which a change is sent at once.
PUBLISH_NODES = 16
# Number of nodes in each data centre of the region that are told of a change of
# the store, and of those that each node tells in turn.
SPREAD_NODES = 4
RELAY_NODES = 2


class PeerSync:
    """Exchanges state with other nodes.

    Args:
        deps: dependencies of the communication with peers.
        client: sends requests to other nodes.
        apply_entries: applies entries of endpoints that another node sent.
        declarations: fetches newer declarations.

    """

    def __init__(
        self,
        deps: PeerDependencies,
        client: PeerClient,
        apply_entries: Callable[[EntriesReply], None],
        declarations: DeclarationSync,
    ) -> None:
        """Start without running requests."""
        self._deps = deps
        self._declarations = declarations
        self._client = client
        self._apply_entries = apply_entries
        self._fetching_entries = False
        self._publishing = False
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Exchange state with other nodes until cancelled."""
        prober = MemberProber(
            membership=self._deps.membership,
            client=self._client,
            exchange=self.exchange,
            random=self._deps.random,
        )
        try:
            async with open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._contact_seeds)
                nursery.start_soon(prober.run)
        finally:
            # A closed nursery accepts no task while this one is run again.
            self._nursery = None

    async def exchange(
        self, address: str, *, primary_changed: bool = False
    ) -> bool:
        """Exchange state with another node.

        Args:
            address: peer address of the node.
            primary_changed: whether a primary has just changed.

        Returns:
            Whether the node answered.

        """
        sent_at = self._deps.cluster.clock()
        loads_sent_at = current_time()
        request = make_exchange(
            self._deps, include_proofs=primary_changed, address=address
        )
        reply = await self._client.request(
            address, 'exchange', request, Exchange
        )
        if reply is None:
            return False
        self._deps.membership.record_answer()
        self._deps.membership.merge(reply.beats)
        apply_proofs(self._deps.cluster, reply.proofs, sent_at)
        apply_commit_reports(self._deps.cluster, reply.commits)
        apply_acknowledged_reports(self._deps.cluster, reply.acknowledged)
        if self._deps.takes_loads(address):
            apply_load_reports(
                self._deps.cluster, reply.loads, loads_sent_at, sent_at
            )
        self.follow(reply)
        if self._deps.evacuations:
            self._deps.evacuations.confirm(sent_at)
        return True

    def follow(self, exchange: Exchange) -> None:
        """Fetch what another node has newer, without waiting for it.

        Args:
            exchange: message of the other node.

        """
        self._deps.store_era.hint(exchange.store_era)
        evacuations = self._deps.evacuations
        if evacuations and evacuations.merge(exchange.evacuations):
            self.start_spreading(from_store=False)
        if not exchange.beats:
            return
        sender = exchange.beats[0]
        if sender.revision > self._deps.declaration.revision:
            self._start(
                partial(
                    self._declarations.follow,
                    sender.revision,
                    sender.address,
                    near=self._deps.membership.is_near(sender),
                )
            )
        is_behind = self._deps.entries.is_behind(
            exchange.entries_era, exchange.entries_revision
        )
        if is_behind and not self._fetching_entries:
            self._start(partial(self._fetch_entries, sender.address))

    def start_publishing(self) -> None:
        """Exchange state with several other nodes without waiting for it."""
        self._start(self.publish)

    def start_spreading(self, *, from_store: bool) -> None:
        """Tell some nodes at once that this one has something newer.

        Args:
            from_store: whether it was read from the store, else it came from
                another node and only needs to reach this data centre.

        """
        membership = self._deps.membership
        peers = membership.sample(len(membership.peers()))
        near = [peer for peer in peers if membership.is_near(peer)]
        targets = near[: SPREAD_NODES if from_store else RELAY_NODES]
        if from_store:
            far = [peer for peer in peers if not membership.is_near(peer)]
            region = membership.heartbeat.region
            regional = [peer for peer in far if peer.region == region]
            targets += regional[:SPREAD_NODES] or far[:RELAY_NODES]
        for peer in targets:
            self._start(partial(self.exchange, peer.address))

    async def publish(self) -> None:
        """Exchange state with several other nodes at once."""
        if self._publishing:
            return
        self._publishing = True
        try:
            async with open_nursery() as nursery:
                for peer in self._deps.membership.sample(PUBLISH_NODES):
                    exchange = partial(
                        self.exchange, peer.address, primary_changed=True
                    )
                    nursery.start_soon(run_reported, self._deps.log, exchange)
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
            for peer in self._checkers(service):
                nursery.start_soon(self._check, peer.address, request, replies)
        self._deps.log.event(
            'second_opinion',
            service=service,
            endpoint=endpoint,
            answered=sum(reply.answered for reply in replies),
            asked=len(replies),
        )
        return not any(reply.leads for reply in replies)

    def _start(self, call: Callable[[], Awaitable[object]]) -> None:
        """Run a call without waiting for it."""
        if self._nursery is not None:
            self._nursery.start_soon(run_reported, self._deps.log, call)

    async def _fetch_entries(self, address: str) -> None:
        self._fetching_entries = True
        try:
            reply = await self._client.request(
                address,
                'entries',
                EntriesRequest(
                    above=self._deps.entries.revision,
                    era=self._deps.entries.era,
                ),
                EntriesReply,
            )
        finally:
            self._fetching_entries = False
        if reply is not None:
            self._apply_entries(reply)

    def _checkers(self, service: str) -> list[MemberBeat]:
        """Choose among few nodes, since each opens a control connection."""
        membership = self._deps.membership
        candidates = rank_by_name(f'check/{service}', membership.peers())
        few = {peer.node for peer in candidates[:MAX_CHECKERS]}
        shuffled = membership.sample(len(candidates))
        chosen = [peer for peer in shuffled if peer.node in few]
        return chosen[:SILENCE_CHECK_NODES]

    async def _contact_seeds(self) -> None:
        while not self._deps.membership.peers():
            for address in self._deps.seeds:
                if address != self._deps.membership.heartbeat.address:
                    exchange = partial(self.exchange, address)
                    await run_reported(self._deps.log, exchange)
            await sleep(NEAR_INTERVAL_S)

    async def _check(
        self, address: str, request: CheckRequest, replies: list[CheckReply]
    ) -> None:
        reply = await self._client.request(
            address, 'check', request, CheckReply
        )
        if reply is not None:
            replies.append(reply)
