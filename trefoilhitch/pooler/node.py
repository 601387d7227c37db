"""A pooler node: startup, background tasks and shutdown."""

import math

from trio import Nursery, current_time, sleep

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.failover_plan import FailoverDependencies
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.lease_restorer import (
    LeaseRestorer,
    LeaseRestorerDependencies,
)
from trefoilhitch.pooler.lifecycle import DrainPlan, Readiness
from trefoilhitch.pooler.monitor import Monitor, MonitorDependencies
from trefoilhitch.pooler.node_environment import ExternalServices, NodeRuntime
from trefoilhitch.pooler.node_parts import NodeParts
from trefoilhitch.pooler.peer_request_handler import PeerRequestHandler
from trefoilhitch.pooler.session_manager import SessionManager
from trefoilhitch.pooler.settings import PoolerSettings

REGISTER_TIMEOUT_S = 1.5
REGISTER_RETRY_PAUSE_S = 0.7
# When all nodes start at the same time, the first listing lacks most of them.
SECOND_LISTING_PAUSE_S = 5.0
HOUSEKEEPING_INTERVAL_S = 0.5
# How long a node leaves failovers to others after one failed for want of the
# store.
STORE_LOST_S = 3.0
# Sockets that are not available to client sessions.
RESERVED_SOCKETS = 200


