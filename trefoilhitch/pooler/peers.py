"""Talk between nodes: heartbeats, proofs, declarations and tokens."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from trio import current_time, open_nursery, sleep

from trefoilhitch._generated.peer import (
    CheckReply,
    CheckRequest,
    DeclarationReply,
    DeclarationRequest,
    Exchange,
    MemberBeat,
    TokenReply,
    TokenRequest,
)
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import (
    BadRequestError,
    NotFoundError,
    RefusalError,
    TrefoilhitchError,
)
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_client import JsonClient
from trefoilhitch.pooler.control import EndpointControl
from trefoilhitch.pooler.declared import Declaration, DeclaredState
from trefoilhitch.pooler.fleet_view import FleetView
from trefoilhitch.pooler.knowledge import Knowledge
from trefoilhitch.pooler.leadership import Lead
from trefoilhitch.pooler.monitor_order import monitor_order
from trefoilhitch.pooler.peer_messages import (
    commit_reports,
    lead_proofs,
    learn_commits,
    learn_proofs,
)
from trefoilhitch.pooler.rate_book import RateBook
from trefoilhitch.pooler.rates import RateShare

# Talk within a data centre is cheap, talk between regions is not.
NEAR_EVERY_S = 0.25
FAR_EVERY_S = 0.6
PEER_TIMEOUT_S = 0.5
# A proof that is older is fetched from the node that watches the lead.
PROOF_MISSED_AFTER_S = 0.4
DECLARATION_TIMEOUT_S = 1.0
# Nodes that are asked for a second opinion.
ASKED_NODES = 3
# Nodes that are told at once of a change, or asked for tokens.
TOLD_NODES = 16
# Nodes of other data centres that are asked for tokens.
FAR_ASKED_NODES = 2
# Characters of a failure that are logged.
MAX_DETAIL = 200
_PREFIX = '/v1/pooler'

MessageT = TypeVar('MessageT')
ReplyT = TypeVar('ReplyT')


@dataclass(frozen=True, slots=True)
class PeerParts:
    """What talk between nodes needs.

    Args:
        fleet: the nodes.
        knowledge: endpoints and leads.
        declared: the declaration in force.
        rates: this node's shares of rates.
        control: questions to endpoints.
        read_declaration: reads a declaration's text.
        seeds: peer addresses to begin with.
        log: takes note of what changes.

    """

    fleet: FleetView
    knowledge: Knowledge
    declared: DeclaredState
    rates: RateBook
    control: EndpointControl
    read_declaration: Callable[[str], Declaration]
    seeds: Sequence[str]
    log: DecisionLog


class PeerAnswerer:
    """Answers other nodes.

    Args:
        parts: what it needs.

    """

    def __init__(self, parts: PeerParts) -> None:
        """Keep the collaborators."""
        self._parts = parts

    async def answer(self, req: HttpRequest) -> HttpResponse:
        """Answer a message of another node.

        Args:
            req: the message.

        Returns:
            The reply.

        Raises:
            RefusalError: the message cannot be understood.

        """
        calls = {
            f'{_PREFIX}/exchange': self._exchange,
            f'{_PREFIX}/declaration': self._declaration,
            f'{_PREFIX}/tokens': self._tokens,
        }
        if req.path == f'{_PREFIX}/check':
            return HttpResponse(HTTPStatus.OK, encode(await self._check(req)))
        answer_call = calls.get(req.path)
        if answer_call is None:
            raise NotFoundError(req.path)
        return HttpResponse(HTTPStatus.OK, encode(answer_call(req)))

    def _exchange(self, req: HttpRequest) -> Exchange:
        told = _read(req, Exchange)
        self._parts.fleet.observe(told.beats)
        learn_proofs(self._parts.knowledge, told.proofs, None)
        learn_commits(self._parts.knowledge, told.commits)
        return make_exchange(self._parts, proofs=True)

    def _declaration(self, req: HttpRequest) -> DeclarationReply:
        above = _read(req, DeclarationRequest).above
        declared = self._parts.declared
        newer = declared.revision > above
        return DeclarationReply(
            revision=declared.revision,
            document=declared.document if newer else '',
        )

    def _tokens(self, req: HttpRequest) -> TokenReply:
        asked = _read(req, TokenRequest)
        share = self._parts.rates.share(asked.organisation)
        if share is None:
            return TokenReply(given=0)
        now = self._parts.knowledge.clock()
        return TokenReply(given=share.give(asked.wanted, now))

    async def _check(self, req: HttpRequest) -> CheckReply:
        asked = _read(req, CheckRequest)
        asked_at = self._parts.knowledge.clock()
        status = await self._parts.control.status(asked.endpoint)
        if status is None:
            return CheckReply(answered=False, leads=False)
        if status.leads:
            lead = Lead(asked.service, asked.endpoint, status.term)
            self._parts.knowledge.prove(
                lead, status.position, asked_at, 'check'
            )
        return CheckReply(answered=True, leads=status.leads)


def make_exchange(parts: PeerParts, *, proofs: bool) -> Exchange:
    """Return what this node tells another.

    Args:
        parts: what it knows.
        proofs: whether to tell of leads. Only the one who asked can tell how
            old a proof is, so that questions carry none without news.

    Returns:
        The message.

    """
    return Exchange(
        beats=parts.fleet.told(),
        proofs=lead_proofs(parts.knowledge) if proofs else [],
        commits=commit_reports(parts.knowledge),
    )


class PeerTalk:
    """Asks other nodes.

    Args:
        parts: what it needs.

    """

    def __init__(self, parts: PeerParts) -> None:
        """Start without connections."""
        self._parts = parts
        self._clients: dict[str, HttpClient] = {}
        self._fetching = False
        self._publishing = False

    async def run(self) -> None:
        """Talk to other nodes for ever."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._greet_seeds)
            nursery.start_soon(partial(self._talk_to, near=True))
            nursery.start_soon(partial(self._talk_to, near=False))

    async def exchange(self, address: str, *, news: bool = False) -> None:
        """Tell another node what this one knows, and learn what it knows.

        Args:
            address: its peer address.
            news: whether a lead has just changed.

        """
        asked_at = self._parts.knowledge.clock()
        told = make_exchange(self._parts, proofs=news)
        reply = await self._ask(address, 'exchange', told, Exchange)
        if reply is None:
            return
        self._parts.fleet.observe(reply.beats)
        learn_proofs(self._parts.knowledge, reply.proofs, asked_at)
        learn_commits(self._parts.knowledge, reply.commits)
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
            reply = await self._ask(
                address,
                'declaration',
                DeclarationRequest(above=self._parts.declared.revision),
                DeclarationReply,
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
        here = self._parts.fleet.beat.data_centre
        others = self._parts.fleet.sample(TOLD_NODES)
        near = [beat for beat in others if beat.data_centre == here]
        far = [beat for beat in others if beat.data_centre != here]
        given = await self._ask_each(near, organisation, wanted, share)
        if given < 1:
            missing = wanted - given
            asked = far[:FAR_ASKED_NODES]
            given += await self._ask_each(asked, organisation, missing, share)
        return given

    def _take_declaration(self, document: str) -> None:
        try:
            declaration = self._parts.read_declaration(document)
        except TrefoilhitchError as exc:
            self._parts.log.event('declaration_ignored', detail=str(exc))
            return
        self._parts.declared.offer(declaration)

    async def _talk_to(self, *, near: bool) -> None:
        pause_s = NEAR_EVERY_S if near else FAR_EVERY_S
        async with open_nursery() as nursery:
            while True:
                await sleep(pause_s)
                self._parts.fleet.next_beat(self._parts.declared.revision)
                address = self._watcher_of_stalest()
                if near or address is None:
                    address = self._parts.fleet.next_peer(near=near)
                if address is not None:
                    nursery.start_soon(self.exchange, address)

    def _watcher_of_stalest(self) -> str | None:
        """Return the node that has the proof which is missed most here."""
        knowledge = self._parts.knowledge
        service = knowledge.stalest(PROOF_MISSED_AFTER_S)
        if service is None:
            return None
        live = self._parts.fleet.live()
        names = monitor_order(
            service, knowledge.lead_data_centre(service), live
        )
        others = {beat.node: beat.address for beat in self._parts.fleet.peers()}
        return others.get(names[0]) if names else None

    async def _greet_seeds(self) -> None:
        while not self._parts.fleet.peers():
            for address in self._parts.seeds:
                if address != self._parts.fleet.beat.address:
                    await self.exchange(address)
            await sleep(NEAR_EVERY_S)

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
        asked_at = self._parts.knowledge.clock()
        reply = await self._ask(address, 'tokens', asked, TokenReply)
        if reply is not None and reply.given > 0:
            share.receive(reply.given, asked_at)
            given.append(reply.given)

    async def _check(
        self, address: str, asked: CheckRequest, replies: list[CheckReply]
    ) -> None:
        reply = await self._ask(address, 'check', asked, CheckReply)
        if reply is not None:
            replies.append(reply)

    async def _ask(
        self,
        address: str,
        name: str,
        message: Struct,
        reply_type: type[ReplyT],
    ) -> ReplyT | None:
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, max_idle=2)
            self._clients[address] = client
        calls = JsonClient(exchanger=client, error_reader=_peer_failure)
        try:
            return await calls.post(
                f'{_PREFIX}/{name}',
                message,
                reply_type,
                current_time() + PEER_TIMEOUT_S,
            )
        except RefusalError as exc:
            self._parts.log.event(
                'peer_failed', peer=address, call=name, detail=str(exc)
            )
            return None


def _read(req: HttpRequest, message_type: type[MessageT]) -> MessageT:
    try:
        return decode(req.body, type=message_type)
    except (DecodeError, ValidationError) as exc:
        raise BadRequestError(str(exc)) from exc


def _peer_failure(body: bytes) -> Exception:
    return RefusalError(body.decode(errors='replace')[:MAX_DETAIL])
