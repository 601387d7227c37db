"""Creates the parts of a node and connects them."""

from trefoilhitch.pooler.acknowledging.commit_gate import CommitGate
from trefoilhitch.pooler.acknowledging.failover_announcement import Announcer
from trefoilhitch.pooler.acknowledging.failover_notices import FailoverNotices
from trefoilhitch.pooler.acknowledging.permit_client import PermitClient
from trefoilhitch.pooler.control.components import (
    make_peer_backoff,
    make_statuses,
)
from trefoilhitch.pooler.control.status_source import StatusSource
from trefoilhitch.pooler.declaration_sync import DeclarationSync
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.evacuation.components import (
    make_enforcer,
    make_evacuations,
    make_feed,
)
from trefoilhitch.pooler.explaining.components import make_explainer
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.lease_view_reader import (
    PEER_TIMEOUT_S,
    LeaseViewReader,
)
from trefoilhitch.pooler.node_environment import (
    ExternalServices,
    NodeRuntime,
)
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.peer_dependencies import PeerDependencies
from trefoilhitch.pooler.peer_request_handler import PeerRequestHandler
from trefoilhitch.pooler.peer_services import PeerServices
from trefoilhitch.pooler.peer_sync import PeerSync
from trefoilhitch.pooler.primary_confirmer import PrimaryConfirmer
from trefoilhitch.pooler.primary_proof import PrimaryProver
from trefoilhitch.pooler.proof_fetcher import (
    PROOF_TIMEOUT_S,
    ProofFetcher,
)
from trefoilhitch.pooler.routed_executor import RoutedExecutor
from trefoilhitch.pooler.running_attempts import RunningAttempts
from trefoilhitch.pooler.session_components import (
    make_admission,
    make_gateway_executor,
    make_gateway_server,
    make_local_executor,
    make_session_dependencies,
    make_token_requester,
)
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch.pooler.state_components import make_state
from trefoilhitch.pooler.store_sync import (
    StoreSync,
    StoreSyncDependencies,
)
from trefoilhitch.pooler.store_watchers import watches_store
from trefoilhitch.pooler.token_requester import TokenRequester


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
        self.state = make_state(cfg, external, runtime)
        self.control = EndpointControl(
            connector=self.state.connector,
            log=runtime.log,
            metrics=runtime.metrics,
        )
        self._attempts = RunningAttempts()
        self._notices = FailoverNotices()
        self._announcer = Announcer(
            membership=self.state.membership,
            client=self.state.client,
            notices=self._notices,
            acknowledged=self.state.cluster.acknowledged,
            clock=runtime.clock,
        )
        self.leases = _make_lease_observer(cfg, self.state, external)
        self._evacuations = make_evacuations(cfg, self.state)
        self.store_sync = self._make_store_sync()
        self._statuses = make_statuses(cfg, self.state, self._service_of)
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
            asked=make_peer_backoff(cfg, runtime, PROOF_TIMEOUT_S),
        )
        self._tokens = make_token_requester(self.state)
        admission = make_admission(self.state, self._tokens)
        executor = make_local_executor(self.state, admission)
        remote = make_gateway_executor(self.state)
        self.gateway = make_gateway_server(self.state, executor)
        self.enforcer = make_enforcer(
            self._evacuations, self.state, executor.end_transactions
        )
        self.sessions = make_session_dependencies(
            self.state,
            RoutedExecutor(
                gateways=self.state.gateways, local=executor, remote=remote
            ),
            self._make_prover(cfg),
            self._proofs,
        )
        self._explainer = make_explainer(self.state, admission, remote)
        self.peer_handler = self._make_peer_handler()

    @property
    def statuses(self) -> StatusSource:
        """Source of endpoints' statuses."""
        return self._statuses

    @property
    def attempts(self) -> RunningAttempts:
        """The failovers that run in this process."""
        return self._attempts

    @property
    def announcer(self) -> Announcer:
        """Tells other nodes of failovers."""
        return self._announcer

    @property
    def tokens(self) -> TokenRequester:
        """Requests rate tokens from other nodes."""
        return self._tokens

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
            rates_by_priority=cfg.options.scheduling.rates_by_priority,
            control=self.control,
            seeds=cfg.seeds,
            entries=self.store_sync.entry_log,
            store_era=self._external.era,
            random=self._runtime.random,
            log=self._runtime.log,
            evacuations=self._evacuations,
            shares_loads=cfg.options.balancing.reads_by_load,
        )

    def _make_peer_handler(self) -> PeerRequestHandler:
        services = PeerServices(
            sync=self.peer_sync,
            gateway=self.gateway,
            leases=self.leases,
            attempts=self._attempts,
            announcer=self._announcer,
            proofs=self._proofs,
            declarations=self._declarations,
            statuses=self._statuses,
            explainer=self._explainer,
        )
        return PeerRequestHandler(self._peer_deps, services)

    def _make_prover(self, cfg: PoolerSettings) -> PrimaryProver:
        return PrimaryProver(
            cluster=self.state.cluster,
            confirmer=self.confirmer,
            leases=self.leases,
            metrics=self._runtime.metrics,
            gate=self._make_gate(cfg),
            confirms_first=cfg.options.gateways.shared_status,
        )

    def _make_gate(self, cfg: PoolerSettings) -> CommitGate:
        return CommitGate(
            cluster=self.state.cluster,
            leases=self.leases,
            notices=self._notices,
            permits=PermitClient(
                self.state.client, cfg.peer_address, self._attempts
            ),
            confirmer=self.confirmer,
            log=self._runtime.log,
            metrics=self._runtime.metrics,
        )

    def _make_confirmer(self) -> PrimaryConfirmer:
        return PrimaryConfirmer(
            cluster=self.state.cluster,
            request_status=self._statuses.request,
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
                evacuations=make_feed(
                    self._evacuations,
                    self._external.evacuations,
                    lambda: self._spread(True),
                ),
            )
        )


def _make_lease_observer(
    cfg: PoolerSettings, state: NodeState, external: ExternalServices
) -> LeaseObserver:
    reader = LeaseViewReader(
        store=external.leases,
        membership=state.membership,
        client=state.client,
        clock=state.runtime.clock,
        asked=make_peer_backoff(cfg, state.runtime, PEER_TIMEOUT_S),
    )
    return LeaseObserver(
        read_view=reader.read,
        clock=state.runtime.clock,
        log=state.runtime.log,
    )
