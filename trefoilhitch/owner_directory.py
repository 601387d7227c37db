"""Finds the owner of an endpoint or of a transaction."""

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
    """Runs forwarded requests on this node or on another one."""

    async def run_statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Run a statement."""

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Open a transaction."""

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """End a transaction."""

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Look up a stored outcome."""


class OwnerDirectory:
    """Finds the node that runs a request.

    Args:
        membership: assigns endpoints to their owners.
        config: configuration in force, which declares endpoints.
        peers: clients of the other nodes.
        local_owner: owner on this node.

    """

    def __init__(
        self,
        *,
        membership: Membership,
        config: ConfigHolder,
        peers: PeerClients,
        local_owner: OwnerService,
    ) -> None:
        """Store the dependencies."""
        self._membership = membership
        self._config = config
        self._peers = peers
        self._local_owner = local_owner

    def owner_of_endpoint(self, name: str) -> OwnerService:
        """Return the owner of an endpoint.

        Args:
            name: name of the endpoint.

        Returns:
            The owner, on this node or another.

        Raises:
            NoPrimaryError: the endpoint is no longer declared.

        """
        endpoint = self._config.current.endpoints.get(name)
        if endpoint is None:
            raise NoPrimaryError(f'{name} is not declared any more')
        return self._owner_on(self._membership.owner_of(endpoint))

    def owner_of_transaction(self, transaction: str) -> OwnerService:
        """Return the owner of a transaction.

        Args:
            transaction: id of the transaction.

        Returns:
            The owner, on this node or another.

        Raises:
            TransactionLostError: the owner's node has restarted since.
            NotHeardError: this node has no heartbeat yet that follows the
                start of the owner's node.

        """
        parsed_id = TransactionId.from_text(transaction)
        known_incarnation = self._membership.incarnation_of(parsed_id.node) or 0
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
        if node == self._membership.identity.node:
            return self._local_owner
        address = self._membership.address_of(node)
        if address is None:
            raise NodeUnreachableError(f'{node} has no known address')
        return RemoteOwner(
            node, client=self._peers.at(address), membership=self._membership
        )


class RemoteOwner:
    """Owner on another node.

    Args:
        node: name of the node.
        client: sends requests to the node.
        membership: avoids the node while it cannot be reached.

    """

    def __init__(
        self, node: str, *, client: PeerClient, membership: Membership
    ) -> None:
        """Store the dependencies."""
        self._node = node
        self._client = client
        self._membership = membership

    async def run_statement(self, fwd: ForwardStatement) -> OwnerReply:
        """Forward a statement to the owner."""
        return await self._forward(self._client.run_statement, fwd)

    async def begin(self, fwd: ForwardBegin) -> OwnerReply:
        """Forward the opening of a transaction to the owner."""
        return await self._forward(self._client.begin, fwd)

    async def end(self, fwd: ForwardEnd) -> OwnerReply:
        """Forward the end of a transaction to the owner."""
        return await self._forward(self._client.end, fwd)

    async def lookup(self, fwd: ForwardLookup) -> OwnerReply:
        """Forward the lookup of a stored outcome to the owner."""
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
            self._membership.mark_unreachable(self._node)
            raise
