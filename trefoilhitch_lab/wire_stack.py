"""Wire-protocol nodes and an emulated platform in one event loop."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Any

from trio import (
    CancelScope,
    Nursery,
    TaskStatus,
    current_time,
    open_nursery,
    sleep,
    sleep_forever,
)

from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch.decision_log import DecisionLog, NullLog
from trefoilhitch.http_message import HttpRequest, HttpResponse, RequestHandler
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.external_services import make_external_services
from trefoilhitch.platform.wire_server import WireServer
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.node import PoolerNode
from trefoilhitch.pooler.node_environment import ExternalServices, NodeRuntime
from trefoilhitch.pooler.options import default_options
from trefoilhitch.pooler.peer_dependencies import PEER_LIMITS
from trefoilhitch.pooler.ports import EndpointConnector
from trefoilhitch.pooler.rate_limit import RateRule
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch_lab.cut_connector import CutConnector, Cuts
from trefoilhitch_lab.limits import PLATFORM_LIMITS
from trefoilhitch_lab.loopback import loopback_address, next_port
from trefoilhitch_lab.platform_store import (
    PlatformStore,
    PromotionApi,
    StoreCopy,
    StoreState,
)
from trefoilhitch_lab.stack import FailureCollector
from trefoilhitch_lab.wire_group import WireGroup

# Operations that a rate window may admit beyond an organisation's limit.
RATE_SLACK = 20
RATE_RULE = RateRule(overage=0.1, slack=RATE_SLACK)
DATA_CENTRES = ('patan', 'lakeside', 'biratnagar')
SERVICE = 'ledger'
DATABASES = MappingProxyType(
    {
        'orders': 'primary',
        'stock': 'bounded_staleness',
        'visits': 'read_your_writes',
    }
)
MAX_STALENESS_MS = 1500
START_TIMEOUT_S = 20
DRAIN_TIMEOUT_S = 7
POLL_INTERVAL_S = 0.1
DEFAULT_RATE = 1000


@dataclass(slots=True)
class WireNode:
    """A node that runs in the stack.

    Args:
        cfg: settings of the node.
        node: the node itself.
        server: server of the client connections.
        store: the node's interface to the store, with its own faults.
        metrics: metrics of the node.
        cuts: what the node does not reach.
        scope: scope whose cancellation kills the node.

    """

    cfg: PoolerSettings
    node: PoolerNode
    server: WireServer
    store: PlatformStore
    metrics: Metrics
    cuts: Cuts = field(default_factory=Cuts)
    scope: CancelScope = field(default_factory=CancelScope)

    @property
    def address(self) -> str:
        """Address for client connections."""
        return self.cfg.client_address

    @property
    def cut_endpoints(self) -> set[str]:
        """Ids of the endpoints that the node does not reach."""
        return self.cuts.endpoints


def make_declaration(
    revision: int, *, rate: float = DEFAULT_RATE, **changes: Any
) -> dict[str, Any]:
    """Return a declaration of one service, three databases and two tenants.

    Args:
        revision: version number of the declaration.
        rate: operations per second of each organisation.
        changes: top-level fields to replace.

    Returns:
        The declaration in the platform's format.

    """
    routes = [
        {
            'name': f'r-{host}',
            'host': host,
            'type': kind,
            'timeout_ms': 1000,
            'target_latency_ms': 500,
            'service': SERVICE,
            'max_staleness_ms': MAX_STALENESS_MS,
        }
        for host, kind in DATABASES.items()
    ]
    tenants = [
        {
            'name': name,
            'api_keys': [f'key-{name}'],
            'rate_per_s': rate,
            'burst': rate,
        }
        for name in ('himal', 'hanbit')
    ]
    return {
        'config_version': revision,
        'routes': routes,
        'services': [
            {'name': SERVICE, 'max_connections': 30, 'sync_replicas': 1}
        ],
        'limits': {'header_timeout_ms': 3000, 'tx_idle_ms': 3000},
        'tenants': tenants,
        **changes,
    }


class WireStack:
    """Three data centres with one node and one endpoint each.

    Args:
        nursery: runs all servers and nodes.
        seed: seed of all random choices.
        log: log of the nodes.
        evacuation_timeout_s: time after which no statement may reach an
            evacuated data centre, in seconds; None without evacuations.

    """

    def __init__(
        self,
        nursery: Nursery,
        *,
        seed: int,
        log: DecisionLog,
        evacuation_timeout_s: float | None = None,
    ) -> None:
        """Prepare the stack; `start` starts it."""
        self.store_state = StoreState()
        self.group = WireGroup(SERVICE, on_role_change=self.register_endpoints)
        self.promotions = PromotionApi({SERVICE: self.group})
        self.nodes: dict[str, WireNode] = {}
        # Options of the nodes that are started from now on.
        self.options = default_options()
        # Capacities of the nodes' VMs, which are unknown by default.
        self.capacities: Mapping[str, int] = MappingProxyType({})
        # While set, no node answers another one.
        self.peers_cut = False
        # Names of the nodes that answer no other node.
        self.silent_peers: set[str] = set()
        # Ids of the endpoints that write no entries.
        self.unlisted: set[str] = set()
        # State in an endpoint's entry by id, 'ready' if it is not contained.
        self.entry_states: dict[str, str] = {}
        self._nursery = nursery
        self._random = Random(seed)
        self._log = log
        self._evacuation_timeout_s = evacuation_timeout_s
        self._promotion_address = ''
        self._start_count = 0
        self._ports: dict[str, tuple[int, int]] = {}

    async def start(self, *, nodes: int = 3) -> None:
        """Start the platform and the nodes, and wait until all are ready.

        Args:
            nodes: number of nodes.

        """
        await self.group.start(self._nursery, DATA_CENTRES)
        self.register_endpoints()
        self._promotion_address = await self._serve(self.promotions)
        self.store_state.put('config', 'main', make_declaration(1))
        for number in range(nodes):
            await self.start_node(f'node-{number}')
        await self.wait_until_ready()

    def register_endpoints(self) -> None:
        """Write the entries of all endpoints that write entries."""
        for name in self.group.endpoints:
            if name not in self.unlisted:
                self.store_state.put('servers', name, self.endpoint_entry(name))

    def restore_store(self, copy: StoreCopy) -> None:
        """Restore the store; operators and endpoints write again.

        Args:
            copy: copy of the store.

        """
        lost = self.store_state.objects_by_kind
        self.store_state.restore(copy)
        for kind in ('config', 'servers'):
            for name, stored in lost[kind].items():
                self.store_state.put(kind, name, stored['spec'])

    def endpoint_entry(self, endpoint: str, **changes: Any) -> dict[str, Any]:
        """Return the registration entry of an endpoint.

        Args:
            endpoint: id of the endpoint.
            changes: fields to replace.

        Returns:
            The entry.

        """
        server = self.group.endpoints[endpoint]
        return {
            'service': SERVICE,
            'address': server.address,
            'zone': server.data_centre,
            'config_version': 'v1',
            'capacity': 5,
            'state': self.entry_states.get(endpoint, 'ready'),
            'cold_remaining_ms': 0,
            'db_role': 'primary' if server.is_primary else 'replica',
            'sequence': 1,
            'born': server.started_at_ms,
            **changes,
        }

    async def start_node(self, name: str) -> WireNode:
        """Start or restart a node.

        Args:
            name: name of the node; a restarted node reuses its addresses.

        Returns:
            The node.

        """
        self._start_count += 1
        store = PlatformStore(self.store_state)
        cfg = self._settings(name, await self._serve(store))
        runtime = NodeRuntime(
            log=self._log,
            metrics=Metrics(),
            random=Random(self._random.random()),
            clock=current_time,
            incarnation=self._start_count,
        )
        running = self._make_node(cfg, store, runtime)
        self.nodes[name] = running
        await self._nursery.start(self._run_node, running)
        return running

    def kill_node(self, name: str) -> None:
        """Kill a node without a graceful shutdown.

        Args:
            name: name of the node.

        """
        self.nodes.pop(name).scope.cancel()

    async def wait_until_ready(self) -> None:
        """Wait until every node is ready.

        Raises:
            TimeoutError: a node was not ready within START_TIMEOUT_S.

        """
        deadline = current_time() + START_TIMEOUT_S
        while not all(each.node.ready for each in self.nodes.values()):
            if current_time() > deadline:
                raise TimeoutError('a node did not become ready in time')
            await sleep(POLL_INTERVAL_S)

    def _make_node(
        self, cfg: PoolerSettings, store: PlatformStore, runtime: NodeRuntime
    ) -> WireNode:
        cuts = Cuts()
        external = _make_cuttable(make_external_services(cfg, runtime), cuts)
        node = PoolerNode(cfg, external, runtime)
        server = WireServer(node.sessions)
        return WireNode(cfg, node, server, store, runtime.metrics, cuts)

    async def _run_node(
        self, running: WireNode, task_status: TaskStatus[None]
    ) -> None:
        with running.scope:
            async with open_nursery() as nursery:
                peers = SharedHandlerFactory(
                    _CuttablePeerHandler(
                        self, running.cfg.node, running.node.peer_handler
                    )
                )
                server = HttpServer(
                    factory=peers,
                    reporter=FailureCollector(),
                    limits=PEER_LIMITS,
                )
                host, _, port = running.cfg.peer_address.rpartition(':')
                await server.listen(nursery, host, int(port))
                await running.server.listen(nursery, running.address)
                running.node.start(nursery)
                task_status.started()

    async def _serve(self, request_handler: RequestHandler) -> str:
        server = HttpServer(
            factory=SharedHandlerFactory(request_handler),
            reporter=FailureCollector(),
            limits=PLATFORM_LIMITS,
        )
        address = loopback_address()
        port = await server.listen(self._nursery, address, 0)
        return f'{address}:{port}'

    def _settings(self, name: str, store_address: str) -> PoolerSettings:
        ports = self._ports.setdefault(name, (next_port(), next_port()))
        number = int(name.rpartition('-')[2])
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        address = loopback_address()
        return PoolerSettings(
            node=name,
            region=data_centre,
            data_centre=data_centre,
            regions={each: each for each in DATA_CENTRES},
            client_address=f'{address}:{ports[0]}',
            health_address=f'{address}:0',
            peer_address=f'{address}:{ports[1]}',
            seeds=tuple(each.cfg.peer_address for each in self.nodes.values()),
            store_address=store_address,
            promotion_address=self._promotion_address,
            shutdown_timeout_s=6,
            drain_timeout_s=DRAIN_TIMEOUT_S,
            max_sockets=1000,
            rate_rule=RATE_RULE,
            capacity=self.capacities.get(name, 0),
            options=self.options,
            evacuation_timeout_s=self._evacuation_timeout_s,
        )


class _CuttablePeerHandler:
    """Answers other nodes unless the nodes are cut off from each other.

    Args:
        stack: stack of the node.
        name: name of the node.
        request_handler: handler of the node.

    """

    def __init__(
        self, stack: WireStack, name: str, request_handler: RequestHandler
    ) -> None:
        """Wrap a handler."""
        self._stack = stack
        self._name = name
        self._request_handler = request_handler

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Answer a request, or never while the node is cut off."""
        if self._stack.peers_cut or self._name in self._stack.silent_peers:
            await sleep_forever()
        return await self._request_handler.respond(req)


