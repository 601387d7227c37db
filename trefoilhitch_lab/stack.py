"""A complete deployment on loopback addresses in one trio event loop."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

from trio import CancelScope, Event, Nursery, current_time, open_nursery, sleep

from trefoilhitch._generated.settings import (
    FleetSettings,
    LimitSettings,
    LogSettings,
    NodeSettings,
    PlatformSettings,
    Settings,
)
from trefoilhitch._generated.store import (
    Bundle,
    Endpoint,
    ListedVm,
    Organisation,
    Service,
)
from trefoilhitch.decision_log import DecisionLog, NullLog
from trefoilhitch.http_server import (
    HttpServer,
    RequestHandlerFactory,
    SharedHandlerFactory,
)
from trefoilhitch.keyring import NewKey, create_key
from trefoilhitch.node import Node
from trefoilhitch.node_components import NodeContext
from trefoilhitch.platform_services import PlatformServices
from trefoilhitch.publisher import Publisher
from trefoilhitch.store import HttpObjectStore
from trefoilhitch_lab.deployment import Deployment
from trefoilhitch_lab.endpoint_server import (
    ControlRequestHandler,
    EndpointServer,
    StatementHandlerFactory,
)
from trefoilhitch_lab.fault_injection import FaultyPeerClients, faulty_platform
from trefoilhitch_lab.limits import PLATFORM_LIMITS
from trefoilhitch_lab.loopback import loopback_address, next_port
from trefoilhitch_lab.network import Network
from trefoilhitch_lab.object_api import ObjectApi
from trefoilhitch_lab.vm_list import VmListApi

FLEET_SECRET = 'lab-fleet-secret-0123456789'
READY_TIMEOUT_S = 15
READY_POLL_INTERVAL_S = 0.02
_KEY_NAME_BITS = 32
_SECRET_BITS = 128
_SALT_BITS = 64


class FailureCollector:
    """Collects unexpected exceptions, so that a run can fail on them."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.failures: list[Exception] = []

    def report(self, exc: Exception) -> None:
        """Add an unexpected exception.

        Args:
            exc: exception that was raised.

        """
        self.failures.append(exc)


@dataclass(slots=True)
class RunningNode:
    """A running node of the stack.

    Args:
        node: node object.
        ctx: its components.
        cancel_scope: cancelling it kills the node immediately.
        address: address that clients connect to.
        stopped: set when the node has stopped.

    """

    node: Node
    ctx: NodeContext
    cancel_scope: CancelScope
    address: str
    stopped: Event = field(default_factory=Event)


