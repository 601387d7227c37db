"""A node that pools connections: its parts, its start and its end."""

from trio import Nursery, current_time, sleep

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.admission import Admission
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.client_session import SessionParts
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_caps import ConnectionCaps
from trefoilhitch.pooler.control import EndpointControl
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.lease_calls import LeaseCalls
from trefoilhitch.pooler.lifecycle import DrainPlan, Readiness
from trefoilhitch.pooler.link_pool import LinkPool
from trefoilhitch.pooler.link_runner import LinkRunner
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.monitor import Monitor, MonitorParts
from trefoilhitch.pooler.outside import NodeTools, Outside
from trefoilhitch.pooler.peer_answerer import PeerAnswerer
from trefoilhitch.pooler.peer_calls import PeerCalls
from trefoilhitch.pooler.peer_parts import PeerParts
from trefoilhitch.pooler.peer_talk import PeerTalk
from trefoilhitch.pooler.ports import EndpointConnector
from trefoilhitch.pooler.rate_shares import RateShares
from trefoilhitch.pooler.service import PoolerService
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch.pooler.statement_runner import StatementRunner
from trefoilhitch.pooler.store_view import StoreView, StoreViewParts
from trefoilhitch.pooler.successor import SuccessionParts
from trefoilhitch.pooler.token_questions import TokenQuestions
from trefoilhitch.pooler.transaction_runner import TransactionRunner

REGISTER_TIMEOUT_S = 1.5
REGISTER_PAUSE_S = 0.7
HOUSEKEEPING_EVERY_S = 0.5
# Sockets that are not clients' sessions.
OTHER_SOCKETS = 200


