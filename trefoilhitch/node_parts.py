"""Builds the parts of a node and connects them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Self

from trio import Nursery, current_time

from trefoilhitch._generated.peer import NodeStatus
from trefoilhitch._generated.settings import Settings
from trefoilhitch.client_api import ClientApi, PublicRequestHandler
from trefoilhitch.config import ConfigHolder
from trefoilhitch.config_sync import ConfigSync
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.endpoint_owner import EndpointOwner
from trefoilhitch.endpoint_pools import EndpointPools
from trefoilhitch.fleet import Fleet, Identity
from trefoilhitch.group_directory import GroupDirectory
from trefoilhitch.heartbeat import Heartbeats
from trefoilhitch.http_message import HttpLimits, RequestHandler
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.metrics import Metrics
from trefoilhitch.monitors import Monitors
from trefoilhitch.outcome_lookup import OutcomeLookup
from trefoilhitch.owner_directory import OwnerDirectory
from trefoilhitch.peer_auth import PeerAuth
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.peer_server import PeerAnswerer
from trefoilhitch.platform_services import PlatformServices
from trefoilhitch.promoter import Promoter
from trefoilhitch.router import Router
from trefoilhitch.session_token import SessionTokenSigner
from trefoilhitch.statement_dispatcher import StatementDispatcher
from trefoilhitch.transaction_dispatcher import TransactionDispatcher
from trefoilhitch.transactions import TransactionTable

_MS_PER_S = 1000
_ID_BITS = 96


@dataclass(frozen=True, slots=True)
class NodeContext:
    """What all parts of a node share.

    Args:
        cfg: settings.
        platform: the platform's services.
        log: takes note of decisions and events.
        random: all random choices come from it.
        fleet: what is known of nodes.
        config: the configuration in force.
        metrics: counts and measures requests.
        auth: signs and checks requests between nodes.
        peers: reaches other nodes.

    """

    cfg: Settings
    platform: PlatformServices
    log: DecisionLog
    random: Random
    fleet: Fleet
    config: ConfigHolder
    metrics: Metrics
    auth: PeerAuth
    peers: PeerClients

    @classmethod
    def from_settings(
        cls,
        cfg: Settings,
        *,
        platform: PlatformServices,
        log: DecisionLog,
        random: Random,
        incarnation: int,
    ) -> Self:
        """Build the context of a node.

        Args:
            cfg: settings.
            platform: the platform's services.
            log: takes note of decisions and events.
            random: all random choices come from it.
            incarnation: number that is higher after each start.

        Returns:
            The context.

        """
        auth = PeerAuth.from_secrets(
            cfg.fleet.secret, cfg.fleet.previous_secret
        )
        identity = _identity(cfg, incarnation)
        return cls(
            cfg=cfg,
            platform=platform,
            log=log,
            random=random,
            fleet=Fleet(identity=identity, clock=current_time, log=log),
            config=ConfigHolder(),
            metrics=Metrics(),
            auth=auth,
            peers=PeerClients(auth=auth),
        )

    def new_id(self) -> str:
        """Return a fresh idempotency key."""
        return f'{self.random.getrandbits(_ID_BITS):x}'


@dataclass(frozen=True, slots=True)
class NodeParts:
    """The running parts of a node.

    Args:
        owner: runs forwarded requests.
        slots: connections to endpoints.
        monitors: watch database groups.
        promoter: promotes endpoints.
        heartbeats: exchanged with peers.
        sync: brings the configuration.
        public: serves callers.
        peer: serves other nodes.

    """

    owner: EndpointOwner
    slots: EndpointPools
    monitors: Monitors
    promoter: Promoter
    heartbeats: Heartbeats
    sync: ConfigSync
    public: HttpServer
    peer: HttpServer

    @classmethod
    def from_context(
        cls,
        ctx: NodeContext,
        *,
        nursery: Nursery,
        status: Callable[[], NodeStatus],
        stop: Callable[[], None],
        is_ready: Callable[[], bool],
    ) -> Self:
        """Build the parts of a node.

        Args:
            ctx: what they share.
            nursery: runs their background work.
            status: returns what the node says of itself.
            stop: begins a graceful shutdown.
            is_ready: tells whether the node can serve callers.

        Returns:
            The parts.

        """
        promoter = _promoter(ctx)
        monitors = _monitors(ctx, promoter)
        slots = _slots(ctx, nursery)
        owner = _owner(ctx, slots)
        entry = _entry(ctx, owner, monitors, nursery)
        answerer = PeerAnswerer(
            auth=ctx.auth,
            owner=owner,
            fleet=ctx.fleet,
            config=ctx.config,
            monitors=monitors,
            metrics=ctx.metrics,
            status=status,
            stop=stop,
        )
        return cls(
            owner=owner,
            slots=slots,
            monitors=monitors,
            promoter=promoter,
            heartbeats=_heartbeats(ctx),
            sync=_sync(ctx),
            public=_server(
                ctx, PublicRequestHandler(api=entry, is_ready=is_ready)
            ),
            peer=_server(ctx, answerer),
        )


def _identity(cfg: Settings, incarnation: int) -> Identity:
    return Identity(
        node=cfg.node.name,
        address=f'{cfg.node.address}:{cfg.node.peer_port}',
        region=cfg.node.region,
        data_centre=cfg.node.data_centre,
        incarnation=incarnation,
    )


def _promoter(ctx: NodeContext) -> Promoter:
    return Promoter(
        fleet=ctx.fleet,
        platform=ctx.platform.endpoints,
        store=ctx.platform.store,
        log=ctx.log,
    )


def _monitors(ctx: NodeContext, promoter: Promoter) -> Monitors:
    return Monitors(
        fleet=ctx.fleet,
        config=ctx.config,
        platform=ctx.platform.endpoints,
        promoter=promoter,
        log=ctx.log,
    )


def _slots(ctx: NodeContext, nursery: Nursery) -> EndpointPools:
    return EndpointPools(
        config=ctx.config,
        connector=ctx.platform.endpoints,
        nursery=nursery,
        random=ctx.random,
    )


def _owner(ctx: NodeContext, slots: EndpointPools) -> EndpointOwner:
    identity = ctx.fleet.identity
    return EndpointOwner(
        config=ctx.config,
        pools=slots,
        transactions=TransactionTable(
            node=identity.node,
            incarnation=identity.incarnation,
            max_duration_ms=ctx.cfg.limits.transaction_ms,
            max_idle_ms=ctx.cfg.limits.transaction_idle_ms,
        ),
    )


def _entry(
    ctx: NodeContext,
    owner: EndpointOwner,
    monitors: Monitors,
    nursery: Nursery,
) -> ClientApi:
    directory = GroupDirectory(
        fleet=ctx.fleet,
        peers=ctx.peers,
        local=monitors,
        nursery=nursery,
    )
    owners = OwnerDirectory(
        fleet=ctx.fleet,
        config=ctx.config,
        peers=ctx.peers,
        local=owner,
    )
    outcomes = OutcomeLookup(
        directory=directory,
        owners=owners,
        random=ctx.random,
    )
    fleet = ctx.cfg.fleet
    return ClientApi(
        config=ctx.config,
        dispatcher=StatementDispatcher(
            directory=directory,
            router=_router(ctx),
            owners=owners,
            outcomes=outcomes,
        ),
        transactions=TransactionDispatcher(owners=owners, outcomes=outcomes),
        outcomes=outcomes,
        signer=SessionTokenSigner.from_secrets(
            fleet.secret, fleet.previous_secret
        ),
        metrics=ctx.metrics,
        new_id=ctx.new_id,
    )


def _router(ctx: NodeContext) -> Router:
    return Router(
        fleet=ctx.fleet,
        config=ctx.config,
        log=ctx.log,
        random=ctx.random,
    )


def _heartbeats(ctx: NodeContext) -> Heartbeats:
    return Heartbeats(
        fleet=ctx.fleet,
        config=ctx.config,
        peers=ctx.peers,
        directory=ctx.platform.vm_directory,
        log=ctx.log,
        random=ctx.random,
    )


def _sync(ctx: NodeContext) -> ConfigSync:
    return ConfigSync(
        holder=ctx.config,
        store=ctx.platform.store,
        fleet=ctx.fleet,
        peers=ctx.peers,
        log=ctx.log,
    )


def _server(ctx: NodeContext, answerer: RequestHandler) -> HttpServer:
    limits = ctx.cfg.limits
    return HttpServer(
        factory=SharedHandlerFactory(answerer),
        reporter=ctx.log,
        limits=HttpLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            connections=limits.connections,
            request_read_s=limits.request_read_ms / _MS_PER_S,
        ),
    )