class Stack:
    """Simulated platform, endpoints and nodes of one deployment.

    Args:
        deployment: nodes, services and network to set up.
        seed: seed of all random choices.
        nursery: runs all tasks.
        create_log: creates the decision log of a node.

    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int,
        nursery: Nursery,
        create_log: Callable[[str], DecisionLog],
    ) -> None:
        """Create the simulated platform and network, without starting."""
        self.deployment = deployment
        self.random = Random(seed)
        self.store = ObjectApi()
        self.vm_list = VmListApi(lag_s=1)
        self.network = Network(
            latency=deployment.latency,
            random=Random(seed + 1),
        )
        self.endpoints: dict[str, EndpointServer] = {}
        self.nodes: dict[str, RunningNode] = {}
        self.keys: dict[str, NewKey] = {}
        self.reporter = FailureCollector()
        self._nursery = nursery
        self._create_log = create_log
        self._declared_endpoints: list[Endpoint] = []
        self._addresses: dict[str, str] = {}
        self._node_names: dict[str, str] = {}
        self._incarnation = 0

    async def start(self) -> None:
        """Start platform, endpoints and nodes, and wait until ready."""
        await self.start_platform()
        for name in self.deployment.nodes:
            self.start_node(name)
        await self.wait_until_ready()

    async def start_platform(self) -> None:
        """Start the platform and endpoints, and publish the configuration."""
        self._store_address = await self._start_server(
            SharedHandlerFactory(self.store)
        )
        self._vm_list_address = await self._start_server(
            SharedHandlerFactory(self.vm_list)
        )
        for service in self.deployment.services:
            for data_centre in self.deployment.regions:
                await self._start_endpoint(
                    f'{service}-{data_centre}', service, data_centre
                )
        for tenant in self.deployment.tenants:
            self.keys[tenant.name] = self._create_key(tenant.name)
        await self._publish_bundle()

    async def replace_endpoint(self, replaced: str, successor: str) -> None:
        """Declare an empty endpoint in place of one, which goes on running.

        Args:
            replaced: name of the endpoint that is declared no more.
            successor: name of the endpoint that starts in its data centre.

        """
        removed = next(
            each for each in self._declared_endpoints if each.name == replaced
        )
        self._declared_endpoints.remove(removed)
        await self._start_endpoint(
            successor, removed.service, removed.data_centre
        )
        await self._publish_bundle()

    def bundle(self) -> Bundle:
        """Return the configuration to publish."""
        return Bundle(
            services=[Service(name=name) for name in self.deployment.services],
            endpoints=self._declared_endpoints,
            organisations=[
                Organisation(name=each.name, rate=each.rate, burst=each.burst)
                for each in self.deployment.tenants
            ],
            keys=[new_key.key for new_key in self.keys.values()],
        )

    def start_node(self, name: str) -> RunningNode:
        """Start a node; the name of a stopped node may be used again.

        Args:
            name: node name.

        Returns:
            The running node.

        """
        cfg = self._node_settings(name)
        self._incarnation += 1
        ctx = NodeContext.from_settings(
            cfg,
            platform=faulty_platform(
                PlatformServices.from_settings(cfg),
                self.network,
                name,
            ),
            log=self._create_log(name),
            random=Random(self.random.random()),
            incarnation=self._incarnation,
        )
        self._node_names[f'{loopback_address()}:{cfg.node.peer_port}'] = name
        peers = FaultyPeerClients(
            auth=ctx.auth,
            network=self.network,
            node=name,
            node_names=self._node_names,
        )
        ctx = replace(ctx, peers=peers)
        running = RunningNode(
            Node(ctx),
            ctx,
            CancelScope(),
            f'{loopback_address()}:{cfg.node.port}',
        )
        self.nodes[name] = running
        self._publish_vm_list()
        self._nursery.start_soon(self._run_node, running)
        return running

    def kill_node(self, name: str) -> None:
        """Kill a node immediately, as if its VM had disappeared.

        Args:
            name: node name.

        """
        self.nodes.pop(name).cancel_scope.cancel()
        self._publish_vm_list()

    async def stop_node(self, name: str) -> None:
        """Stop a node gracefully and wait until it has stopped.

        Args:
            name: node name.

        """
        running = self.nodes.pop(name)
        self._publish_vm_list()
        running.node.stop()
        await running.stopped.wait()

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready and all services have a primary.

        Raises:
            TimeoutError: the stack did not become ready in time.

        """
        deadline = current_time() + READY_TIMEOUT_S
        while not self._is_ready():
            if current_time() > deadline:
                raise TimeoutError('the stack did not become ready')
            await sleep(READY_POLL_INTERVAL_S)

    def primary_of(self, service: str) -> EndpointServer | None:
        """Return the primary of a service, with the highest term.

        Args:
            service: service name.

        Returns:
            The endpoint, None if there is no primary.

        """
        primaries = [
            self.endpoints[each.name]
            for each in self._declared_endpoints
            if each.service == service
            and self.endpoints[each.name].role == 'primary'
        ]
        return max(primaries, key=lambda server: server.term, default=None)

    def group(self, service: str) -> list[EndpointServer]:
        """Return all endpoints of a service.

        Args:
            service: service name.

        Returns:
            The endpoints.

        """
        return [
            self.endpoints[each.name]
            for each in self._declared_endpoints
            if each.service == service
        ]

    def node_in_same_data_centre(self, endpoint: str) -> str:
        """Return a node in the data centre of an endpoint.

        Args:
            endpoint: endpoint name.

        Returns:
            Node name.

        """
        location = self.network.locations[endpoint]
        return next(
            name
            for name in self.nodes
            if self.network.locations[name] == location
        )

    def addresses(self) -> list[str]:
        """Return the client addresses of the nodes that are ready.

        Returns:
            Addresses to which a load balancer would send requests.

        """
        return [
            running.address
            for running in self.nodes.values()
            if running.node.is_ready()
        ]

    def _is_ready(self) -> bool:
        nodes = self.nodes.values()
        if not all(running.node.is_ready() for running in nodes):
            return False
        if any(
            self.primary_of(name) is None for name in self.deployment.services
        ):
            return False
        node_count = len(self.nodes)
        return all(
            len(running.ctx.membership.reachable()) >= node_count
            for running in nodes
        )

    async def _run_node(self, running: RunningNode) -> None:
        try:
            with running.cancel_scope:
                await running.node.run()
        finally:
            running.stopped.set()

    async def _publish_bundle(self) -> None:
        publisher = Publisher(HttpObjectStore(self._store_address))
        published = await publisher.current()
        await publisher.apply(
            self.bundle(),
            base=published.head.revision,
            operator='lab',
        )

    async def _start_endpoint(
        self, name: str, service: str, data_centre: str
    ) -> None:
        server = EndpointServer(
            name=name,
            slots=self.deployment.slots,
            network=self.network,
            nursery=self._nursery,
        )
        server.faults.connect_delay_s = self.deployment.connect_delay_s
        self.endpoints[name] = server
        self._set_location(name, data_centre)
        self._nursery.start_soon(server.apply_entries_forever)
        location = self.deployment.location(data_centre)
        self._declared_endpoints.append(
            Endpoint(
                name=name,
                service=service,
                region=location.region,
                data_centre=data_centre,
                address=await self._start_server(
                    StatementHandlerFactory(server)
                ),
                control=await self._start_server(
                    SharedHandlerFactory(ControlRequestHandler(server))
                ),
                slots=self.deployment.slots,
            ),
        )

    async def _start_server(self, factory: RequestHandlerFactory) -> str:
        server = HttpServer(
            factory=factory,
            reporter=self.reporter,
            limits=PLATFORM_LIMITS,
        )
        port = await server.listen(self._nursery, loopback_address(), 0)
        return f'{loopback_address()}:{port}'

    def _node_settings(self, name: str) -> Settings:
        data_centre = self.deployment.nodes[name]
        self._set_location(name, data_centre)
        return Settings(
            node=NodeSettings(
                name=name,
                region=self.deployment.regions[data_centre],
                data_centre=data_centre,
                address=loopback_address(),
                port=next_port(),
                peer_port=next_port(),
            ),
            platform=PlatformSettings(
                store=self._store_address,
                vm_list=self._vm_list_address,
            ),
            fleet=FleetSettings(secret=FLEET_SECRET),
            limits=LimitSettings(),
            log=LogSettings(),
        )

    def _set_location(self, name: str, data_centre: str) -> None:
        location = self.deployment.location(data_centre)
        self.network.locations = {**self.network.locations, name: location}

    def _publish_vm_list(self) -> None:
        self.vm_list.publish(
            [
                ListedVm(
                    name=name,
                    address=running.ctx.membership.identity.address,
                    region=running.ctx.membership.identity.region,
                    data_centre=running.ctx.membership.identity.data_centre,
                )
                for name, running in self.nodes.items()
            ]
        )

    def _create_key(self, organisation: str) -> NewKey:
        return create_key(
            organisation,
            name=f'k{self.random.getrandbits(_KEY_NAME_BITS):08x}',
            secret=f'{self.random.getrandbits(_SECRET_BITS):032x}',
            salt=f'{self.random.getrandbits(_SALT_BITS):016x}',
        )


@asynccontextmanager
async def running_stack(
    deployment: Deployment,
    *,
    seed: int = 1,
    create_log: Callable[[str], DecisionLog] | None = None,
) -> AsyncIterator[Stack]:
    """Run a deployment for the duration of a with block.

    Args:
        deployment: nodes, services and network to set up.
        seed: seed of all random choices.
        create_log: creates the decision log of a node; none by default.

    Yields:
        The stack, once it is ready.

    """
    async with open_nursery() as nursery:
        stack = Stack(
            deployment=deployment,
            seed=seed,
            nursery=nursery,
            create_log=create_log or (lambda _: NullLog()),
        )
        await stack.start()
        yield stack
        nursery.cancel_scope.cancel()
