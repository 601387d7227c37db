"""A node: all its parts on one trio loop, from start to graceful shutdown."""

from trio import Event, Nursery, current_time, open_nursery, sleep

from trefoilhitch._generated.peer import NodeStatus
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.http_server import HttpServer
from trefoilhitch.node_parts import NodeContext, NodeParts

SWEEP_INTERVAL_S = 0.25
PUBLISH_INTERVAL_S = 0.5
LEAVING_NOTICE_S = 1.0
DRAIN_POLL_S = 0.05
_MEDIAN = 0.5
_TAIL = 0.99


class Node:
    """Serves callers and other nodes until it is told to stop.

    Args:
        ctx: settings, the platform, and what the parts share.

    """

    def __init__(self, ctx: NodeContext) -> None:
        """Keep the context; `run` builds the parts."""
        self.started = Event()
        self._ctx = ctx
        self._limits = ctx.cfg.limits
        self._stop = Event()

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    def is_ready(self) -> bool:
        """Tell whether the node can serve callers.

        Returns:
            True if it has a configuration and is not leaving.

        """
        return (
            bool(self._ctx.config.current.revision) and not self._stop.is_set()
        )

    async def run(self) -> None:
        """Serve until stopped, then drain."""
        async with open_nursery() as nursery:
            parts = NodeParts.from_context(
                self._ctx,
                nursery=nursery,
                status=self.status,
                is_ready=self.is_ready,
            )
            self._server = parts.public
            await self._listen(parts, nursery)
            self._start_loops(parts, nursery)
            self._ctx.log.event('started', node=self._ctx.cfg.node.name)
            self.started.set()
            await self._stop.wait()
            await self._drain(parts)
            nursery.cancel_scope.cancel()
        self._ctx.log.event('stopped')

    def status(self) -> NodeStatus:
        """Return what the node says of itself.

        Returns:
            The status.

        """
        ctx = self._ctx
        identity = ctx.fleet.identity
        return NodeStatus(
            node=identity.node,
            data_centre=identity.data_centre,
            incarnation=identity.incarnation,
            state=ctx.fleet.state,
            revision=ctx.config.current.revision,
            connections=self._server.connections,
            requests=ctx.metrics.total('requests'),
            refusals=ctx.metrics.total('refusals'),
            p50_ms=ctx.metrics.latency_ms(_MEDIAN),
            p99_ms=ctx.metrics.latency_ms(_TAIL),
            owned=self._owned(),
            members=ctx.fleet.reachable(),
        )

    async def _listen(self, parts: NodeParts, nursery: Nursery) -> None:
        node = self._ctx.cfg.node
        await parts.peer.listen(nursery, node.address, node.peer_port)
        await parts.public.listen(nursery, node.address, node.port)

    def _start_loops(self, parts: NodeParts, nursery: Nursery) -> None:
        random = self._ctx.random
        nursery.start_soon(parts.heartbeats.run, nursery)
        nursery.start_soon(parts.heartbeats.follow_list)
        nursery.start_soon(parts.sync.follow_peers)
        nursery.start_soon(parts.sync.watch_store, random)
        nursery.start_soon(parts.monitors.run, nursery, random)
        nursery.start_soon(self._sweep, parts)
        nursery.start_soon(self._publish, parts)

    async def _sweep(self, parts: NodeParts) -> None:
        while True:
            await sleep(SWEEP_INTERVAL_S)
            parts.slots.sweep(self._owns)
            parts.owner.sweep()

    async def _publish(self, parts: NodeParts) -> None:
        while True:
            await sleep(PUBLISH_INTERVAL_S)
            await parts.promoter.publish_pending()

    async def _drain(self, parts: NodeParts) -> None:
        """Hand ownership over, finish what runs, then close."""
        self._ctx.log.event('draining')
        deadline = deadline_after_ms(self._limits.drain_ms)
        self._ctx.fleet.state = 'leaving'
        parts.public.drain()
        parts.owner.leave()
        await sleep(LEAVING_NOTICE_S)
        await _finish_transactions(parts, deadline)
        for server in (parts.public, parts.peer):
            await _stop_server(server, deadline)
        parts.owner.close()
        await parts.promoter.publish_pending()

    def _owned(self) -> list[str]:
        cfg = self._ctx.config.current
        return [
            name for name, each in cfg.endpoints.items() if self._owns(each)
        ]

    def _owns(self, endpoint: Endpoint) -> bool:
        fleet = self._ctx.fleet
        return fleet.owner_of(endpoint) == fleet.identity.node


async def _finish_transactions(parts: NodeParts, deadline: float) -> None:
    while parts.owner.open_transactions and current_time() < deadline:
        await sleep(DRAIN_POLL_S)


async def _stop_server(server: HttpServer, deadline: float) -> None:
    server.stop()
    while server.connections and current_time() < deadline:
        await sleep(DRAIN_POLL_S)
