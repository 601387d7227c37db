"""Creates the state that the parts of a node share."""

from functools import partial

from trio import current_time

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.balancing.trial_turn import TrialTurn
from trefoilhitch.pooler.circuit_breakers import (
    TRIAL_INTERVAL_S,
    TRIAL_TIMEOUT_S,
    CircuitBreakers,
)
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_caps import ConnectionCaps
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.control.components import make_client
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.missing_commit_reporter import MissingCommitReporter
from trefoilhitch.pooler.node_environment import (
    ExternalServices,
    NodeRuntime,
)
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.opening.openings import make_openings
from trefoilhitch.pooler.rate_shares import RateShares
from trefoilhitch.pooler.routed_executor import EndpointGateways
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    PassThroughScheduler,
    PriorityScheduler,
    StatementScheduler,
)
from trefoilhitch.pooler.settings import PoolerSettings


def make_state(
    cfg: PoolerSettings, external: ExternalServices, runtime: NodeRuntime
) -> NodeState:
    """Create the state of a node.

    Args:
        cfg: settings of the node.
        external: access to systems outside the process.
        runtime: log, metrics, clock and random source.

    Returns:
        The state.

    """
    declaration = CurrentDeclaration()
    membership = _make_membership(cfg, runtime)
    cluster = _make_cluster(cfg, runtime, membership)
    declaration.add_listener(
        lambda catalogue: cluster.endpoints.declare_services(catalogue.services)
    )
    reporter = MissingCommitReporter(runtime.log, runtime.metrics)
    cluster.acknowledged.add_listener(reporter.report)
    directory = GatewayDirectory(
        membership=membership,
        declaration=declaration,
        data_centres=tuple(sorted(cfg.regions)),
        window_s=cfg.rate_rule.window_s,
        clock=runtime.clock,
    )
    caps = ConnectionCaps(
        declaration=declaration,
        cluster=cluster,
        membership=membership,
        directory=directory,
    )
    connector = external.make_connector(cluster.find)
    pool = ConnectionPool(
        connector=connector,
        cap=caps.cap,
        metrics=runtime.metrics,
        by_priority=cfg.options.scheduling.statements_by_priority,
        openings=make_openings(cfg.options, current_time()),
    )
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
        pool=pool,
        scheduler=_make_scheduler(cfg, runtime, caps, pool),
        connector=connector,
        client=make_client(cfg, runtime),
        runtime=runtime,
        loads=LoadObserver(
            cluster.loads, cluster.selector, cluster.find, cluster.positions
        ),
        options=cfg.options,
    )


def _make_cluster(
    cfg: PoolerSettings, runtime: NodeRuntime, membership: MembershipView
) -> ClusterState:
    options = cfg.options
    single_trial = options.retries.with_backoff
    return ClusterState(
        selector=EndpointSelector(
            data_centre=cfg.data_centre, regions=cfg.regions
        ),
        log=runtime.log,
        clock=runtime.clock,
        drain_timeout_s=cfg.drain_timeout_s,
        evacuation_timeout_s=cfg.evacuation_timeout_s,
        draw=runtime.random.random if options.balancing.reads_by_load else None,
        breakers=CircuitBreakers(
            TRIAL_TIMEOUT_S if single_trial else TRIAL_INTERVAL_S
        ),
        turn=(
            partial(_turn, membership)
            if options.balancing.reads_by_position
            else None
        ),
    )


def _turn(membership: MembershipView) -> TrialTurn:
    """Return the place of this node among those of its data centre."""
    own = membership.heartbeat.node
    near = {
        member.node
        for member in membership.live()
        if membership.is_near(member)
    }
    before = sum(node < own for node in near)
    return TrialTurn(before, len(near | {own}))


def _make_scheduler(
    cfg: PoolerSettings,
    runtime: NodeRuntime,
    caps: ConnectionCaps,
    pool: ConnectionPool,
) -> StatementScheduler:
    if not cfg.options.scheduling.statements_by_priority:
        return PassThroughScheduler()
    return PriorityScheduler(
        bounds=caps.slot_bounds,
        readiness=pool.readiness,
        log=runtime.log,
        metrics=runtime.metrics,
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
        capacity=cfg.capacity if cfg.options.gateways.by_capacity else 0,
    )
    return MembershipView(
        heartbeat=heartbeat, random=runtime.random, clock=runtime.clock
    )
