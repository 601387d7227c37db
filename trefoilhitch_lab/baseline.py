"""The baseline: a fair, simple pooler whose nodes do not coordinate.

Each node opens its own connections, sends reads and writes to the published
primary, acknowledges what the primary committed, and enforces an even share
of each rate.
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

SLOT_RETRY_INTERVAL_S = 0.02
TRANSACTION_STEP_TIMEOUT_MS = 5000
_TRANSACTION_ID_BITS = 64
BodyT = TypeVar('BodyT', bound=Struct)
_EMPTY_BODY = b'{}'


class PublishedPrimary(Struct, frozen=True):
    """A primary that the platform has published.

    Args:
        endpoint: declared endpoint.
        term: term in which it is the primary.

    """

    endpoint: Endpoint
    term: int


@dataclass(frozen=True, slots=True)
class _OpenTransaction:
    conn: EndpointConnection
    commit: CommitRequest


class EvenRateShare:
    """A token bucket with one node's even share of a tenant's rate.

    Args:
        tenant: organisation with its rate limit across all nodes.
        node_count: number of nodes that share the rate.

    """

    def __init__(self, tenant: Tenant, node_count: int) -> None:
        """Start with a full bucket."""
        self._rate = tenant.rate / node_count
        self._burst = tenant.burst / node_count
        self._tokens = self._burst
        self._refilled_at = current_time()

    def take_token(self) -> bool:
        """Take a token for one statement.

        Returns:
            True if a token was available.

        """
        now = current_time()
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BaselinePooler:
    """A node of the baseline.

    Args:
        connector: opens endpoint connections.
        published_primary: returns the published primary of a service.
        keyring: valid API keys.
        rate_shares: share of this node in the rate of each tenant.
        random: draws transaction ids and the jitter of retries.

    """

    def __init__(
        self,
        *,
        connector: EndpointConnector,
        published_primary: Callable[[str], PublishedPrimary | None],
        keyring: KeyRing,
        rate_shares: Mapping[str, EvenRateShare],
        random: Random,
    ) -> None:
        """Start without connections."""
        self._connector = connector
        self._published_primary = published_primary
        self._keyring = keyring
        self._rate_shares = rate_shares
        self._random = random
        self._open_transactions: dict[str, _OpenTransaction] = {}

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a client request."""
        return HttpResponse(body=encode(await self._dispatch(req)))

    async def _dispatch(self, req: HttpRequest) -> Struct:
        api_key = req.headers.get('authorization', '').partition(' ')[2]
        organisation = self._keyring.authenticate(api_key).organisation
        match (req.method, *req.path.strip('/').split('/')):
            case ('POST', 'v1', 'services', service, 'statements'):
                body = _decode_body(req, StatementRequest)
                return await self._run_statement(organisation, service, body)
            case ('POST', 'v1', 'services', service, 'transactions'):
                begin_body = _decode_body(req, TransactionRequest)
                return await self._begin_transaction(
                    organisation, service, begin_body
                )
            case ('POST', 'v1', 'services', _, 'transactions', name, verb):
                return await self._continue_transaction(name, verb, req)
        raise NotFoundError(req.path)

    async def _run_statement(
        self,
        organisation: str,
        service: str,
        body: StatementRequest,
    ) -> StatementReply:
        if not self._rate_shares[organisation].take_token():
            raise OverloadedError('the rate share of this node is exhausted')
        deadline = deadline_after_ms(body.timeout_ms)
        primary = self._require_primary(service)
        conn = await self._connect(primary.endpoint, deadline)
        run_request = RunRequest(
            sql=body.sql,
            term=primary.term,
            args=body.args,
            access=body.access,
            request=body.idempotency_key,
            organisation=organisation,
        )
        try:
            reply = await conn.run(run_request, deadline)
        finally:
            conn.close()
        return _statement_reply(reply, primary.endpoint.name)

    async def _begin_transaction(
        self,
        organisation: str,
        service: str,
        body: TransactionRequest,
    ) -> TransactionReply:
        if not self._rate_shares[organisation].take_token():
            raise OverloadedError('the rate share of this node is exhausted')
        deadline = deadline_after_ms(body.timeout_ms)
        primary = self._require_primary(service)
        conn = await self._connect(primary.endpoint, deadline)
        try:
            await conn.begin(BeginRequest(term=primary.term), deadline)
        except RefusalError:
            conn.close()
            raise
        name = f'{self._random.getrandbits(_TRANSACTION_ID_BITS):x}'
        key = body.idempotency_key
        commit = CommitRequest(
            term=primary.term,
            request=key,
            organisation=organisation,
        )
        self._open_transactions[name] = _OpenTransaction(conn, commit)
        return TransactionReply(transaction=name, request=key)

    async def _continue_transaction(
        self,
        name: str,
        verb: str,
        req: HttpRequest,
    ) -> StatementReply:
        if name not in self._open_transactions:
            raise TransactionLostError(
                'the transaction is open on another node'
            )
        transaction = self._open_transactions[name]
        deadline = deadline_after_ms(TRANSACTION_STEP_TIMEOUT_MS)
        if verb == 'statements':
            body = _decode_body(req, StatementRequest)
            run_request = RunRequest(
                sql=body.sql,
                term=transaction.commit.term,
                args=body.args,
                access=body.access,
                in_transaction=True,
            )
            try:
                return _statement_reply(
                    await transaction.conn.run(run_request, deadline), ''
                )
            except RefusalError:
                self._open_transactions.pop(name).conn.close()
                raise
        self._open_transactions.pop(name)
        try:
            return _statement_reply(
                await transaction.conn.commit(transaction.commit, deadline), ''
            )
        finally:
            transaction.conn.close()

    async def _connect(
        self,
        endpoint: Endpoint,
        deadline: float,
    ) -> EndpointConnection:
        """Retry until a slot is free; 8 nodes cannot each keep one of 5."""
        conn = None
        while conn is None:
            try:
                conn = await self._connector.connect(endpoint, deadline)
            except SlotsExhaustedError:
                if current_time() + SLOT_RETRY_INTERVAL_S > deadline:
                    raise
                await sleep(SLOT_RETRY_INTERVAL_S * (1 + self._random.random()))
        return conn

    def _require_primary(self, service: str) -> PublishedPrimary:
        primary = self._published_primary(service)
        if primary is None:
            raise NoPrimaryError(service)
        return primary


def _decode_body(req: HttpRequest, body_type: type[BodyT]) -> BodyT:
    try:
        return decode(req.body or _EMPTY_BODY, type=body_type)
    except (DecodeError, ValidationError) as exc:
        raise BadRequestError(str(exc)) from exc


def _statement_reply(reply: RunReply, endpoint: str) -> StatementReply:
    return StatementReply(
        columns=reply.columns,
        rows=reply.rows,
        changed=reply.changed,
        request='',
        session='',
        endpoint=endpoint,
        role=reply.role,
    )
