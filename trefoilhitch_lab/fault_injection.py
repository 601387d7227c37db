"""Platform services and peers behind the simulated network."""

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
    """A statement connection over the simulated network.

    Args:
        inner: wrapped connection.
        channel: network channel to the endpoint.

    """

    def __init__(self, inner: EndpointConnection, channel: Channel) -> None:
        """Wrap the connection."""
        self._inner = inner
        self._channel = channel

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._inner.closed

    async def run(self, req: RunRequest, deadline: float) -> RunReply:
        """Run a statement."""
        return await self._exchange(
            deadline, partial(self._inner.run, req, deadline)
        )

    async def begin(self, req: BeginRequest, deadline: float) -> RunReply:
        """Begin a transaction."""
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
        """Return whether the endpoint closed the idle connection."""
        return self._inner.is_stale()

    def close(self) -> None:
        """Close immediately."""
        self._inner.close()

    async def _exchange(
        self,
        deadline: float,
        call: Callable[[], Awaitable[RunReply]],
    ) -> RunReply:
        try:
            return await self._channel.exchange(deadline, call)
        except DeadlineError:
            self._inner.close()
            raise


class FaultyEndpointControl:
    """A control client of an endpoint over the simulated network.

    Args:
        inner: wrapped client.
        channel: network channel to the endpoint.

    """

    def __init__(self, inner: EndpointControl, channel: Channel) -> None:
        """Wrap the client."""
        self._inner = inner
        self._channel = channel

    async def status(self, deadline: float) -> StatusReply:
        """Request role, term and log positions."""
        return await self._channel.exchange(
            deadline,
            partial(self._inner.status, deadline),
        )

    async def fence(self, req: FenceRequest, deadline: float) -> FenceReply:
        """Fence the endpoint: it adopts a term for a claimant."""
        return await self._channel.exchange(
            deadline,
            partial(self._inner.fence, req, deadline),
        )

    async def promote(
        self, req: PromoteRequest, deadline: float
    ) -> StatusReply:
        """Make a fenced endpoint the primary of its term."""
        return await self._channel.exchange(
            deadline,
            partial(self._inner.promote, req, deadline),
        )

    async def confirm(
        self, req: ConfirmRequest, deadline: float
    ) -> ConfirmReply:
        """Ask the primary which replicas have reached a position."""
        return await self._channel.exchange(
            deadline,
            partial(self._inner.confirm, req, deadline),
        )

    async def record(self, req: RecordRequest, deadline: float) -> RecordReply:
        """Request the stored outcome of a request from the primary."""
        return await self._channel.exchange(
            deadline,
            partial(self._inner.record, req, deadline),
        )


class FaultyEndpointConnector:
    """Connects to endpoints over the simulated network.

    Args:
        inner: wrapped connector.
        network: simulated network.
        node: name of the node that sends the requests.

    """

    def __init__(
        self, inner: EndpointConnector, network: Network, node: str
    ) -> None:
        """Wrap the connector."""
        self._inner = inner
        self._network = network
        self._node = node

    async def connect(
        self, endpoint: Endpoint, deadline: float
    ) -> FaultyEndpointConnection:
        """Open a statement connection, which occupies a slot."""
        channel = Channel(self._network, self._node, endpoint.name)
        call = partial(self._inner.connect, endpoint, deadline)
        try:
            inner = await channel.exchange(deadline, call)
        except DeadlineError as exc:
            raise UnreachableError(exc.detail) from exc
        return FaultyEndpointConnection(inner, channel)

    def control(self, endpoint: Endpoint) -> FaultyEndpointControl:
        """Return the control client of an endpoint."""
        channel = Channel(self._network, self._node, endpoint.name)
        return FaultyEndpointControl(self._inner.control(endpoint), channel)


class FaultyObjectStore:
    """An object store client over the simulated network.

    Args:
        inner: wrapped client.
        channel: network channel to the receiver.

    """

    def __init__(self, inner: ObjectStore, channel: Channel) -> None:
        """Wrap the client."""
        self._inner = inner
        self._channel = channel

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
        """Write an object if the stored version is `if_version`."""
        call = partial(self._inner.put, name, body, if_version, deadline)
        return await self._exchange(deadline, call)

    async def watch(
        self, name: str, after: int, deadline: float
    ) -> StoredObject:
        """Wait until an object has a later version, or until a timeout."""
        call = partial(self._inner.watch, name, after, deadline)
        return await self._exchange(deadline, call)

    async def _exchange(
        self,
        deadline: float,
        call: Callable[[], Awaitable[StoredObject]],
    ) -> StoredObject:
        try:
            return await self._channel.exchange(deadline, call)
        except DeadlineError as exc:
            raise StoreUnavailableError(exc.detail) from exc


class FaultyVmDirectory:
    """A VM list client over the simulated network.

    Args:
        inner: wrapped client.
        channel: network channel to the receiver.

    """

    def __init__(self, inner: VmDirectory, channel: Channel) -> None:
        """Wrap the client."""
        self._inner = inner
        self._channel = channel

    async def list_vms(self, deadline: float) -> VmList:
        """Read the VM list."""
        call = partial(self._inner.list_vms, deadline)
        try:
            return await self._channel.exchange(deadline, call)
        except DeadlineError as exc:
            raise StoreUnavailableError(exc.detail) from exc


class FaultyPeerClient(PeerClient):
    """A client of a peer over the simulated network.

    Args:
        address: peer address.
        auth: signs requests.
        channel: network channel to the receiver.

    """

    def __init__(
        self, address: str, *, auth: PeerAuth, channel: Channel
    ) -> None:
        """Create the client without connecting."""
        super().__init__(address, auth=auth)
        self._channel = channel

    async def request(
        self,
        path: str,
        message: Struct,
        reply_type: type[ReplyT],
        deadline: float,
    ) -> ReplyT:
        """Send a request to a path of the peer."""
        call = partial(super().request, path, message, reply_type, deadline)
        return await self._channel.exchange(deadline, call)


class FaultyPeerClients(PeerClients):
    """Clients of all peers over the simulated network.

    Args:
        auth: signs requests.
        network: simulated network.
        node: name of the node that sends the requests.
        node_names: node name by peer address.

    """

    def __init__(
        self,
        *,
        auth: PeerAuth,
        network: Network,
        node: str,
        node_names: dict[str, str],
    ) -> None:
        """Start without clients."""
        super().__init__(auth=auth)
        self._auth = auth
        self._network = network
        self._node = node
        self._node_names = node_names
        self._faulty_clients: dict[str, FaultyPeerClient] = {}

    def at(self, address: str) -> FaultyPeerClient:
        """Return the client of the peer at an address."""
        peer = self._faulty_clients.get(address)
        if peer is None:
            channel = Channel(
                self._network, self._node, self._node_names[address]
            )
            peer = FaultyPeerClient(address, auth=self._auth, channel=channel)
            self._faulty_clients[address] = peer
        return peer


def faulty_platform(
    inner: PlatformServices, network: Network, node: str
) -> PlatformServices:
    """Put the simulated network between a node and the platform.

    Args:
        inner: platform services to wrap.
        network: simulated network.
        node: node name.

    Returns:
        Wrapped services.

    """
    channel = Channel(network, node, STORE_NAME)
    return PlatformServices(
        store=FaultyObjectStore(inner.store, channel),
        vm_directory=FaultyVmDirectory(inner.vm_directory, channel),
        endpoints=FaultyEndpointConnector(inner.endpoints, network, node),
    )
