"""Answers other nodes' requests for the state of this node."""

from trio import current_time

from trefoilhitch._generated.peer import (
    DeclarationReply,
    DeclarationRequest,
    EntriesReply,
    EntriesRequest,
    Exchange,
    ExplainReply,
    ExplainRequest,
    LeaseViewReply,
    LeaseViewRequest,
    MembersReply,
    MembersRequest,
    ProbeReply,
    ProbeRequest,
    ProofReply,
    ProofRequest,
    TokenReply,
    TokenRequest,
)
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.pooler.lease_view_reader import reply_with_view
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
from trefoilhitch.pooler.peer_services import (
    PeerCallHandler,
    PeerServices,
    read_message,
)


class PeerStateHandler:
    """Answers requests for the state of this node.

    Args:
        deps: dependencies of the communication with peers.
        services: what this node does for others.

    """

    def __init__(self, deps: PeerDependencies, services: PeerServices) -> None:
        """Store the dependencies."""
        self._deps = deps
        self._services = services

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Return the handlers by the names of the calls."""
        return {
            'exchange': self._exchange,
            'declaration': self._declaration,
            'entries': self._entries,
            'members': self._members,
            'probe': self._probe,
            'tokens': self._tokens,
            'leases': self._lease_view,
            'proof': self._proof,
            'explain': self._explain,
        }

    async def _exchange(self, req: HttpRequest) -> Exchange:
        exchange = read_message(req, Exchange)
        membership = self._deps.membership
        membership.merge(exchange.beats)
        apply_proofs(self._deps.cluster, exchange.proofs, None)
        apply_commit_reports(self._deps.cluster, exchange.commits)
        apply_acknowledged_reports(self._deps.cluster, exchange.acknowledged)
        if not exchange.beats:
            return make_exchange(self._deps, include_proofs=False, address='')
        sender = exchange.beats[0]
        # Between data centres, proofs are sent when a read needs one.
        is_near = membership.is_near(sender)
        if self._deps.takes_loads(sender.address):
            cluster = self._deps.cluster
            apply_load_reports(
                cluster, exchange.loads, current_time(), cluster.clock()
            )
        self._services.sync.follow(exchange)
        return make_exchange(
            self._deps, include_proofs=is_near, address=sender.address
        )

    async def _declaration(self, req: HttpRequest) -> DeclarationReply:
        request = read_message(req, DeclarationRequest)
        return self._services.declarations.reply(request)

    async def _entries(self, req: HttpRequest) -> EntriesReply:
        request = read_message(req, EntriesRequest)
        return self._deps.entries.changes_since(request.above, request.era)

    async def _members(self, req: HttpRequest) -> MembersReply:
        read_message(req, MembersRequest)
        return MembersReply(beats=self._deps.membership.all_beats())

    async def _probe(self, req: HttpRequest) -> ProbeReply:
        request = read_message(req, ProbeRequest)
        membership = self._deps.membership
        membership.merge(request.beats)
        reached = await self._services.sync.exchange(request.address)
        # A node of an earlier release sends no states.
        near = any(map(membership.is_near, request.beats[:1]))
        return ProbeReply(
            reached=reached, beats=membership.heartbeats_to_send(near=near)
        )

    async def _tokens(self, req: HttpRequest) -> TokenReply:
        request = read_message(req, TokenRequest)
        share = self._deps.rates.share(request.organisation)
        if share is None:
            return TokenReply(given=0)
        now = self._deps.cluster.clock()
        if self._deps.rates_by_priority:
            share.reserve.expect_requests(request.priority, now)
            given = share.grant(request.wanted, now, request.priority)
        else:
            given = share.grant(request.wanted, now)
        return TokenReply(given=given)

    async def _lease_view(self, req: HttpRequest) -> LeaseViewReply:
        read_message(req, LeaseViewRequest)
        return await reply_with_view(
            self._services.leases, self._deps.cluster.clock
        )

    async def _proof(self, req: HttpRequest) -> ProofReply:
        return await self._services.proofs.reply(
            read_message(req, ProofRequest)
        )

    async def _explain(self, req: HttpRequest) -> ExplainReply:
        return self._services.explainer.explain(
            read_message(req, ExplainRequest)
        )
