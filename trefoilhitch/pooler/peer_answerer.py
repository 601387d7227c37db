"""Answers other nodes."""

from http import HTTPStatus
from typing import TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode

from trefoilhitch._generated.peer import (
    CheckReply,
    CheckRequest,
    DeclarationReply,
    DeclarationRequest,
    Exchange,
    TokenReply,
    TokenRequest,
)
from trefoilhitch.errors import BadRequestError, NotFoundError
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.pooler.peer_messages import apply_commit_reports, apply_proofs
from trefoilhitch.pooler.peer_parts import (
    PEER_PREFIX,
    PeerParts,
    make_exchange,
)
from trefoilhitch.pooler.primary_tracker import Primary

MessageT = TypeVar('MessageT')


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
            f'{PEER_PREFIX}/exchange': self._exchange,
            f'{PEER_PREFIX}/declaration': self._declaration,
            f'{PEER_PREFIX}/tokens': self._tokens,
        }
        if req.path == f'{PEER_PREFIX}/check':
            return HttpResponse(HTTPStatus.OK, encode(await self._check(req)))
        answer_call = calls.get(req.path)
        if answer_call is None:
            raise NotFoundError(req.path)
        return HttpResponse(HTTPStatus.OK, encode(answer_call(req)))

    def _exchange(self, req: HttpRequest) -> Exchange:
        told = _read(req, Exchange)
        self._parts.fleet.merge(told.beats)
        apply_proofs(self._parts.knowledge, told.proofs, None)
        apply_commit_reports(self._parts.knowledge, told.commits)
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
        return TokenReply(given=share.grant(asked.wanted, now))

    async def _check(self, req: HttpRequest) -> CheckReply:
        asked = _read(req, CheckRequest)
        asked_at = self._parts.knowledge.clock()
        status = await self._parts.control.status(asked.endpoint)
        if status is None:
            return CheckReply(answered=False, leads=False)
        if status.is_primary:
            lead = Primary(asked.service, asked.endpoint, status.term)
            self._parts.knowledge.record_proof(
                lead, status.position, asked_at, 'check'
            )
        return CheckReply(answered=True, leads=status.is_primary)


def _read(req: HttpRequest, message_type: type[MessageT]) -> MessageT:
    try:
        return decode(req.body, type=message_type)
    except (DecodeError, ValidationError) as exc:
        raise BadRequestError(str(exc)) from exc
