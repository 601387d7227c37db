"""The baseline: an honest plain pooler, without what nodes agree on.

Each node opens its own connections, sends reads and writes to the published
primary, acknowledges what the primary committed, and divides rates evenly.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode
from trio import current_time, sleep

from trefoilhitch._generated.endpoint import (
    BeginRequest,
    CommitRequest,
    RunReply,
    RunRequest,
)
from trefoilhitch._generated.messages import (
    StatementReply,
    StatementRequest,
    TransactionReply,
    TransactionRequest,
)
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.endpoint_client import EndpointConnection, EndpointConnector
from trefoilhitch.errors import (
    BadRequestError,
    NoPrimaryError,
    NotFoundError,
    OverloadedError,
    RefusalError,
    SlotsExhaustedError,
    TransactionLostError,
)
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.keyring import KeyRing
from trefoilhitch_lab.deployment import Tenant

SLOT_RETRY_S = 0.02
STEP_TIMEOUT_MS = 5000
_NAME_BITS = 64
BodyT = TypeVar('BodyT', bound=Struct)
_EMPTY = b'{}'


class PublishedPrimary(Struct, frozen=True):
    """A primary as the platform published it.

    Args:
        endpoint: the declared endpoint.
        term: its term.

    """

    endpoint: Endpoint
    term: int


@dataclass(frozen=True, slots=True)
class _Open:
    conn: EndpointConnection
    commit: CommitRequest


class EvenShare:
    """A token bucket with one node's even share of a tenant's rate.

    Args:
        tenant: with its fleet-wide rate and burst.
        nodes: how many nodes share it.

    """

    def __init__(self, tenant: Tenant, nodes: int) -> None:
        """Start full."""
        self._rate = tenant.rate / nodes
        self._burst = tenant.burst / nodes
        self._level = self._burst
        self._at = current_time()

    def take(self) -> bool:
        """Take one statement.

        Returns:
            True if the share allowed it.

        """
        now = current_time()
        grown = self._level + (now - self._at) * self._rate
        self._level = min(self._burst, grown)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class PlainPooler:
    """One node of the baseline.

    Args:
        platform: opens connections.
        primary: returns the published primary of a service.
        keyring: keys in force.
        shares: this node's share of each tenant's rate.
        random: names transactions and spreads retries.

    """

    def __init__(
        self,
        *,
        platform: EndpointConnector,
        primary: Callable[[str], PublishedPrimary | None],
        keyring: KeyRing,
        shares: Mapping[str, EvenShare],
        random: Random,
    ) -> None:
        """Start without connections."""
        self._platform = platform
        self._primary = primary
        self._keyring = keyring
        self._shares = shares
        self._random = random
        self._open: dict[str, _Open] = {}

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Answer a caller."""
        return HttpResponse(body=encode(await self._reply(req)))

    async def _reply(self, req: HttpRequest) -> Struct:
        presented = req.headers.get('authorization', '').partition(' ')[2]
        organisation = self._keyring.authenticate(presented).organisation
        match (req.method, *req.path.strip('/').split('/')):
            case ('POST', 'v1', 'services', service, 'statements'):
                body = _read(req, StatementRequest)
                return await self._statement(organisation, service, body)
            case ('POST', 'v1', 'services', service, 'transactions'):
                opening = _read(req, TransactionRequest)
                return await self._begin(organisation, service, opening)
            case ('POST', 'v1', 'services', _, 'transactions', name, verb):
                return await self._continue(name, verb, req)
        raise NotFoundError(req.path)

    async def _statement(
        self,
        organisation: str,
        service: str,
        body: StatementRequest,
    ) -> StatementReply:
        if not self._shares[organisation].take():
            raise OverloadedError('the even share of the rate is used up')
        deadline = deadline_after_ms(body.timeout_ms)
        primary = self._require_primary(service)
        conn = await self._connect(primary.endpoint, deadline)
        run = RunRequest(
            sql=body.sql,
            term=primary.term,
            args=body.args,
            access=body.access,
            request=body.idempotency_key,
            organisation=organisation,
        )
        try:
            reply = await conn.run(run, deadline)
        finally:
            conn.close()
        return _reply(reply, primary.endpoint.name)

    async def _begin(
        self,
        organisation: str,
        service: str,
        body: TransactionRequest,
    ) -> TransactionReply:
        if not self._shares[organisation].take():
            raise OverloadedError('the even share of the rate is used up')
        deadline = deadline_after_ms(body.timeout_ms)
        primary = self._require_primary(service)
        conn = await self._connect(primary.endpoint, deadline)
        try:
            await conn.begin(BeginRequest(term=primary.term), deadline)
        except RefusalError:
            conn.close()
            raise
        name = f'{self._random.getrandbits(_NAME_BITS):x}'
        key = body.idempotency_key
        commit = CommitRequest(
            term=primary.term,
            request=key,
            organisation=organisation,
        )
        self._open[name] = _Open(conn, commit)
        return TransactionReply(transaction=name, request=key)

    async def _continue(
        self,
        name: str,
        verb: str,
        req: HttpRequest,
    ) -> StatementReply:
        if name not in self._open:
            raise TransactionLostError('open on another node')
        opened = self._open[name]
        deadline = deadline_after_ms(STEP_TIMEOUT_MS)
        if verb == 'statements':
            body = _read(req, StatementRequest)
            run = RunRequest(
                sql=body.sql,
                term=opened.commit.term,
                args=body.args,
                access=body.access,
                in_transaction=True,
            )
            try:
                return _reply(await opened.conn.run(run, deadline), '')
            except RefusalError:
                self._open.pop(name).conn.close()
                raise
        self._open.pop(name)
        try:
            return _reply(await opened.conn.commit(opened.commit, deadline), '')
        finally:
            opened.conn.close()

    async def _connect(
        self,
        endpoint: Endpoint,
        deadline: float,
    ) -> EndpointConnection:
        """Wait for a slot; five of them cannot be kept by eight nodes."""
        conn = None
        while conn is None:
            try:
                conn = await self._platform.connect(endpoint, deadline)
            except SlotsExhaustedError:
                if current_time() + SLOT_RETRY_S > deadline:
                    raise
                await sleep(SLOT_RETRY_S * (1 + self._random.random()))
        return conn

    def _require_primary(self, service: str) -> PublishedPrimary:
        primary = self._primary(service)
        if primary is None:
            raise NoPrimaryError(service)
        return primary


def _read(req: HttpRequest, kind: type[BodyT]) -> BodyT:
    try:
        return decode(req.body or _EMPTY, type=kind)
    except (DecodeError, ValidationError) as exc:
        raise BadRequestError(str(exc)) from exc


def _reply(reply: RunReply, endpoint: str) -> StatementReply:
    return StatementReply(
        columns=reply.columns,
        rows=reply.rows,
        changed=reply.changed,
        request='',
        session='',
        endpoint=endpoint,
        role=reply.role,
    )
