"""A node: its lifecycle from start to graceful shutdown on one trio loop."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from trio import (
    Event,
    Nursery,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
)

from trefoilhitch._generated.peer import MemberBeat, NodeStatus
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.http_server import HttpServer
from trefoilhitch.node_components import NodeComponents, NodeContext
from trefoilhitch.round_starter import RoundStarter
from trefoilhitch.task_supervisor import TaskSupervisor

JOIN_TIMEOUT_S = 2.0
SWEEP_INTERVAL_S = 0.25
PUBLISH_INTERVAL_S = 0.5
LEAVING_PROPAGATION_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
_P50_QUANTILE = 0.5
_P99_QUANTILE = 0.99


class Node:
    """Serves clients and other nodes until it is stopped.

    Args:
        ctx: settings and shared components.

    """

    def __init__(self, ctx: NodeContext) -> None:
        """Store the context; `run` builds the components."""
        self.started = Event()
        self._ctx = ctx
        self._limits = ctx.cfg.limits
        self._stop = Event()

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    def is_ready(self) -> bool:
        """Return whether the node can serve clients.

        Returns:
            True if it has a configuration, is not leaving, and is not cut off
            from all other nodes.

        """
        configured = bool(self._ctx.config.current.revision)
        serving = self.started.is_set() and not self._stop.is_set()
        return configured and serving and not self._ctx.membership.is_isolated()

    async def run(self) -> None:
        """Serve until stopped, then drain."""
        ctx = self._ctx
        async with open_nursery() as nursery:
            rounds = RoundStarter(nursery, log=ctx.log, metrics=ctx.metrics)
            components = NodeComponents.from_context(
                ctx,
                nursery=rounds,
                status=self.status,
                stop=self.stop,
                is_ready=self.is_ready,
            )
            self._server = components.public_server
            try:
                await self._serve(components, nursery, rounds)
            finally:
                components.owner.close()
            nursery.cancel_scope.cancel()
        self._ctx.log.event('stopped')

    def status(self) -> NodeStatus:
        """Return the status of the node.

        Returns:
            Its identity, state, request counts, latencies and members.

        """
        ctx = self._ctx
        identity = ctx.membership.identity
        return NodeStatus(
            node=identity.node,
            data_centre=identity.data_centre,
            incarnation=identity.incarnation,
            state=ctx.membership.state,
            revision=ctx.config.current.revision,
            connections=self._server.connections,
            requests=ctx.metrics.total('requests'),
            refusals=ctx.metrics.total('refusals'),
            p50_ms=ctx.metrics.latency_ms(_P50_QUANTILE),
            p99_ms=ctx.metrics.latency_ms(_P99_QUANTILE),
            owned=self._owned(),
            members=self._members(),
        )

    async def _serve(
        self,
        components: NodeComponents,
        nursery: Nursery,
        rounds: RoundStarter,
    ) -> None:
        await self._join(components, nursery, rounds)
        await self._start(components, nursery, rounds)
        await self._stop.wait()
        await self._drain(components)

    async def _join(
        self,
        components: NodeComponents,
        nursery: Nursery,
        rounds: RoundStarter,
    ) -> None:
        """Wait for the first heartbeat response before accepting work.

        A node without known peers would consider itself the owner of every
        endpoint.
        """
        node = self._ctx.cfg.node
        await components.peer_server.listen(
            nursery, node.address, node.peer_port
        )
        heartbeats = components.heartbeats
        config_sync = components.config_sync
        self._supervise(
            nursery,
            {
                'poll_vm_list': heartbeats.poll_vm_list,
                'heartbeats': partial(heartbeats.run, rounds),
                'follow_peers': config_sync.follow_peers,
                'watch_store': partial(
                    config_sync.watch_store, self._ctx.random
                ),
            },
        )
        with move_on_after(JOIN_TIMEOUT_S):
            await components.heartbeats.joined.wait()

    async def _start(
        self,
        components: NodeComponents,
        nursery: Nursery,
        rounds: RoundStarter,
    ) -> None:
        node = self._ctx.cfg.node
        self._supervise(
            nursery,
            {
                'monitors': partial(
                    components.monitors.run, rounds, self._ctx.random
                ),
                'sweep': partial(self._sweep, components),
                'publish': partial(self._publish, components),
            },
        )
        await components.public_server.listen(nursery, node.address, node.port)
        self._ctx.log.event('started', members=len(self._members()))
        self.started.set()

    def _supervise(
        self,
        nursery: Nursery,
        tasks: Mapping[str, Callable[[], Awaitable[None]]],
    ) -> None:
        ctx = self._ctx
        supervisor = TaskSupervisor(ctx.log, ctx.metrics, ctx.random)
        for name, task in tasks.items():
            nursery.start_soon(supervisor.run, name, task)

    async def _sweep(self, components: NodeComponents) -> None:
        while True:
            await sleep(SWEEP_INTERVAL_S)
            components.pools.sweep(self._owns)
            components.owner.sweep()

    async def _publish(self, components: NodeComponents) -> None:
        while True:
            await sleep(PUBLISH_INTERVAL_S)
            await components.promoter.publish_pending()

    async def _drain(self, components: NodeComponents) -> None:
        """Hand over ownership, finish open transactions, then stop serving."""
        self._ctx.log.event('draining')
        deadline = deadline_after_ms(self._limits.drain_ms)
        self._ctx.membership.state = 'leaving'
        components.public_server.drain()
        components.owner.begin_shutdown()
        await sleep(LEAVING_PROPAGATION_S)
        await _finish_transactions(components, deadline)
        for server in (components.public_server, components.peer_server):
            await _stop_server(server, deadline)
        await components.promoter.publish_pending()

    def _members(self) -> list[MemberBeat]:
        return self._ctx.membership.reachable()

    def _owned(self) -> list[str]:
        cfg = self._ctx.config.current
        return [
            name for name, each in cfg.endpoints.items() if self._owns(each)
        ]

    def _owns(self, endpoint: Endpoint) -> bool:
        membership = self._ctx.membership
        return membership.owner_of(endpoint) == membership.identity.node


async def _finish_transactions(
    components: NodeComponents, deadline: float
) -> None:
    while components.owner.open_transactions and current_time() < deadline:
        await sleep(DRAIN_POLL_INTERVAL_S)


async def _stop_server(server: HttpServer, deadline: float) -> None:
    server.stop()
    while server.connections and current_time() < deadline:
        await sleep(DRAIN_POLL_INTERVAL_S)
