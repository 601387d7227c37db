"""Cost of a statement on a node, compared to a direct endpoint connection."""

from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from socket import create_connection

from msgspec import Struct
from trio import sleep

from trefoilhitch._generated.endpoint import StatusReply
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.endpoint_client import HttpEndpointControl
from trefoilhitch_lab.load_generator import (
    CREATE_SQL,
    FILL_SQL,
    PRODUCT_COUNT,
    TIMEOUT_MS,
    EndpointTarget,
    LoadGenerator,
    LoadReport,
    NodeTarget,
    ProcessUsage,
    Target,
)

IDLE_CONNECTION_COUNT = 500
SETTLE_S = 1.0
WARM_UP_S = 2.0
_BYTES_PER_KB = 1024


class CostReport(Struct, frozen=True, kw_only=True):
    """Resource use of a node and of an endpoint under the same load.

    Args:
        node: load through a node that also owns the service.
        direct: load sent directly to the endpoint.
        idle_cpu_share: share of a CPU core used by the node without load.
        connection_bytes: memory of the node per idle connection.

    """

    node: LoadReport
    direct: LoadReport
    idle_cpu_share: float
    connection_bytes: int


@dataclass(frozen=True, slots=True)
class CostMeasurement:
    """A cost measurement of one node.

    Args:
        address: client address of the node.
        key: API key of an organisation.
        endpoints: endpoints of the service.
        node_pid: process id of the node.
        platform_pid: process id of the simulated platform.
        rate: statements per second.
        seconds: duration of each load.
        connections: number of connections that send the load.
        seed: seed of all random choices.

    """

    address: str
    key: str
    endpoints: Sequence[Endpoint]
    node_pid: int
    platform_pid: int
    rate: float
    seconds: float
    connections: int
    seed: int

    async def measure(self) -> CostReport:
        """Measure the node first, then the endpoint.

        Returns:
            Measured resource use.

        """
        idle = await self._measure_idle_cpu_share()
        node = await self._measure_node()
        direct = await self._measure_load(
            'endpoint',
            await self._create_direct_targets(),
            self.platform_pid,
        )
        return CostReport(
            node=node,
            direct=direct,
            idle_cpu_share=idle,
            connection_bytes=await self._measure_connection_bytes(),
        )

    async def _measure_node(self) -> LoadReport:
        target = self._create_node_target()
        await target.execute(CREATE_SQL, [])
        await target.execute(FILL_SQL, [PRODUCT_COUNT])
        targets = [self._create_node_target() for _ in range(self.connections)]
        return await self._measure_load('node', targets, self.node_pid)

    async def _measure_load(
        self,
        name: str,
        targets: Sequence[Target],
        pid: int,
    ) -> LoadReport:
        await LoadGenerator(self.rate, WARM_UP_S, self.seed).run(targets)
        load = LoadGenerator(self.rate, self.seconds, self.seed)
        before = ProcessUsage.read(pid)
        await load.run(targets)
        return load.report(name, before, ProcessUsage.read(pid))

    async def _measure_idle_cpu_share(self) -> float:
        await sleep(SETTLE_S)
        before = ProcessUsage.read(self.node_pid)
        await sleep(self.seconds)
        after = ProcessUsage.read(self.node_pid)
        return round((after.cpu_s - before.cpu_s) / self.seconds, 4)

    async def _measure_connection_bytes(self) -> int:
        before = ProcessUsage.read(self.node_pid)
        with _idle_connections(self.address):
            await sleep(SETTLE_S)
            after = ProcessUsage.read(self.node_pid)
        grown_kb = after.memory_kb - before.memory_kb
        return grown_kb * _BYTES_PER_KB // IDLE_CONNECTION_COUNT

    async def _create_direct_targets(self) -> list[EndpointTarget]:
        primary, status = await self._find_primary()
        return [
            EndpointTarget(primary.address, status.term)
            for _ in range(primary.slots - 1)
        ]

    async def _find_primary(self) -> tuple[Endpoint, StatusReply]:
        for endpoint in self.endpoints:
            control = HttpEndpointControl(endpoint.control)
            status = await control.status(deadline_after_ms(TIMEOUT_MS))
            if status.role == 'primary':
                return endpoint, status
        raise LookupError('no endpoint reports the role primary')

    def _create_node_target(self) -> NodeTarget:
        service = self.endpoints[0].service
        return NodeTarget(self.address, key=self.key, service=service)


@contextmanager
def _idle_connections(address: str) -> Iterator[None]:
    host, _, port = address.rpartition(':')
    with ExitStack() as stack:
        for _ in range(IDLE_CONNECTION_COUNT):
            stack.enter_context(create_connection((host, int(port))))
        yield
