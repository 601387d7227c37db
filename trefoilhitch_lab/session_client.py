"""A client of the proxy, as an application uses it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeAlias

from msgspec.json import decode, encode
from trio import current_time

from trefoilhitch._generated.messages import (
    OutcomeReply,
    Refusal,
    StatementReply,
    TransactionReply,
)
from trefoilhitch.errors import ConnectionLostError, RefusalError, refusal_error
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.json_client import ReplyT

RESPONSE_GRACE_S = 1.0
DEFAULT_TIMEOUT_MS = 5000
OUTCOME_TIMEOUT_S = 6.0
_MS_PER_S = 1000
_HTTP_OK = 200
Fields: TypeAlias = dict[str, Any]


@dataclass(slots=True)
class SessionClient:
    """A session of an application that sends each request to a random node.

    Args:
        key: API key.
        addresses: returns the addresses of available nodes.
        random: chooses the node of each request.
        session: latest session token.
        sticky: send all requests of a transaction to the same node.

    """

    key: str
    addresses: Callable[[], Sequence[str]]
    random: Random
    session: str = ''
    sticky: bool = False
    _pinned_address: str = ''
    _clients: dict[str, HttpClient] = field(default_factory=dict)

    async def run_statement(
        self, service: str, fields: Fields
    ) -> StatementReply:
        """Run a statement.

        Args:
            service: service name.
            fields: request fields without the session.

        Returns:
            Complete response.

        Raises:
            RefusalError: the proxy refused, or did not respond.

        """
        path = f'/v1/services/{service}/statements'
        reply = await self._post(path, fields, StatementReply)
        self.session = reply.session
        return reply

    async def begin_transaction(
        self, service: str, fields: Fields
    ) -> TransactionReply:
        """Begin a transaction."""
        path = f'/v1/services/{service}/transactions'
        return await self._post(path, fields, TransactionReply)

    async def continue_transaction(
        self,
        service: str,
        step: str,
        fields: Fields,
    ) -> StatementReply:
        """Run a step of a transaction.

        Args:
            service: service name.
            step: transaction id and verb, as part of the path.
            fields: request fields without the session.

        Returns:
            Complete response.

        """
        path = f'/v1/services/{service}/transactions/{step}'
        reply = await self._post(path, fields, StatementReply)
        self.session = reply.session
        return reply

    async def read_outcome(self, request: str) -> OutcomeReply:
        """Request the outcome of an earlier request.

        Args:
            request: request id.

        Returns:
            Outcome of that request.

        """
        req = HttpRequest('GET', f'/v1/requests/{request}', self._headers())
        return await self._send(req, OutcomeReply, OUTCOME_TIMEOUT_S)

    def close(self) -> None:
        """Close idle connections."""
        for client in self._clients.values():
            client.close()

    async def _post(
        self,
        path: str,
        fields: Fields,
        reply_type: type[ReplyT],
    ) -> ReplyT:
        body = encode({**fields, 'session': self.session})
        req = HttpRequest('POST', path, self._headers(), body)
        timeout_s = fields.get('timeout_ms', DEFAULT_TIMEOUT_MS) / _MS_PER_S
        return await self._send(req, reply_type, timeout_s)

    async def _send(
        self,
        req: HttpRequest,
        reply_type: type[ReplyT],
        timeout_s: float,
    ) -> ReplyT:
        address = self._choose_address(req.target)
        client = self._clients.setdefault(address, HttpClient(address))
        deadline = current_time() + timeout_s + RESPONSE_GRACE_S
        resp = await client.request(req, deadline)
        if resp.status == _HTTP_OK:
            return decode(resp.body, type=reply_type)
        raise _decode_refusal(resp.body)

    def _choose_address(self, target: str) -> str:
        if self.sticky and '/transactions/' in target:
            return self._pinned_address
        self._pinned_address = self.random.choice(self.addresses())
        return self._pinned_address

    def _headers(self) -> dict[str, str]:
        return {'authorization': f'Bearer {self.key}'}


def _decode_refusal(body: bytes) -> RefusalError:
    if not body:
        return ConnectionLostError('no response')
    return refusal_error(decode(body, type=Refusal))
