"""HTTP interface for other nodes, operators and the metrics collector."""

from collections.abc import Awaitable, Callable
from time import time
from typing import Generic, TypeVar

from msgspec import Struct
from msgspec.json import encode

from trefoilhitch._generated.peer import (
    ConfigOffer,
    ConfigQuery,
    DrainOrder,
    ForwardBegin,
    ForwardEnd,
    ForwardLookup,
    ForwardStatement,
    GroupQuery,
    Heartbeat,
    NodeStatus,
    SwitchOrder,
)
from trefoilhitch.config import ConfigHolder
from trefoilhitch.errors import BadRequestError, NotFoundError
from trefoilhitch.group_monitors import GroupMonitors
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.membership import Membership
from trefoilhitch.metrics import Metrics
from trefoilhitch.owner_directory import OwnerService
from trefoilhitch.peer_auth import PeerAuth

MessageT = TypeVar('MessageT', bound=Struct)
_METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'


class PeerRequestHandler:
    """Handles requests of other nodes, operators and the metrics collector.

    Args:
        auth: verifies signatures.
        owner: runs forwarded requests.
        membership: merges heartbeats.
        config: holds the configuration offered to other nodes.
        monitors: return views of the groups that this node monitors.
        metrics: rendered for the metrics collector.
        status: returns the status of this node.
        stop: begins a graceful shutdown.

    """

    def __init__(
        self,
        *,
        auth: PeerAuth,
        owner: OwnerService,
        membership: Membership,
        config: ConfigHolder,
        monitors: GroupMonitors,
        metrics: Metrics,
        status: Callable[[], NodeStatus],
        stop: Callable[[], None],
    ) -> None:
        """Store the collaborators."""
        self._auth = auth
        self._membership = membership
        self._config = config
        self._monitors = monitors
        self._metrics = metrics
        self._status = status
        self._stop = stop
        self._routes: dict[str, Callable[[bytes], Awaitable[Struct]]] = {
            '/peer/v1/statement': _Route(ForwardStatement, owner.run_statement),
            '/peer/v1/begin': _Route(ForwardBegin, owner.begin),
            '/peer/v1/end': _Route(ForwardEnd, owner.end),
            '/peer/v1/lookup': _Route(ForwardLookup, owner.lookup),
            '/peer/v1/heartbeat': _Route(Heartbeat, self._heartbeat),
            '/peer/v1/group': _Route(GroupQuery, self._group),
            '/peer/v1/config': _Route(ConfigQuery, self._offer_config),
            '/peer/v1/switch': _Route(SwitchOrder, self._schedule_switchover),
            '/peer/v1/drain': _Route(DrainOrder, self._drain),
        }

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Handle a request.

        Args:
            req: whole request.

        Returns:
            The whole response.

        Raises:
            RefusalError: the request is not signed, has an unknown path, or was
                refused.

        """
        if req.path == '/metrics':
            text = self._metrics.render().encode()
            return HttpResponse(
                body=text, headers={'content-type': _METRICS_CONTENT_TYPE}
            )
        self._auth.verify(req, time())
        if req.path == '/peer/v1/status':
            return HttpResponse(body=encode(self._status()))
        route = self._routes.get(req.path)
        if route is None:
            raise NotFoundError(req.path)
        return HttpResponse(body=encode(await route(req.body)))

    async def _heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        return self._membership.exchange(heartbeat)

    async def _group(self, query: GroupQuery) -> Struct:
        return self._monitors.view(query)

    async def _offer_config(self, query: ConfigQuery) -> ConfigOffer:
        current = self._config.current
        newer = current.revision > query.revision
        return ConfigOffer(
            revision=current.revision,
            body=current.body if newer else '',
        )

    async def _drain(self, order: DrainOrder) -> Struct:
        if order.node != self._membership.identity.node:
            raise BadRequestError('this is another node')
        self._stop()
        return order

    async def _schedule_switchover(self, order: SwitchOrder) -> Struct:
        self._monitors.schedule_switchover(order.service, order.primary)
        return order


class _Route(Generic[MessageT]):
    def __init__(
        self,
        message_type: type[MessageT],
        respond: Callable[[MessageT], Awaitable[Struct]],
    ) -> None:
        self._message_type = message_type
        self._respond = respond

    async def __call__(self, body: bytes) -> Struct:
        try:
            message = decode_json(body, self._message_type)
        except UnreadableJsonError as exc:
            raise BadRequestError(str(exc)) from exc
        return await self._respond(message)
