"""Client API: JSON over HTTP, with typed responses and refusals."""

from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

from msgspec import Struct
from msgspec.json import Encoder
from trio import current_time

from trefoilhitch._generated.messages import (
    LogPosition,
    OutcomeReply,
    StatementReply,
    StatementRequest,
    TransactionReply,
    TransactionRequest,
)
from trefoilhitch._generated.peer import Caller, OwnerReply
from trefoilhitch.call import Call
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import ConfigHolder
from trefoilhitch.errors import (
    BadRequestError,
    NotFoundError,
    NotReadyError,
    RefusalError,
    UnauthorisedError,
    UnknownServiceError,
)
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.metrics import Metrics
from trefoilhitch.outcome_lookup import OutcomeLookup
from trefoilhitch.position import ORIGIN, merge_positions
from trefoilhitch.session_token import SessionTokenSigner
from trefoilhitch.statement_dispatcher import StatementDispatcher
from trefoilhitch.transaction_dispatcher import TransactionDispatcher
from trefoilhitch.transactions import TransactionId

ANONYMOUS_ORGANISATION = ''
LOOKUP_TIMEOUT_MS = 5000
REQUEST_SEPARATOR = ':'
_BEARER_PREFIX = 'bearer '
_ENCODER = Encoder()
_EMPTY_OBJECT = b'{}'
BodyT = TypeVar('BodyT', bound=Struct)


