"""Builds the components of a node and connects them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Self

from trefoilhitch._generated.peer import NodeStatus
from trefoilhitch._generated.settings import Settings
from trefoilhitch.client_api import ClientApi, PublicRequestHandler
from trefoilhitch.config import ConfigHolder
from trefoilhitch.config_sync import ConfigSync
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.endpoint_owner import EndpointOwner
from trefoilhitch.endpoint_pools import EndpointPools
from trefoilhitch.group_directory import GroupDirectory
from trefoilhitch.group_monitors import GroupMonitors
from trefoilhitch.heartbeat import HeartbeatSender
from trefoilhitch.http_message import HttpLimits, RequestHandler
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.membership import Identity, Membership
from trefoilhitch.metrics import Metrics
from trefoilhitch.outcome_lookup import OutcomeLookup
from trefoilhitch.owner_directory import OwnerDirectory
from trefoilhitch.peer_auth import PeerAuth
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.peer_server import PeerRequestHandler
from trefoilhitch.platform_services import PlatformServices
from trefoilhitch.promoter import Promoter
from trefoilhitch.round_starter import TaskStarter
from trefoilhitch.router import Router
from trefoilhitch.session_token import SessionTokenSigner
from trefoilhitch.statement_dispatcher import StatementDispatcher
from trefoilhitch.transaction_dispatcher import TransactionDispatcher
from trefoilhitch.transactions import TransactionTable

_MS_PER_S = 1000
_REQUEST_ID_BITS = 96
# A number such as 1e15 takes nearly four times as many bytes once it was
# decoded and encoded again.
MAX_JSON_GROWTH = 4
# Far above what a message between nodes holds besides a client's fields.
PEER_FIELDS_BYTES = 65536


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Components that all parts of a node share.

    Args:
        cfg: settings of the node.
        platform: clients for the platform's services.
        log: records decisions and events.
        random: source of all random choices.
        membership: tracks live nodes.
        config: holds the configuration in force.
        metrics: counts and measures requests.
        auth: signs and verifies requests between nodes.
        peers: creates clients for other nodes.

    """

    cfg: Settings
    platform: PlatformServices
    log: DecisionLog
    random: Random
    membership: Membership
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
            cfg: settings of the node.
            platform: clients for the platform's services.
            log: records decisions and events.
            random: source of all random choices.
            incarnation: number that increases with each start of the node.

        Returns:
            The context.

        """
        auth = PeerAuth.from_secrets(
            cfg.fleet.secret, cfg.fleet.previous_secret
        )
        identity = _build_identity(cfg, incarnation)
        return cls(
            cfg=cfg,
            platform=platform,
            log=log,
            random=random,
            membership=Membership(identity=identity, log=log),
            config=ConfigHolder(),
            metrics=Metrics(),
            auth=auth,
            peers=PeerClients(auth=auth),
        )

    def create_request_id(self) -> str:
        """Return a new random idempotency key."""
        return f'{self.random.getrandbits(_REQUEST_ID_BITS):x}'


@dataclass(frozen=True, slots=True)
class NodeComponents:
    """The running components of a node.

    Args:
        owner: runs forwarded requests.
        pools: connections to endpoints.
        monitors: monitor database groups.
        promoter: promotes endpoints.
        heartbeats: exchanges heartbeats with peers.
        config_sync: synchronises the configuration.
        public_server: serves clients.
        peer_server: serves other nodes.

    """

    owner: EndpointOwner
    pools: EndpointPools
    monitors: GroupMonitors
    promoter: Promoter
    heartbeats: HeartbeatSender
    config_sync: ConfigSync
    public_server: HttpServer
    peer_server: HttpServer

    @classmethod
    def from_context(
        cls,
        ctx: NodeContext,
        *,
        nursery: TaskStarter,
        status: Callable[[], NodeStatus],
        stop: Callable[[], None],
        is_ready: Callable[[], bool],
    ) -> Self:
        """Build the components of a node.

        Args:
            ctx: shared components.
            nursery: runs background tasks.
            status: returns the status of the node.
            stop: begins a graceful shutdown.
            is_ready: returns whether the node can serve clients.

        Returns:
            The components, not running yet.

        """
        promoter = _build_promoter(ctx)
        monitors = _build_monitors(ctx, promoter)
        pools = _build_pools(ctx, nursery)
        owner = _build_owner(ctx, pools)
        client_api = _build_client_api(ctx, owner, monitors, nursery)
        peer_handler = PeerRequestHandler(
            auth=ctx.auth,
            owner=owner,
            membership=ctx.membership,
            config=ctx.config,
            monitors=monitors,
            metrics=ctx.metrics,
            status=status,
            stop=stop,
        )
        return cls(
            owner=owner,
            pools=pools,
            monitors=monitors,
            promoter=promoter,
            heartbeats=_build_heartbeats(ctx),
            config_sync=_build_config_sync(ctx),
            public_server=_build_server(
                ctx,
                PublicRequestHandler(api=client_api, is_ready=is_ready),
                ctx.cfg.limits.body_bytes,
            ),
            peer_server=_build_server(
                ctx, peer_handler, _peer_body_bytes(ctx.cfg.limits.body_bytes)
            ),
        )


def _build_identity(cfg: Settings, incarnation: int) -> Identity:
    return Identity(
        node=cfg.node.name,
        address=f'{cfg.node.address}:{cfg.node.peer_port}',
        region=cfg.node.region,
        data_centre=cfg.node.data_centre,
        incarnation=incarnation,
    )


def _build_promoter(ctx: NodeContext) -> Promoter:
    return Promoter(
        membership=ctx.membership,
        connector=ctx.platform.endpoints,
        store=ctx.platform.store,
        log=ctx.log,
    )


def _build_monitors(ctx: NodeContext, promoter: Promoter) -> GroupMonitors:
    return GroupMonitors(
        membership=ctx.membership,
        config=ctx.config,
        connector=ctx.platform.endpoints,
        promoter=promoter,
        log=ctx.log,
    )


def _build_pools(ctx: NodeContext, nursery: TaskStarter) -> EndpointPools:
    return EndpointPools(
        config=ctx.config,
        connector=ctx.platform.endpoints,
        nursery=nursery,
        random=ctx.random,
    )


def _build_owner(ctx: NodeContext, pools: EndpointPools) -> EndpointOwner:
    identity = ctx.membership.identity
    return EndpointOwner(
        config=ctx.config,
        pools=pools,
        transactions=TransactionTable(
            node=identity.node,
            incarnation=identity.incarnation,
            max_duration_ms=ctx.cfg.limits.transaction_ms,
            max_idle_ms=ctx.cfg.limits.transaction_idle_ms,
        ),
    )


def _build_client_api(
    ctx: NodeContext,
    owner: EndpointOwner,
    monitors: GroupMonitors,
    nursery: TaskStarter,
) -> ClientApi:
    directory = GroupDirectory(
        membership=ctx.membership,
        peers=ctx.peers,
        local_monitors=monitors,
        nursery=nursery,
    )
    owners = OwnerDirectory(
        membership=ctx.membership,
        config=ctx.config,
        peers=ctx.peers,
        local_owner=owner,
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
            router=_build_router(ctx),
            owners=owners,
            outcomes=outcomes,
        ),
        transactions=TransactionDispatcher(owners=owners, outcomes=outcomes),
        outcomes=outcomes,
        signer=SessionTokenSigner.from_secrets(
            fleet.secret, fleet.previous_secret
        ),
        metrics=ctx.metrics,
        create_request_id=ctx.create_request_id,
    )


def _build_router(ctx: NodeContext) -> Router:
    return Router(
        membership=ctx.membership,
        config=ctx.config,
        log=ctx.log,
        random=ctx.random,
    )


def _build_heartbeats(ctx: NodeContext) -> HeartbeatSender:
    return HeartbeatSender(
        membership=ctx.membership,
        config=ctx.config,
        peers=ctx.peers,
        directory=ctx.platform.vm_directory,
        log=ctx.log,
        random=ctx.random,
    )


def _build_config_sync(ctx: NodeContext) -> ConfigSync:
    return ConfigSync(
        holder=ctx.config,
        store=ctx.platform.store,
        membership=ctx.membership,
        peers=ctx.peers,
        log=ctx.log,
    )


def _peer_body_bytes(body_bytes: int) -> int:
    """Return the limit of messages that carry the body of a client."""
    return body_bytes * MAX_JSON_GROWTH + PEER_FIELDS_BYTES


def _build_server(
    ctx: NodeContext, request_handler: RequestHandler, body_bytes: int
) -> HttpServer:
    limits = ctx.cfg.limits
    return HttpServer(
        factory=SharedHandlerFactory(request_handler),
        reporter=ctx.log,
        limits=HttpLimits(
            body_bytes=body_bytes,
            header_bytes=limits.header_bytes,
            connections=limits.connections,
            request_read_s=limits.request_read_ms / _MS_PER_S,
        ),
    )