def _make_cuttable(external: ExternalServices, cuts: Cuts) -> ExternalServices:
    return replace(
        external,
        make_connector=partial(
            _connect_unless_cut, external.make_connector, cuts
        ),
    )


def _connect_unless_cut(
    make_connector: Callable[
        [Callable[[str], EndpointRecord | None]], EndpointConnector
    ],
    cuts: Cuts,
    find_record: Callable[[str], EndpointRecord | None],
) -> EndpointConnector:
    return CutConnector(make_connector(find_record), cuts)


@asynccontextmanager
async def running_wire_stack(
    *,
    seed: int = 1,
    nodes: int = 3,
    log: DecisionLog | None = None,
    options: PoolerOptions | None = None,
    capacities: Mapping[str, int] | None = None,
    evacuation_timeout_s: float | None = None,
) -> AsyncIterator[WireStack]:
    """Run a stack, and stop it at the end of the block.

    Args:
        seed: seed of all random choices.
        nodes: number of nodes.
        log: log of the nodes; by default nothing is logged.
        options: options of the nodes; by default those of a node without an
            options file.
        capacities: capacities of VMs by node, in thousandths of a core; by
            default they are unknown.
        evacuation_timeout_s: time after which no statement may reach an
            evacuated data centre, in seconds; None without evacuations.

    Yields:
        The stack with all nodes ready.

    """
    async with open_nursery() as nursery:
        stack = WireStack(
            nursery,
            seed=seed,
            log=log or NullLog(),
            evacuation_timeout_s=evacuation_timeout_s,
        )
        stack.options = options or stack.options
        stack.capacities = capacities or stack.capacities
        await stack.start(nodes=nodes)
        yield stack
        nursery.cancel_scope.cancel()
