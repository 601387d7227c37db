"""Clients for requests to other nodes."""

from collections.abc import Callable
from time import time

from msgspec import Struct

from trefoilhitch._generated.messages import Refusal
from trefoilhitch._generated.peer import (
    ConfigOffer,
    ConfigQuery,
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
    ForwardStatement,
    GroupQuery,
    GroupView,
    Heartbeat,
    NodeStatus,
    OwnerReply,
)
from trefoilhitch.errors import (
    ConnectionLostError,
    NodeUnreachableError,
    RefusalError,
    UnreachableError,
    refusal_error,
)
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_client import JsonClient, ReplyT
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.peer_auth import PeerAuth


class SignedTransport:
    """Signs each request and sends it to one node.

    Args:
        client: HTTP client with connections to the node.
        auth: signs requests.
        unix_time: returns the current Unix time in seconds.

    """

    def __init__(
        self,
        client: HttpClient,
        *,
        auth: PeerAuth,
        unix_time: Callable[[], float] = time,
    ) -> None:
        """Store the collaborators."""
        self._client = client
        self._auth = auth
        self._unix_time = unix_time

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a signed request and wait for the whole response."""
        signed = self._auth.sign(req, self._unix_time())
        try:
            return await self._client.request(signed, deadline)
        except UnreachableError as exc:
            raise NodeUnreachableError(exc.detail) from exc


class PeerClient:
    """Client for one other node.

    Args:
        address: peer address of the node as `ADDRESS:PEER_PORT`.
        auth: signs requests.

    """

    def __init__(self, address: str, *, auth: PeerAuth) -> None:
        """Start without connections; requests open them."""
        self._json = JsonClient(
            transport=SignedTransport(HttpClient(address), auth=auth),
            error_decoder=decode_refusal,
        )

    async def request(
        self,
        path: str,
        message: Struct,
        reply_type: type[ReplyT],
        deadline: float,
    ) -> ReplyT:
        """Send a message to a path of the node.

        Args:
            path: request target.
            message: request body before encoding.
            reply_type: type of the decoded response.
            deadline: monotonic time in seconds.

        Returns:
            The decoded response.

        Raises:
            RefusalError: the node refused the request or did not respond.

        """
        return await self._json.post(path, message, reply_type, deadline)

    async def run_statement(
        self, req: ForwardStatement, deadline: float
    ) -> OwnerReply:
        """Run a statement at the owner of an endpoint."""
        return await self.request(
            '/peer/v1/statement', req, OwnerReply, deadline
        )

    async def begin(self, req: ForwardBegin, deadline: float) -> OwnerReply:
        """Open a transaction at the owner of the primary."""
        return await self.request('/peer/v1/begin', req, OwnerReply, deadline)

    async def end(self, req: ForwardEnd, deadline: float) -> OwnerReply:
        """Commit or roll back a transaction at its owner."""
        return await self.request('/peer/v1/end', req, OwnerReply, deadline)

    async def lookup(self, req: ForwardLookup, deadline: float) -> OwnerReply:
        """Look up a stored outcome at the owner of the primary."""
        return await self.request('/peer/v1/lookup', req, OwnerReply, deadline)

    async def heartbeat(self, req: Heartbeat, deadline: float) -> Heartbeat:
        """Send heartbeats and return those that the node has in addition."""
        return await self.request(
            '/peer/v1/heartbeat', req, Heartbeat, deadline
        )

    async def group(self, req: GroupQuery, deadline: float) -> GroupView:
        """Request a monitor's view of a group."""
        return await self.request('/peer/v1/group', req, GroupView, deadline)

    async def config(self, req: ConfigQuery, deadline: float) -> ConfigOffer:
        """Request the node's configuration if it is newer."""
        return await self.request('/peer/v1/config', req, ConfigOffer, deadline)

    async def status(self, deadline: float) -> NodeStatus:
        """Request the node's status."""
        return await self._json.get('/peer/v1/status', NodeStatus, deadline)


class PeerClients:
    """Creates and caches a client for each node.

    Args:
        auth: signs requests.

    """

    def __init__(self, *, auth: PeerAuth) -> None:
        """Start without clients."""
        self._auth = auth
        self._clients: dict[str, PeerClient] = {}

    def at(self, address: str) -> PeerClient:
        """Return the client for the node at an address.

        Args:
            address: `ADDRESS:PEER_PORT`.

        Returns:
            The cached client, created on first use.

        """
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, auth=self._auth)
            self._clients[address] = client
        return client


def decode_refusal(body: bytes) -> RefusalError:
    """Build the exception for a refusal from another node.

    Args:
        body: JSON of a Refusal.

    Returns:
        The exception for the refusal's code, or ConnectionLostError if the body
        cannot be decoded.

    """
    try:
        return refusal_error(decode_json(body, Refusal))
    except UnreadableJsonError as exc:
        return ConnectionLostError(f'unreadable refusal: {exc}')
