"""Creates the parts of a node and connects them."""

from trio import current_time

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_caps import ConnectionCaps
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.declaration_sync import DeclarationSync
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.lease_view_reader import LeaseViewReader
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.node_environment import ExternalServices, NodeRuntime
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.opening.openings import make_openings
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.peer_dependencies import PeerDependencies
from trefoilhitch.pooler.peer_request_handler import PeerRequestHandler
from trefoilhitch.pooler.peer_services import PeerServices
from trefoilhitch.pooler.peer_sync import PeerSync
from trefoilhitch.pooler.primary_confirmer import PrimaryConfirmer
from trefoilhitch.pooler.primary_proof import PrimaryProver
from trefoilhitch.pooler.proof_fetcher import ProofFetcher
from trefoilhitch.pooler.rate_shares import RateShares
from trefoilhitch.pooler.routed_executor import EndpointGateways, RoutedStatus
from trefoilhitch.pooler.session_components import (
    make_gateway_server,
    make_local_executor,
    make_session_dependencies,
)
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch.pooler.shared_status import SharedStatus
from trefoilhitch.pooler.store_sync import StoreSync, StoreSyncDependencies
from trefoilhitch.pooler.store_watchers import watches_store


class NodeParts:
    """The parts of a node.

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
        """Create and connect the parts."""
        self._external = external
        self._runtime = runtime
        self.state = _make_state(cfg, external, runtime)
        self.control = EndpointControl(
            connector=self.state.connector,
            log=runtime.log,
            metrics=runtime.metrics,
        )
        self.leases = _make_lease_observer(self.state, external)
        self.store_sync = self._make_store_sync()
        self._shared_status = SharedStatus(
            pool=self.state.pool,
            connector=self.state.connector,
            metrics=runtime.metrics,
        )
        self.confirmer = self._make_confirmer()
        self._declarations = DeclarationSync(
            declaration=self.state.declaration,
            client=self.state.client,
            read_declaration=external.read_declaration,
            watches_store=self._gets_newest_from_store,
            relay=self._relay,
            log=runtime.log,
        )
        self._peer_deps = self._make_peer_dependencies(cfg)
        self.peer_sync = PeerSync(
            self._peer_deps,
            self.state.client,
            self.store_sync.apply_entries,
            self._declarations,
        )
        self._proofs = ProofFetcher(
            cluster=self.state.cluster,
            membership=self.state.membership,
            client=self.state.client,
        )
        executor = make_local_executor(self.state)
        self.gateway = make_gateway_server(self.state, executor)
        self.sessions = make_session_dependencies(
            self.state, executor, self._make_prover(), self._proofs
        )
        self.peer_handler = self._make_peer_handler()

    def sync_replicas(self, service: str) -> int:
        """Return how many replicas hold a commit before it is acknowledged.

        Args:
            service: service name.

        Returns:
            The number, 0 if the service is not declared.

        """
        catalogue = self.state.declaration.catalogue
        declared = catalogue.services.get(service) if catalogue else None
        return declared.sync_replicas if declared else 0

    def _watches_store(self) -> bool:
        membership = self.state.membership
        return watches_store(membership.heartbeat, membership.live())

    def _gets_newest_from_store(self) -> bool:
        return self._watches_store() and not self._external.era.lacks_writes

    def _relay(self) -> None:
        self.peer_sync.start_spreading(from_store=False)

    def _spread(self, from_store: bool) -> None:
        self.peer_sync.start_spreading(from_store=from_store)

    def _service_of(self, endpoint: str) -> str:
        record = self.state.cluster.find(endpoint)
        return record.service if record else ''

    def _make_peer_dependencies(self, cfg: PoolerSettings) -> PeerDependencies:
        return PeerDependencies(
            membership=self.state.membership,
            cluster=self.state.cluster,
            declaration=self.state.declaration,
            rates=self.state.rates,
            control=self.control,
            seeds=cfg.seeds,
            entries=self.store_sync.entry_log,
            store_era=self._external.era,
            random=self._runtime.random,
            log=self._runtime.log,
        )

    def _make_peer_handler(self) -> PeerRequestHandler:
        services = PeerServices(
            sync=self.peer_sync,
            gateway=self.gateway,
            leases=self.leases,
            proofs=self._proofs,
            declarations=self._declarations,
            request_status=self._shared_status.request,
        )
        return PeerRequestHandler(self._peer_deps, services)

    def _make_prover(self) -> PrimaryProver:
        return PrimaryProver(
            cluster=self.state.cluster,
            confirmer=self.confirmer,
            leases=self.leases,
            metrics=self._runtime.metrics,
        )

    def _make_confirmer(self) -> PrimaryConfirmer:
        routed = RoutedStatus(
            gateways=self.state.gateways,
            local=self._shared_status,
            client=self.state.client,
            service_of=self._service_of,
        )
        return PrimaryConfirmer(
            cluster=self.state.cluster,
            request_status=routed.request,
            sync_replicas=self.sync_replicas,
            log=self._runtime.log,
        )

    def _make_store_sync(self) -> StoreSync:
        return StoreSync(
            StoreSyncDependencies(
                endpoints=self._external.endpoints,
                declarations=self._external.declarations,
                cluster=self.state.cluster,
                declaration=self.state.declaration,
                pool=self.state.pool,
                control=self.control,
                log=self._runtime.log,
                random=self._runtime.random,
                store_era=self._external.era,
                may_watch=self._watches_store,
                spread=self._spread,
            )
        )


def _make_state(
    cfg: PoolerSettings, external: ExternalServices, runtime: NodeRuntime
) -> NodeState:
    declaration = CurrentDeclaration()
    cluster = ClusterState(
        selector=EndpointSelector(
            data_centre=cfg.data_centre, regions=cfg.regions
        ),
        log=runtime.log,
        clock=runtime.clock,
        drain_timeout_s=cfg.drain_timeout_s,
    )
    declaration.add_listener(
        lambda catalogue: cluster.endpoints.declare_services(catalogue.services)
    )
    membership = _make_membership(cfg, runtime)
    directory = GatewayDirectory(
        membership=membership,
        declaration=declaration,
        data_centres=tuple(sorted(cfg.regions)),
        window_s=cfg.rate_rule.window_s,
    )
    caps = ConnectionCaps(
        declaration=declaration,
        cluster=cluster,
        membership=membership,
        directory=directory,
    )
    connector = external.make_connector(cluster.find)
    return NodeState(
        declaration=declaration,
        cluster=cluster,
        membership=membership,
        directory=directory,
        gateways=EndpointGateways(cluster, directory, cfg.node),
        rates=HeldRates(
            shares=RateShares(cfg.rate_rule, runtime.clock()),
            membership=membership,
            directory=directory,
            clock=runtime.clock,
        ),
        pool=ConnectionPool(
            connector=connector,
            cap=caps.cap,
            metrics=runtime.metrics,
            openings=make_openings(cfg.options, current_time()),
        ),
        connector=connector,
        client=PeerClient(runtime.log),
        runtime=runtime,
    )


def _make_membership(
    cfg: PoolerSettings, runtime: NodeRuntime
) -> MembershipView:
    heartbeat = MemberBeat(
        node=cfg.node,
        address=cfg.peer_address,
        region=cfg.region,
        data_centre=cfg.data_centre,
        incarnation=runtime.incarnation,
        counter=1,
        state='live',
        capacity=cfg.capacity,
    )
    return MembershipView(
        heartbeat=heartbeat, random=runtime.random, clock=runtime.clock
    )


def _make_lease_observer(
    state: NodeState, external: ExternalServices
) -> LeaseObserver:
    reader = LeaseViewReader(
        store=external.leases,
        membership=state.membership,
        client=state.client,
        clock=state.runtime.clock,
    )
    return LeaseObserver(
        read_view=reader.read,
        clock=state.runtime.clock,
        log=state.runtime.log,
    )
