"""A pooler node: startup, background tasks and shutdown."""

import math
from functools import partial

from trio import Nursery, current_time, sleep

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.control.probe_pauses import ProbePauses
from trefoilhitch.pooler.era_checker import EraChecker
from trefoilhitch.pooler.failover_plan import FailoverDependencies
from trefoilhitch.pooler.group_recorder import GroupRecorder
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.lease_restorer import (
    LeaseRestorer,
    LeaseRestorerDependencies,
)
from trefoilhitch.pooler.lifecycle import DrainPlan, Readiness
from trefoilhitch.pooler.monitor import Monitor, MonitorDependencies
from trefoilhitch.pooler.node_environment import ExternalServices, NodeRuntime
from trefoilhitch.pooler.node_parts import NodeParts
from trefoilhitch.pooler.node_registration import NodeRegistration
from trefoilhitch.pooler.peer_request_handler import PeerRequestHandler
from trefoilhitch.pooler.seen_leases import SeenLeases
from trefoilhitch.pooler.session_manager import SessionManager
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch.pooler.store_check import (
    StoreCheck,
    StoreCheckDependencies,
)
from trefoilhitch.task_supervisor import TaskSupervisor

HOUSEKEEPING_INTERVAL_S = 0.5
# How long a node leaves failovers to others after one failed for want of the
# store.
STORE_LOST_S = 3.0
# Sockets that are not available to client sessions.
RESERVED_SOCKETS = 200
_PROCESS_ID_BITS = 64


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
        self._store_lost_until = -math.inf
        self._parts = NodeParts(cfg, external, runtime)
        self._membership = self._parts.state.membership
        self._registration = NodeRegistration(
            registry=external.registry,
            membership=self._membership,
            rates=self._parts.state.rates,
            store_era=external.era,
            random=runtime.random,
            on_listed=self._parts.state.cluster.notify_change,
            log=runtime.log,
        )
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
            has_evacuations=self._parts.store_sync.evacuations_listed,
        ).is_ready

    def start(self, nursery: Nursery) -> None:
        """Start the background tasks.

        Args:
            nursery: runs the tasks.

        """
        parts = self._parts
        runtime = self._runtime
        supervisor = TaskSupervisor(
            runtime.log, runtime.metrics, runtime.random
        )
        tasks = {
            'peer_client': parts.state.client.run,
            'statuses': parts.statuses.run,
            'token_requests': parts.tokens.run,
            'watch_endpoints': parts.store_sync.watch_endpoints,
            'watch_declaration': parts.store_sync.watch_declaration,
            'registration': self._registration.run,
            'store_era': self._make_era_checker().run,
            'leases': parts.leases.run,
            'peer_sync': parts.peer_sync.run,
            'housekeeping': self._run_housekeeping,
            'monitor': self._make_monitor().run,
        }
        if parts.enforcer is not None:
            tasks['watch_evacuations'] = parts.store_sync.watch_evacuations
            tasks['enforce_evacuations'] = parts.enforcer.run
        for name, task in tasks.items():
            nursery.start_soon(supervisor.run, name, task)

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
        await self._registration.deregister()

    @property
    def _can_serve(self) -> bool:
        # No tokens are spent, and it is unknown which nodes are gateways,
        # before the registered nodes have been listed.
        store_sync = self._parts.store_sync
        return (
            self._parts.state.declaration.catalogue is not None
            and store_sync.endpoints_listed
            and store_sync.evacuations_listed
            and self._membership.nodes_listed
        )

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
        """Let nodes take over that the store answers.

        Most nodes do not watch the store, so they notice only when they need
        it that it refuses them.
        """
        self._store_lost_until = current_time() + STORE_LOST_S
        self._membership.mark_store_lost(lost=True)
        self._parts.peer_sync.start_publishing()

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
        organisations = [
            each.name
            for each in catalogue.organisations.values()
            if not each.is_nameable
        ]
        databases = [
            each.database
            for each in catalogue.routes.values()
            if not each.is_servable
        ]
        if organisations or databases:
            self._runtime.log.event(
                'names_unserved',
                organisations=organisations,
                databases=databases,
            )
        self._parts.state.cluster.notify_change()

    def _make_era_checker(self) -> EraChecker:
        registry = self._external.registry
        return EraChecker(
            era=self._external.era,
            ask=partial(registry.read_entry, self._cfg.node),
            random=self._runtime.random,
            log=self._runtime.log,
        )

    def _make_monitor(self) -> Monitor:
        parts = self._parts
        failover = FailoverDependencies(
            node=self._cfg.node,
            address=self._cfg.peer_address,
            cluster=parts.state.cluster,
            control=parts.control,
            leases=LeaseClient(self._external.leases),
            attempts=parts.attempts,
            announcer=parts.announcer,
            groups=GroupRecorder(
                store=self._external.groups,
                endpoints=parts.state.cluster.endpoints,
                store_era=self._external.era,
                log=self._runtime.log,
            ),
            store_era=self._external.era,
            promoter=self._external.promoter,
            sync_replicas=parts.sync_replicas,
            log=self._runtime.log,
            metrics=self._runtime.metrics,
        )
        return Monitor(
            MonitorDependencies(
                failover=failover,
                seen_leases=self._make_seen_leases(failover),
                store_check=self._make_store_check(),
                process=self._process_id(),
                confirmer=parts.confirmer,
                leases=parts.leases,
                restorer=self._make_lease_restorer(failover),
                has_listings=lambda: self._can_serve,
                live_nodes=self._membership.live,
                members_version=lambda: self._membership.version,
                confirm_silence=parts.peer_sync.confirm_silence,
                pauses=ProbePauses(
                    enabled=self._cfg.options.gateways.shared_status
                ),
                publish=parts.peer_sync.start_publishing,
                report_store_lost=self._report_store_lost,
            )
        )

    def _process_id(self) -> str:
        """Return an id that no other process of this node has."""
        random_id = self._runtime.random.getrandbits(_PROCESS_ID_BITS)
        return f'{self._runtime.incarnation}-{random_id:x}'

    def _make_seen_leases(self, failover: FailoverDependencies) -> SeenLeases:
        return SeenLeases(
            leases=failover.leases,
            client=self._parts.state.client,
            node=failover.node,
            address=failover.address,
            clock=failover.cluster.clock,
            store_era=failover.store_era,
            log=failover.log,
        )

    def _make_store_check(self) -> StoreCheck:
        return StoreCheck(
            StoreCheckDependencies(
                leases=self._external.leases,
                store_era=self._external.era,
                is_store_lost=lambda: self._membership.heartbeat.store_lost,
                report_store_lost=self._report_store_lost,
                log=self._runtime.log,
                metrics=self._runtime.metrics,
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
