"""Reaches the owner of an endpoint or of a transaction."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from trio import current_time

from trefoilhitch._generated.peer import (
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
    ForwardStatement,
    OwnerReply,
)
from trefoilhitch.config import ConfigHolder
from trefoilhitch.errors import (
    ConnectionLostError,
    NodeUnreachableError,
    NoPrimaryError,
    NotHeardError,
    ShuttingDownError,
    TransactionLostError,
)
from trefoilhitch.membership import Membership
from trefoilhitch.peer_client import PeerClient, PeerClients
from trefoilhitch.transactions import TransactionId

_MS_PER_S = 1000
ForwardT = TypeVar(
    'ForwardT',
    ForwardStatement,
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
)


class OwnerService(Protocol):
    """Runs forwarded requests: this node's owner, or another node."""

    async def run_statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Run a statement."""

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Open a transaction."""

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """End a transaction."""

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Look a stored outcome up."""


class OwnerDirectory:
    """Finds the node that runs a request.

    Args:
        fleet: says who owns what.
        config: declares endpoints.
        peers: reaches other nodes.
        local: this node's owner.

    """

    def __init__(
        self,
        *,
        fleet: Membership,
        config: ConfigHolder,
        peers: PeerClients,
        local: OwnerService,
    ) -> None:
        """Keep the collaborators."""
        self._fleet = fleet
        self._config = config
        self._peers = peers
        self._local = local

    def owner_of_endpoint(self, name: str) -> OwnerService:
        """Return the owner of an endpoint.

        Args:
            name: name of the endpoint.

        Returns:
            Its owner, here or on another node.

        Raises:
            NoPrimaryError: the endpoint is not declared any more.

        """
        endpoint = self._config.current.endpoints.get(name)
        if endpoint is None:
            raise NoPrimaryError(f'{name} is not declared any more')
        return self._owner_on(self._fleet.owner_of(endpoint))

    def owner_of_transaction(self, transaction: str) -> OwnerService:
        """Return the owner that holds a transaction.

        Args:
            transaction: the transaction's id.

        Returns:
            Its owner, here or on another node.

        Raises:
            TransactionLostError: the owner has restarted since.
            NotHeardError: the owner's start was not heard of yet.

        """
        parsed_id = TransactionId.from_text(transaction)
        known_incarnation = self._fleet.incarnation_of(parsed_id.node) or 0
        if known_incarnation > parsed_id.incarnation:
            raise TransactionLostError(
                f'{parsed_id.node} has restarted; ask for the outcome',
            )
        if known_incarnation < parsed_id.incarnation:
            raise NotHeardError(
                f'{parsed_id.node} was not heard since its start'
            )
        return self._owner_on(parsed_id.node)

    def _owner_on(self, node: str) -> OwnerService:
        if node == self._fleet.identity.node:
            return self._local
        address = self._fleet.address_of(node)
        if address is None:
            raise NodeUnreachableError(f'{node} has no known address')
        return RemoteOwner(
            node, client=self._peers.at(address), fleet=self._fleet
        )


class RemoteOwner:
    """The owner on another node.

    Args:
        node: its name.
        client: reaches it.
        fleet: told to avoid it when it cannot be reached.

    """

    def __init__(
        self, node: str, *, client: PeerClient, fleet: Membership
    ) -> None:
        """Keep the collaborators."""
        self._node = node
        self._client = client
        self._fleet = fleet

    async def run_statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Have the owner run a statement."""
        return await self._forward(self._client.run_statement, fwd)

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Have the owner open a transaction."""
        return await self._forward(self._client.begin, fwd)

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """Have the owner end a transaction."""
        return await self._forward(self._client.end, fwd)

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Have the owner look a stored outcome up."""
        return await self._forward(self._client.lookup, fwd)

    async def _forward(
        self,
        send: Callable[[ForwardT, float], Awaitable[OwnerReply]],
        fwd: ForwardT,
    ) -> OwnerReply:
        deadline = current_time() + fwd.timeout_ms / _MS_PER_S
        try:
            return await send(fwd, deadline)
        except (NodeUnreachableError, ConnectionLostError, ShuttingDownError):
            self._fleet.mark_unreachable(self._node)
            raise
