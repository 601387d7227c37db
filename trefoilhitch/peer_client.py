"""Requests to other nodes."""

from collections.abc import Callable
from time import time

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode

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
from trefoilhitch.peer_auth import PeerAuth


class SignedTransport:
    """Signs each request and sends it to one node.

    Args:
        client: connections to the node.
        auth: signs requests.
        unix_time: returns the time in seconds.

    """

    def __init__(
        self,
        client: HttpClient,
        *,
        auth: PeerAuth,
        unix_time: Callable[[], float] = time,
    ) -> None:
        """Keep the collaborators."""
        self._client = client
        self._auth = auth
        self._unix_time = unix_time

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a signed request and wait for its whole answer."""
        signed = self._auth.sign(req, self._unix_time())
        try:
            return await self._client.request(signed, deadline)
        except UnreachableError as exc:
            raise NodeUnreachableError(exc.detail) from exc


class PeerClient:
    """Talks to one other node.

    Args:
        address: its `ADDRESS:PEER_PORT`.
        auth: signs requests.

    """

    def __init__(self, address: str, *, auth: PeerAuth) -> None:
        """Open nothing yet."""
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
            message: body.
            reply_type: type of the reply.
            deadline: monotonic time.

        Returns:
            The reply.

        Raises:
            RefusalError: what the node answered, or that it did not.

        """
        return await self._json.post(path, message, reply_type, deadline)

    async def run_statement(
        self, req: ForwardStatement, deadline: float
    ) -> OwnerReply:
        """Have the owner run a statement."""
        return await self.request(
            '/peer/v1/statement', req, OwnerReply, deadline
        )

    async def begin(self, req: ForwardBegin, deadline: float) -> OwnerReply:
        """Have the owner open a transaction."""
        return await self.request('/peer/v1/begin', req, OwnerReply, deadline)

    async def end(self, req: ForwardEnd, deadline: float) -> OwnerReply:
        """Have the owner end a transaction."""
        return await self.request('/peer/v1/end', req, OwnerReply, deadline)

    async def lookup(self, req: ForwardLookup, deadline: float) -> OwnerReply:
        """Have the owner look a stored outcome up."""
        return await self.request('/peer/v1/lookup', req, OwnerReply, deadline)

    async def heartbeat(self, req: Heartbeat, deadline: float) -> Heartbeat:
        """Exchange heartbeats."""
        return await self.request(
            '/peer/v1/heartbeat', req, Heartbeat, deadline
        )

    async def group(self, req: GroupQuery, deadline: float) -> GroupView:
        """Ask a monitor for its view of a group."""
        return await self.request('/peer/v1/group', req, GroupView, deadline)

    async def config(self, req: ConfigQuery, deadline: float) -> ConfigOffer:
        """Ask for a newer configuration."""
        return await self.request('/peer/v1/config', req, ConfigOffer, deadline)

    async def status(self, deadline: float) -> NodeStatus:
        """Ask what the node says of itself."""
        return await self._json.get('/peer/v1/status', NodeStatus, deadline)


class PeerClients:
    """Keeps a client for each node that was talked to.

    Args:
        auth: signs requests.

    """

    def __init__(self, *, auth: PeerAuth) -> None:
        """Open nothing yet."""
        self._auth = auth
        self._clients: dict[str, PeerClient] = {}

    def at(self, address: str) -> PeerClient:
        """Return the client of the node at an address.

        Args:
            address: `ADDRESS:PEER_PORT`.

        Returns:
            The client.

        """
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, auth=self._auth)
            self._clients[address] = client
        return client


def decode_refusal(body: bytes) -> RefusalError:
    """Build the failure that another node's refusal stands for.

    Args:
        body: JSON of a Refusal.

    Returns:
        A typed failure.

    """
    try:
        return refusal_error(decode(body, type=Refusal))
    except (DecodeError, ValidationError) as exc:
        return ConnectionLostError(f'unreadable refusal: {exc}')
