"""Handles requests of other nodes."""

from http import HTTPStatus

from msgspec.json import encode

from trefoilhitch.errors import NotFoundError
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.pooler.peer_dependencies import PEER_PREFIX, PeerDependencies
from trefoilhitch.pooler.peer_endpoint_handler import PeerEndpointHandler
from trefoilhitch.pooler.peer_failover_handler import PeerFailoverHandler
from trefoilhitch.pooler.peer_services import PeerServices
from trefoilhitch.pooler.peer_state_handler import PeerStateHandler


class PeerRequestHandler:
    """Handles requests of other nodes.

    Args:
        deps: dependencies of the communication with peers.
        services: what this node does for others.

    """

    def __init__(self, deps: PeerDependencies, services: PeerServices) -> None:
        """Collect the handlers of all calls."""
        calls = {
            **PeerStateHandler(deps, services).handlers(),
            **PeerEndpointHandler(deps, services).handlers(),
            **PeerFailoverHandler(deps, services).handlers(),
        }
        self._handlers = {
            f'{PEER_PREFIX}/{name}': handle_call
            for name, handle_call in calls.items()
        }

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Answer a request of another node.

        Args:
            req: the request.

        Returns:
            The response.

        Raises:
            RefusalError: the request is unknown or malformed.

        """
        handle_call = self._handlers.get(req.path)
        if handle_call is None:
            raise NotFoundError(req.path)
        return HttpResponse(HTTPStatus.OK, encode(await handle_call(req)))