class PoolerNode:
    """One pooler node.

    Args:
        cfg: settings of the node.
        external: access to systems outside the process.
        runtime: log, metrics, clock and random source.

    """

    def __init__(
        self,
        cfg: PoolerSettings,
        external: ExternalServices,
        runtime: NodeRuntime,
    ) -> None:
        """Create and connect the components."""
        self._cfg = cfg
        self._external = external
        self._runtime = runtime
        self._registered = False
        self._store_lost_until = -math.inf
        self._parts = NodeParts(cfg, external, runtime)
        self._membership = self._parts.state.membership
        self.sessions = SessionManager(
            self._parts.sessions,
            max_sessions=max(1, cfg.max_sockets - RESERVED_SOCKETS),
            can_serve=lambda: self._can_serve,
        )
        self._parts.state.declaration.add_listener(self._on_catalogue)

    @property
    def peer_handler(self) -> PeerRequestHandler:
        """Answers requests of other nodes."""
        return self._parts.peer_handler

    @property
    def members(self) -> list[MemberBeat]:
        """States of the live nodes that this one knows."""
        return self._membership.live()

    @property
    def serves_other_nodes(self) -> bool:
        """Whether a statement or transaction of another node is open."""
        return not self._parts.gateway.is_idle

    @property
    def ready(self) -> bool:
        """Whether the node accepts new clients."""
        return Readiness(
            has_declaration=self._parts.state.declaration.catalogue is not None,
            has_endpoints=self._parts.store_sync.endpoints_listed,
            is_stopping=self.sessions.drain_plan is not None,
        ).is_ready

    def start(self, nursery: Nursery) -> None:
        """Start the background tasks.

        Args:
            nursery: runs the tasks.

        """
        parts = self._parts
        nursery.start_soon(parts.state.client.run)
        nursery.start_soon(parts.store_sync.run)
        nursery.start_soon(self._register)
        nursery.start_soon(parts.leases.run)
        nursery.start_soon(parts.peer_sync.run)
        nursery.start_soon(self._run_housekeeping)
        nursery.start_soon(self._make_monitor().run)

    def begin_stop(self) -> DrainPlan:
        """Stop accepting new clients.

        Returns:
            The deadlines of the shutdown.

        """
        plan = DrainPlan.from_signal(
            current_time(), self._cfg.shutdown_timeout_s
        )
        self.sessions.drain_plan = plan
        self._membership.mark_leaving()
        self._parts.peer_sync.start_publishing()
        self._runtime.log.event(
            'stop_began', end_in_s=self._cfg.shutdown_timeout_s
        )
        return plan

    def decline_other_nodes(self) -> None:
        """Decline further statements of other nodes, which choose another."""
        self._parts.gateway.is_draining = True

    def end_transactions(self) -> None:
        """Roll back the open transactions of other nodes."""
        self._parts.gateway.discard_all()

    async def finish_stop(self) -> None:
        """Remove this node's registry entry."""
        deadline = current_time() + REGISTER_RETRY_PAUSE_S
        try:
            await self._external.registry.deregister(self._cfg.node, deadline)
        except StoreError as exc:
            self._runtime.log.event('deregister_failed', detail=str(exc))

    @property
    def _can_serve(self) -> bool:
        return (
            self._parts.state.declaration.catalogue is not None
            and self._parts.store_sync.endpoints_listed
        )

    async def _register(self) -> None:
        while not self._registered:
            try:
                await self._attempt_registration()
            except StoreError as exc:
                self._runtime.log.event('register_failed', detail=str(exc))
                await sleep(REGISTER_RETRY_PAUSE_S)
        await self._list_nodes_again()

    async def _attempt_registration(self) -> None:
        deadline = current_time() + REGISTER_TIMEOUT_S
        registry = self._external.registry
        self._merge_nodes(await registry.list_nodes(deadline))
        await registry.register(self._membership.heartbeat, deadline)
        self._registered = True

    async def _list_nodes_again(self) -> None:
        """Learn of the nodes that started at the same time."""
        await sleep(SECOND_LISTING_PAUSE_S)
        deadline = current_time() + REGISTER_TIMEOUT_S
        try:
            nodes = await self._external.registry.list_nodes(
                deadline, may_be_stale=True
            )
        except StoreError as exc:
            self._runtime.log.event('nodes_unread', detail=str(exc))
            return
        self._membership.merge(nodes)
        self._parts.state.rates.refresh()

    def _merge_nodes(self, nodes: list[MemberBeat]) -> None:
        self._membership.merge(nodes)
        for heartbeat in nodes:
            if heartbeat.node == self._cfg.node:
                own_incarnation = self._membership.heartbeat.incarnation
                self._membership.set_incarnation(
                    max(own_incarnation, heartbeat.incarnation + 1)
                )
        self._membership.nodes_listed = True
        self._parts.state.rates.refresh()

    async def _run_housekeeping(self) -> None:
        parts = self._parts
        while True:
            await sleep(HOUSEKEEPING_INTERVAL_S)
            for node in self._membership.expire():
                self._runtime.log.event('node_failed', peer=node)
            self._membership.mark_store_lost(
                lost=parts.store_sync.is_store_lost
                or current_time() < self._store_lost_until
            )
            self._parts.state.rates.refresh()
            parts.state.pool.trim()
            parts.gateway.discard_expired()
            parts.store_sync.remove_lost_endpoints()

    def _report_store_lost(self) -> None:
        self._store_lost_until = current_time() + STORE_LOST_S
        self._membership.mark_store_lost(lost=True)

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        self._parts.state.rates.apply_catalogue(catalogue)
        self._runtime.log.event(
            'declaration_in_force',
            revision=catalogue.revision,
            routes=len(catalogue.routes),
            keys=len(catalogue.keys),
            rates={
                each.name: (each.rate_per_s, each.burst)
                for each in catalogue.organisations.values()
            },
        )
        self._parts.state.cluster.notify_change()

    def _make_monitor(self) -> Monitor:
        parts = self._parts
        failover = FailoverDependencies(
            node=self._cfg.node,
            cluster=parts.state.cluster,
            control=parts.control,
            leases=LeaseClient(self._external.leases),
            store_era=self._external.era,
            promoter=self._external.promoter,
            sync_replicas=parts.sync_replicas,
            log=self._runtime.log,
            metrics=self._runtime.metrics,
        )
        return Monitor(
            MonitorDependencies(
                failover=failover,
                confirmer=parts.confirmer,
                leases=parts.leases,
                restorer=self._make_lease_restorer(failover),
                live_nodes=self._membership.live,
                members_version=lambda: self._membership.version,
                confirm_silence=parts.peer_sync.confirm_silence,
                publish=parts.peer_sync.start_publishing,
                report_store_lost=self._report_store_lost,
            )
        )

    def _make_lease_restorer(
        self, failover: FailoverDependencies
    ) -> LeaseRestorer:
        return LeaseRestorer(
            LeaseRestorerDependencies(
                node=failover.node,
                cluster=failover.cluster,
                control=failover.control,
                confirmer=self._parts.confirmer,
                leases=failover.leases,
                store_era=failover.store_era,
                log=failover.log,
            )
        )