class ClientApi:
    """Serves the requests of clients.

    Args:
        config: configuration in force, which declares services and keys.
        dispatcher: runs single statements.
        transactions: runs transactions.
        outcomes: looks up the outcomes of earlier requests.
        signer: signs and verifies session tokens.
        metrics: counts requests and records their latency.
        create_request_id: returns a new idempotency key.

    """

    def __init__(
        self,
        *,
        config: ConfigHolder,
        dispatcher: StatementDispatcher,
        transactions: TransactionDispatcher,
        outcomes: OutcomeLookup,
        signer: SessionTokenSigner,
        metrics: Metrics,
        create_request_id: Callable[[], str],
    ) -> None:
        """Store the dependencies."""
        self._config = config
        self._dispatcher = dispatcher
        self._transactions = transactions
        self._outcomes = outcomes
        self._signer = signer
        self._metrics = metrics
        self._create_request_id = create_request_id

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Serve a client's request.

        Args:
            req: complete request.

        Returns:
            The response.

        Raises:
            RefusalError: the request was refused or failed.

        """
        started_at = current_time()
        self._metrics.count('requests')
        try:
            reply = await self._route(req)
        except RefusalError as exc:
            self._metrics.count('refusals', exc.code)
            raise
        self._metrics.observe(current_time() - started_at)
        return HttpResponse(body=_ENCODER.encode(reply))

    async def _route(self, req: HttpRequest) -> Struct:
        match (req.method, *req.path.strip('/').split('/')):
            case ('POST', 'v1', 'services', service, 'statements'):
                return await self._run_statement(req, service)
            case ('POST', 'v1', 'services', service, 'transactions'):
                return await self._begin_transaction(req, service)
            case (
                'POST',
                'v1',
                'services',
                service,
                'transactions',
                transaction,
                verb,
            ):
                return await self._continue_transaction(
                    req, service, (transaction, verb)
                )
            case ('GET', 'v1', 'requests', request):
                return await self._get_outcome(req, request)
        raise NotFoundError(f'{req.method} {req.path}')

    async def _run_statement(
        self, req: HttpRequest, service: str
    ) -> StatementReply:
        caller = self._authenticate(req, service)
        body = _decode(StatementRequest, req.body)
        seen = self._signer.verify(body.session)
        key = body.idempotency_key
        if body.access == 'write':
            key = key or self._create_request_id()
        call = self._new_call(caller, service, key, body.timeout_ms)
        minimum = seen.get(service, ORIGIN)
        resp = await self._dispatcher.run_statement(call, body, minimum)
        return StatementReply(
            columns=resp.reply.columns,
            rows=resp.reply.rows,
            changed=resp.reply.changed,
            request=call.request if body.access == 'write' else '',
            session=self._session_token(seen, service, resp.reply),
            endpoint=resp.endpoint,
            role=resp.reply.role,
        )

    async def _begin_transaction(
        self, req: HttpRequest, service: str
    ) -> TransactionReply:
        caller = self._authenticate(req, service)
        body = _decode(TransactionRequest, req.body or _EMPTY_OBJECT)
        key = body.idempotency_key or self._create_request_id()
        call = self._new_call(caller, service, key, body.timeout_ms)
        reply = await self._transactions.begin(call)
        return TransactionReply(
            transaction=reply.transaction, request=call.request
        )

    async def _continue_transaction(
        self,
        req: HttpRequest,
        service: str,
        operation: tuple[str, str],
    ) -> StatementReply:
        caller = self._authenticate(req, service)
        transaction, verb = operation
        if verb == 'statements':
            return await self._run_in_transaction(
                req, caller, service, transaction
            )
        if verb in {'commit', 'rollback'}:
            return await self._end_transaction(req, caller, service, operation)
        raise NotFoundError(f'{req.method} {req.path}')

    async def _run_in_transaction(
        self,
        req: HttpRequest,
        caller: Caller,
        service: str,
        transaction: str,
    ) -> StatementReply:
        body = _decode(StatementRequest, req.body)
        key = TransactionId.from_text(transaction).key
        call = self._new_call(caller, service, key, body.timeout_ms)
        reply = await self._transactions.run_statement(call, transaction, body)
        return StatementReply(
            columns=reply.columns,
            rows=reply.rows,
            changed=reply.changed,
            request='',
            session=body.session,
            endpoint='',
            role='primary',
        )

    async def _end_transaction(
        self,
        req: HttpRequest,
        caller: Caller,
        service: str,
        operation: tuple[str, str],
    ) -> StatementReply:
        transaction, verb = operation
        body = _decode(TransactionRequest, req.body or _EMPTY_OBJECT)
        seen = self._signer.verify(body.session)
        key = TransactionId.from_text(transaction).key
        call = self._new_call(caller, service, key, body.timeout_ms)
        if verb == 'commit':
            reply = await self._transactions.commit(call, transaction)
        else:
            reply = await self._transactions.rollback(call, transaction)
        return StatementReply(
            columns=[],
            rows=[],
            changed=reply.changed,
            request=call.request if verb == 'commit' else '',
            session=self._session_token(seen, service, reply),
            endpoint='',
            role='primary',
        )

    async def _get_outcome(
        self, req: HttpRequest, request: str
    ) -> OutcomeReply:
        service, separator, key = request.partition(REQUEST_SEPARATOR)
        if not (separator and key):
            raise BadRequestError('a request id has the form SERVICE:KEY')
        caller = self._authenticate(req, service)
        call = self._new_call(caller, service, key, LOOKUP_TIMEOUT_MS)
        reply = await self._outcomes.lookup(call)
        return OutcomeReply(
            request=request,
            state='committed' if reply.found else 'absent',
            changed=reply.changed,
            session=self._session_token({}, service, reply),
        )

    def _authenticate(self, req: HttpRequest, service: str) -> Caller:
        cfg = self._config.current
        if not cfg.revision:
            raise NotReadyError('this node has no configuration yet')
        declared = cfg.services.get(service)
        if declared is None:
            raise UnknownServiceError(service)
        authorization = req.headers.get('authorization', '')
        if declared.open and not authorization:
            return Caller(
                organisation=ANONYMOUS_ORGANISATION,
                key='',
                revision=cfg.revision,
            )
        if not authorization.lower().startswith(_BEARER_PREFIX):
            raise UnauthorisedError(
                'send the header "Authorization: Bearer KEY"'
            )
        key = cfg.keyring.authenticate(
            authorization[len(_BEARER_PREFIX) :].strip()
        )
        return Caller(
            organisation=key.organisation,
            key=key.name,
            revision=cfg.revision,
        )

    def _new_call(
        self,
        caller: Caller,
        service: str,
        key: str,
        timeout_ms: int,
    ) -> Call:
        request = f'{service}{REQUEST_SEPARATOR}{key}'
        return Call(caller, service, request, deadline_after_ms(timeout_ms))

    def _session_token(
        self,
        seen: dict[str, LogPosition],
        service: str,
        reply: OwnerReply,
    ) -> str:
        reached = LogPosition(term=reply.term, position=reply.position)
        return self._signer.sign(merge_positions(seen, {service: reached}))


class PublicRequestHandler:
    """Serves the client API and the health check.

    Args:
        api: serves the requests of clients.
        is_ready: returns whether the node can serve requests.

    """

    def __init__(self, *, api: ClientApi, is_ready: Callable[[], bool]) -> None:
        """Store the dependencies."""
        self._api = api
        self._is_ready = is_ready

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Serve a client or the load balancer's health check.

        Args:
            req: complete request.

        Returns:
            The response.

        """
        if req.path == '/healthz':
            ready = self._is_ready()
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            return HttpResponse(status, _EMPTY_OBJECT)
        return await self._api.respond(req)


def _decode(body_type: type[BodyT], body: bytes) -> BodyT:
    try:
        return decode_json(body, body_type)
    except UnreadableJsonError as exc:
        raise BadRequestError(str(exc)) from exc
