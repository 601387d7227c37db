"""The platform and peers, with the lab's network in between."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from msgspec import Struct

from trefoilhitch._generated.endpoint import (
    BeginRequest,
    CommitRequest,
    ConfirmReply,
    ConfirmRequest,
    FenceReply,
    FenceRequest,
    PromoteRequest,
    RecordReply,
    RecordRequest,
    RunReply,
    RunRequest,
    StatusReply,
)
from trefoilhitch._generated.store import Endpoint, StoredObject, VmList
from trefoilhitch.endpoint_client import (
    EndpointConnection,
    EndpointConnector,
    EndpointControl,
)
from trefoilhitch.errors import (
    DeadlineError,
    StoreUnavailableError,
    UnreachableError,
)
from trefoilhitch.peer_auth import PeerAuth
from trefoilhitch.peer_client import PeerClient, PeerClients
from trefoilhitch.platform_services import PlatformServices
from trefoilhitch.store import ObjectStore, VmDirectory
from trefoilhitch_lab.network import Channel, Network

STORE_NAME = 'store'
ReplyT = TypeVar('ReplyT')


class FaultyEndpointConnection:
    """A statement connection over the lab's network.

    Args:
        inner: the real connection.
        link: the way to the endpoint.

    """

    def __init__(self, inner: EndpointConnection, link: Channel) -> None:
        """Keep the connection."""
        self._inner = inner
        self._link = link

    @property
    def closed(self) -> bool:
        """Return whether the connection can be used no more."""
        return self._inner.closed

    async def run(self, req: RunRequest, deadline: float) -> RunReply:
        """Run a statement."""
        return await self._exchange(
            deadline, partial(self._inner.run, req, deadline)
        )

    async def begin(self, req: BeginRequest, deadline: float) -> RunReply:
        """Open a transaction."""
        return await self._exchange(
            deadline, partial(self._inner.begin, req, deadline)
        )

    async def commit(self, req: CommitRequest, deadline: float) -> RunReply:
        """Commit the open transaction."""
        return await self._exchange(
            deadline, partial(self._inner.commit, req, deadline)
        )

    async def rollback(self, req: BeginRequest, deadline: float) -> RunReply:
        """Roll the open transaction back."""
        return await self._exchange(
            deadline,
            partial(self._inner.rollback, req, deadline),
        )

    def is_stale(self) -> bool:
        """Tell whether the endpoint closed the idle connection."""
        return self._inner.is_stale()

    def close(self) -> None:
        """Close at once."""
        self._inner.close()

    async def _exchange(
        self,
        deadline: float,
        call: Callable[[], Awaitable[RunReply]],
    ) -> RunReply:
        try:
            return await self._link.exchange(deadline, call)
        except DeadlineError:
            self._inner.close()
            raise


class FaultyEndpointControl:
    """An endpoint's control address over the lab's network.

    Args:
        inner: the real client.
        link: the way to the endpoint.

    """

    def __init__(self, inner: EndpointControl, link: Channel) -> None:
        """Keep the client."""
        self._inner = inner
        self._link = link

    async def status(self, deadline: float) -> StatusReply:
        """Ask for role, term and log positions."""
        return await self._link.exchange(
            deadline,
            partial(self._inner.status, deadline),
        )

    async def fence(self, req: FenceRequest, deadline: float) -> FenceReply:
        """Have the endpoint take a term for a claimant."""
        return await self._link.exchange(
            deadline,
            partial(self._inner.fence, req, deadline),
        )

    async def promote(
        self, req: PromoteRequest, deadline: float
    ) -> StatusReply:
        """Make a fenced endpoint the primary of its term."""
        return await self._link.exchange(
            deadline,
            partial(self._inner.promote, req, deadline),
        )

    async def confirm(
        self, req: ConfirmRequest, deadline: float
    ) -> ConfirmReply:
        """Ask the primary who holds a position."""
        return await self._link.exchange(
            deadline,
            partial(self._inner.confirm, req, deadline),
        )

    async def record(self, req: RecordRequest, deadline: float) -> RecordReply:
        """Ask the primary for the stored outcome of a request."""
        return await self._link.exchange(
            deadline,
            partial(self._inner.record, req, deadline),
        )


class FaultyEndpointConnector:
    """The endpoints over the lab's network.

    Args:
        inner: reaches them.
        network: carries messages.
        node: name of the node that asks.

    """

    def __init__(
        self, inner: EndpointConnector, network: Network, node: str
    ) -> None:
        """Keep the platform."""
        self._inner = inner
        self._network = network
        self._node = node

    async def connect(
        self, endpoint: Endpoint, deadline: float
    ) -> FaultyEndpointConnection:
        """Open a statement connection, which takes a slot."""
        link = Channel(self._network, self._node, endpoint.name)
        call = partial(self._inner.connect, endpoint, deadline)
        try:
            inner = await link.exchange(deadline, call)
        except DeadlineError as exc:
            raise UnreachableError(exc.detail) from exc
        return FaultyEndpointConnection(inner, link)

    def control(self, endpoint: Endpoint) -> FaultyEndpointControl:
        """Return the control client of an endpoint."""
        link = Channel(self._network, self._node, endpoint.name)
        return FaultyEndpointControl(self._inner.control(endpoint), link)


class FaultyObjectStore:
    """The object API over the lab's network.

    Args:
        inner: reaches it.
        link: the way there.

    """

    def __init__(self, inner: ObjectStore, link: Channel) -> None:
        """Keep the store."""
        self._inner = inner
        self._link = link

    async def get(self, name: str, deadline: float) -> StoredObject:
        """Read an object."""
        return await self._exchange(
            deadline, partial(self._inner.get, name, deadline)
        )

    async def put(
        self,
        name: str,
        body: str,
        if_version: int | None,
        deadline: float,
    ) -> StoredObject:
        """Write an object if its version is still the one named."""
        call = partial(self._inner.put, name, body, if_version, deadline)
        return await self._exchange(deadline, call)

    async def watch(
        self, name: str, after: int, deadline: float
    ) -> StoredObject:
        """Wait until an object has a later version, or for a while."""
        call = partial(self._inner.watch, name, after, deadline)
        return await self._exchange(deadline, call)

    async def _exchange(
        self,
        deadline: float,
        call: Callable[[], Awaitable[StoredObject]],
    ) -> StoredObject:
        try:
            return await self._link.exchange(deadline, call)
        except DeadlineError as exc:
            raise StoreUnavailableError(exc.detail) from exc


class FaultyVmDirectory:
    """The VM list over the lab's network.

    Args:
        inner: reaches it.
        link: the way there.

    """

    def __init__(self, inner: VmDirectory, link: Channel) -> None:
        """Keep the directory."""
        self._inner = inner
        self._link = link

    async def list_vms(self, deadline: float) -> VmList:
        """Read the list."""
        call = partial(self._inner.list_vms, deadline)
        try:
            return await self._link.exchange(deadline, call)
        except DeadlineError as exc:
            raise StoreUnavailableError(exc.detail) from exc


class FaultyPeerClient(PeerClient):
    """Another node over the lab's network.

    Args:
        address: its address.
        auth: signs requests.
        link: the way there.

    """

    def __init__(self, address: str, *, auth: PeerAuth, link: Channel) -> None:
        """Keep the way."""
        super().__init__(address, auth=auth)
        self._link = link

    async def request(
        self,
        path: str,
        message: Struct,
        reply_type: type[ReplyT],
        deadline: float,
    ) -> ReplyT:
        """Send a message to a path of the node."""
        call = partial(super().request, path, message, reply_type, deadline)
        return await self._link.exchange(deadline, call)


class FaultyPeerClients(PeerClients):
    """All other nodes over the lab's network.

    Args:
        auth: signs requests.
        network: carries messages.
        node: name of the node that asks.
        names: name of the node at each address.

    """

    def __init__(
        self,
        *,
        auth: PeerAuth,
        network: Network,
        node: str,
        node_names: dict[str, str],
    ) -> None:
        """Keep the network."""
        super().__init__(auth=auth)
        self._auth = auth
        self._network = network
        self._node = node
        self._node_names = node_names
        self._faulty_clients: dict[str, FaultyPeerClient] = {}

    def at(self, address: str) -> FaultyPeerClient:
        """Return the client of the node at an address."""
        peer = self._faulty_clients.get(address)
        if peer is None:
            link = Channel(self._network, self._node, self._node_names[address])
            peer = FaultyPeerClient(address, auth=self._auth, link=link)
            self._faulty_clients[address] = peer
        return peer


def faulty_platform(
    inner: PlatformServices, network: Network, node: str
) -> PlatformServices:
    """Put the lab's network between a node and the platform.

    Args:
        inner: the platform's services.
        network: carries messages.
        node: name of the node.

    Returns:
        The wrapped services.

    """
    link = Channel(network, node, STORE_NAME)
    return PlatformServices(
        store=FaultyObjectStore(inner.store, link),
        vm_directory=FaultyVmDirectory(inner.vm_directory, link),
        endpoints=FaultyEndpointConnector(inner.endpoints, network, node),
    )
