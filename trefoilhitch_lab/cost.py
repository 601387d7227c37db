"""What a statement costs a node, beside the same load on an endpoint."""

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
from trefoilhitch_lab.load import (
    CREATE_SQL,
    FILL_SQL,
    PRODUCTS,
    TIMEOUT_MS,
    EndpointTarget,
    Load,
    LoadReport,
    NodeTarget,
    ProcessUse,
    Target,
)

IDLE_CONNECTIONS = 500
SETTLE_S = 1.0
WARM_UP_S = 2.0
_BYTES_PER_KB = 1024


class CostReport(Struct, frozen=True, kw_only=True):
    """What a node and an endpoint used for the same load.

    Args:
        node: the load through a node that is entry and owner.
        direct: the load straight to the endpoint.
        idle_cpu_share: share of a core that the node used without load.
        connection_bytes: memory of the node for each idle connection.

    """

    node: LoadReport
    direct: LoadReport
    idle_cpu_share: float
    connection_bytes: int


@dataclass(frozen=True, slots=True)
class CostRun:
    """A measurement of one node.

    Args:
        address: callers' address of the node.
        key: key of an organisation.
        endpoints: endpoints of the service.
        node_pid: process id of the node.
        platform_pid: process id of the stand-ins.
        rate: statements a second.
        seconds: length of each load.
        connections: connections that carry the load.
        seed: all random choices follow from it.

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
        """Measure, first the node, then the endpoint.

        Returns:
            The report.

        """
        idle = await self._idle_share()
        node = await self._node_load()
        direct = await self._load(
            'endpoint',
            await self._direct_targets(),
            self.platform_pid,
        )
        return CostReport(
            node=node,
            direct=direct,
            idle_cpu_share=idle,
            connection_bytes=await self._connection_bytes(),
        )

    async def _node_load(self) -> LoadReport:
        target = self._node_target()
        await target.execute(CREATE_SQL, [])
        await target.execute(FILL_SQL, [PRODUCTS])
        targets = [self._node_target() for _ in range(self.connections)]
        return await self._load('node', targets, self.node_pid)

    async def _load(
        self,
        name: str,
        targets: Sequence[Target],
        pid: int,
    ) -> LoadReport:
        await Load(self.rate, WARM_UP_S, self.seed).run(targets)
        load = Load(self.rate, self.seconds, self.seed)
        before = ProcessUse.of(pid)
        await load.run(targets)
        return load.report(name, before, ProcessUse.of(pid))

    async def _idle_share(self) -> float:
        await sleep(SETTLE_S)
        before = ProcessUse.of(self.node_pid)
        await sleep(self.seconds)
        after = ProcessUse.of(self.node_pid)
        return round((after.cpu_s - before.cpu_s) / self.seconds, 4)

    async def _connection_bytes(self) -> int:
        before = ProcessUse.of(self.node_pid)
        with _idle_connections(self.address):
            await sleep(SETTLE_S)
            after = ProcessUse.of(self.node_pid)
        grown_kb = after.memory_kb - before.memory_kb
        return grown_kb * _BYTES_PER_KB // IDLE_CONNECTIONS

    async def _direct_targets(self) -> list[EndpointTarget]:
        primary, status = await self._primary()
        return [
            EndpointTarget(primary.address, status.term)
            for _ in range(primary.slots - 1)
        ]

    async def _primary(self) -> tuple[Endpoint, StatusReply]:
        for endpoint in self.endpoints:
            control = HttpEndpointControl(endpoint.control)
            status = await control.status(deadline_after_ms(TIMEOUT_MS))
            if status.role == 'primary':
                return endpoint, status
        raise LookupError('no endpoint is primary')

    def _node_target(self) -> NodeTarget:
        service = self.endpoints[0].service
        return NodeTarget(self.address, key=self.key, service=service)


@contextmanager
def _idle_connections(address: str) -> Iterator[None]:
    host, _, port = address.rpartition(':')
    with ExitStack() as opened:
        for _ in range(IDLE_CONNECTIONS):
            opened.enter_context(create_connection((host, int(port))))
        yield
