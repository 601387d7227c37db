"""Sends other nodes' requests to endpoints over this node's connections."""

from trefoilhitch._generated.peer import (
    AbandonReply,
    AbandonRequest,
    CheckReply,
    CheckRequest,
    RunReply,
    RunRequest,
    StatusReport,
    StatusRequest,
)
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.pooler.peer_dependencies import PeerDependencies
from trefoilhitch.pooler.peer_services import (
    PeerCallHandler,
    PeerServices,
    read_message,
)


class PeerEndpointHandler:
    """Sends requests of other nodes to endpoints.

    Args:
        deps: dependencies of the communication with peers.
        services: what this node does for others.

    """

    def __init__(self, deps: PeerDependencies, services: PeerServices) -> None:
        """Store the dependencies."""
        self._deps = deps
        self._services = services

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Return the handlers by the names of the calls."""
        return {
            'check': self._check,
            'status': self._status,
            'run': self._run,
            'abandon': self._abandon,
        }

    async def _check(self, req: HttpRequest) -> CheckReply:
        request = read_message(req, CheckRequest)
        sent_at = self._deps.cluster.clock()
        status = await self._deps.control.status(request.endpoint)
        if status is None:
            return CheckReply(answered=False, leads=False)
        if status.is_primary:
            self._deps.cluster.record_answered(request.service, sent_at)
        return CheckReply(answered=True, leads=status.is_primary)

    async def _status(self, req: HttpRequest) -> StatusReport:
        return await self._services.statuses.answer(
            read_message(req, StatusRequest)
        )

    async def _run(self, req: HttpRequest) -> RunReply:
        return await self._services.gateway.run(read_message(req, RunRequest))

    async def _abandon(self, req: HttpRequest) -> AbandonReply:
        return self._services.gateway.abandon(read_message(req, AbandonRequest))