class PoolerNode:
    """One node.

    Args:
        cfg: its settings.
        outside: what it reaches.
        tools: what it uses.

    """

    def __init__(
        self, cfg: PoolerSettings, outside: Outside, tools: NodeTools
    ) -> None:
        """Connect the parts."""
        self._cfg = cfg
        self._outside = outside
        self._tools = tools
        self._registered = False
        self._declared = CurrentDeclaration()
        self._rates = RateShares(cfg.rate_rule, tools.clock())
        self._knowledge = _knowledge(cfg, tools)
        self._fleet = _fleet(cfg, tools)
        dialer = outside.make_dialer(self._knowledge.find)
        caps = ConnectionCaps(
            declaration=self._declared,
            cluster=self._knowledge,
            membership=self._fleet,
        )
        self._pool = LinkPool(
            dialer=dialer, cap=caps.cap, metrics=tools.metrics
        )
        self._control = EndpointControl(
            dialer=dialer, log=tools.log, metrics=tools.metrics
        )
        self._peer_parts = self._make_peer_parts()
        self._peer_calls = PeerCalls(tools.log)
        self.talk = PeerTalk(self._peer_parts, self._peer_calls)
        self.peers = PeerAnswerer(self._peer_parts)
        self.service = PoolerService(
            self._session_parts(dialer),
            max_sessions=max(1, cfg.max_sockets - OTHER_SOCKETS),
            serving=lambda: self._has_basis,
        )
        self._declared.add_listener(self._on_catalogue)
        self._store_view = self._make_store_view()

    @property
    def ready(self) -> bool:
        """Whether new clients may come."""
        return Readiness(
            has_declaration=self._declared.catalogue is not None,
            has_endpoints=self._store_view.listed,
            is_stopping=self.service.plan is not None,
        ).is_ready

    def start(self, nursery: Nursery) -> None:
        """Start everything that runs beside clients' sessions.

        Args:
            nursery: runs it.

        """
        nursery.start_soon(self._store_view.run)
        nursery.start_soon(self._register)
        nursery.start_soon(self.talk.run)
        nursery.start_soon(self._housekeep)
        nursery.start_soon(self._make_monitor(nursery).run)

    def begin_stop(self) -> DrainPlan:
        """Take no new clients any more.

        Returns:
            The deadlines of the shutdown.

        """
        plan = DrainPlan.from_signal(
            current_time(), self._cfg.shutdown_timeout_s
        )
        self.service.plan = plan
        self._fleet.mark_leaving()
        self._tools.log.event(
            'stop_began', end_in_s=self._cfg.shutdown_timeout_s
        )
        return plan

    async def finish_stop(self) -> None:
        """Give up this node's entry."""
        deadline = current_time() + REGISTER_PAUSE_S
        try:
            await self._outside.registry.deregister(self._cfg.node, deadline)
        except StoreError as exc:
            self._tools.log.event('deregister_failed', detail=str(exc))

    @property
    def _has_basis(self) -> bool:
        return self._declared.catalogue is not None and self._store_view.listed

    def _sync_replicas(self, name: str) -> int:
        catalogue = self._declared.catalogue
        service = catalogue.services.get(name) if catalogue else None
        return service.sync_replicas if service else 0

    async def _register(self) -> None:
        while not self._registered:
            try:
                await self._try_to_register()
            except StoreError as exc:
                self._tools.log.event('register_failed', detail=str(exc))
                await sleep(REGISTER_PAUSE_S)

    async def _try_to_register(self) -> None:
        deadline = current_time() + REGISTER_TIMEOUT_S
        registry = self._outside.registry
        self._take_over(await registry.list_nodes(deadline))
        await registry.register(self._fleet.heartbeat, deadline)
        self._registered = True

    def _share_rates(self) -> None:
        """Take part in rates once it is known among how many nodes."""
        if self._fleet.nodes_listed:
            nodes = len(self._fleet.possibly_active())
            self._rates.update_node_count(nodes, self._tools.clock())

    def _take_over(self, nodes: list[MemberBeat]) -> None:
        self._fleet.merge(nodes)
        for beat in nodes:
            if beat.node == self._cfg.node:
                own = self._fleet.heartbeat.incarnation
                self._fleet.set_incarnation(max(own, beat.incarnation + 1))
        self._fleet.nodes_listed = True
        self._share_rates()

    async def _housekeep(self) -> None:
        while True:
            await sleep(HOUSEKEEPING_EVERY_S)
            self._fleet.drop_expired()
            self._share_rates()
            self._pool.trim()
            self._store_view.forget_lost()

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        self._rates.apply_catalogue(catalogue, self._tools.clock())
        self._tools.log.event(
            'declaration_in_force',
            revision=catalogue.revision,
            routes=len(catalogue.routes),
            keys=len(catalogue.keys),
            rates={
                each.name: (each.rate_per_s, each.burst)
                for each in catalogue.organisations.values()
            },
        )
        self._knowledge.notify_change()

    def _make_store_view(self) -> StoreView:
        return StoreView(
            StoreViewParts(
                endpoints=self._outside.endpoints,
                declarations=self._outside.declarations,
                knowledge=self._knowledge,
                declared=self._declared,
                pool=self._pool,
                control=self._control,
                log=self._tools.log,
                random=self._tools.random,
            )
        )

    def _make_peer_parts(self) -> PeerParts:
        return PeerParts(
            fleet=self._fleet,
            knowledge=self._knowledge,
            declared=self._declared,
            rates=self._rates,
            control=self._control,
            read_declaration=self._outside.read_declaration,
            seeds=self._cfg.seeds,
            log=self._tools.log,
        )

    def _make_monitor(self, nursery: Nursery) -> Monitor:
        succession = SuccessionParts(
            node=self._cfg.node,
            knowledge=self._knowledge,
            control=self._control,
            leases=LeaseCalls(self._outside.leases),
            promotion=self._outside.promotion,
            sync_replicas=self._sync_replicas,
            log=self._tools.log,
            metrics=self._tools.metrics,
        )
        return Monitor(
            MonitorParts(
                succession=succession,
                live_nodes=self._fleet.live,
                confirm_silence=self.talk.confirm_silence,
                publish=lambda: nursery.start_soon(self.talk.publish),
            )
        )

    def _session_parts(self, dialer: EndpointConnector) -> SessionParts:
        tools = self._tools
        links = LinkRunner(dialer=dialer, metrics=tools.metrics)
        statements = StatementRunner(
            knowledge=self._knowledge,
            pool=self._pool,
            links=links,
            log=tools.log,
            metrics=tools.metrics,
        )
        transactions = TransactionRunner(
            knowledge=self._knowledge,
            pool=self._pool,
            links=links,
            statements=statements,
            log=tools.log,
        )
        admission = Admission(
            rates=self._rates,
            tokens=TokenQuestions(
                fleet=self._fleet, calls=self._peer_calls, clock=tools.clock
            ),
            clock=tools.clock,
            metrics=tools.metrics,
        )
        return SessionParts(
            declared=self._declared,
            admission=admission,
            knowledge=self._knowledge,
            statements=statements,
            transactions=transactions,
            log=tools.log,
            metrics=tools.metrics,
        )


def _knowledge(cfg: PoolerSettings, tools: NodeTools) -> ClusterState:
    choice = EndpointSelector(data_centre=cfg.data_centre, regions=cfg.regions)
    return ClusterState(selector=choice, log=tools.log, clock=tools.clock)


def _fleet(cfg: PoolerSettings, tools: NodeTools) -> MembershipView:
    beat = MemberBeat(
        node=cfg.node,
        address=cfg.peer_address,
        region=cfg.region,
        data_centre=cfg.data_centre,
        incarnation=tools.incarnation,
        counter=1,
        state='live',
    )
    return MembershipView(
        heartbeat=beat, random=tools.random, clock=tools.clock
    )
