"""Asks the node that runs a failover whether a commit survives it."""

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import CommitPermitReply, CommitPermitRequest
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.running_attempts import RunningAttempts

PERMIT_TIMEOUT_S = 0.6


class PermitClient:
    """Asks for permission to pass acknowledgements of commits on.

    Args:
        client: sends requests to other nodes.
        address: peer address of this node.
        attempts: the failovers that run in this process.

    """

    def __init__(
        self, client: PeerClient, address: str, attempts: RunningAttempts
    ) -> None:
        """Store the dependencies."""
        self._client = client
        self._address = address
        self._attempts = attempts

    async def request(
        self, address: str, attempt: str, position: LogPosition
    ) -> CommitPermitReply | None:
        """Ask the node that runs a failover.

        Args:
            address: peer address of the node.
            attempt: unique id of the failover.
            position: end of the primary's log when it acknowledged the commit.

        Returns:
            The answer, None without one.

        """
        if address == self._address:
            return await self._attempts.permit(attempt, position)
        return await self._client.request(
            address,
            'commit_permit',
            CommitPermitRequest(
                attempt=attempt,
                term=position.term,
                position=position.position,
            ),
            CommitPermitReply,
            timeout_s=PERMIT_TIMEOUT_S,
        )
