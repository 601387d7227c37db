"""Answers other nodes' requests about failovers."""

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    CommitPermitReply,
    CommitPermitRequest,
    FailoverNotice,
    FailoverNoticeReply,
    LeaseAttemptReply,
    LeaseAttemptRequest,
)
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.pooler.peer_dependencies import PeerDependencies
from trefoilhitch.pooler.peer_services import (
    PeerCallHandler,
    PeerServices,
    read_message,
)


class PeerFailoverHandler:
    """Answers requests about the failovers of this node and of others.

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
            'lease_attempt': self._lease_attempt,
            'failover_notice': self._failover_notice,
            'commit_permit': self._commit_permit,
        }

    async def _lease_attempt(self, req: HttpRequest) -> LeaseAttemptReply:
        request = read_message(req, LeaseAttemptRequest)
        # Only the holder knows whether its failover has ended.
        is_holder = request.node == self._deps.membership.heartbeat.node
        attempts = self._services.attempts
        return LeaseAttemptReply(
            running=not is_holder or attempts.is_running(request.attempt)
        )

    async def _failover_notice(self, req: HttpRequest) -> FailoverNoticeReply:
        return self._services.announcer.reply(read_message(req, FailoverNotice))

    async def _commit_permit(self, req: HttpRequest) -> CommitPermitReply:
        request = read_message(req, CommitPermitRequest)
        position = LogPosition(term=request.term, position=request.position)
        return await self._services.attempts.permit(request.attempt, position)
