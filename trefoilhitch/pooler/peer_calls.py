"""Calls of other nodes, over connections that stay open."""

from typing import TypeVar

from msgspec import Struct
from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import RefusalError
from trefoilhitch.http_client import HttpClient
from trefoilhitch.json_client import JsonClient
from trefoilhitch.pooler.peer_parts import PEER_PREFIX

PEER_TIMEOUT_S = 0.5
# A declaration may be large.
DECLARATION_TIMEOUT_S = 1.5
# Characters of a failure that are logged.
MAX_DETAIL = 200

ReplyT = TypeVar('ReplyT')


class PeerCalls:
    """Calls other nodes.

    Args:
        log: takes note of failures.

    """

    def __init__(self, log: DecisionLog) -> None:
        """Start without connections."""
        self._log = log
        self._clients: dict[str, HttpClient] = {}

    async def ask(
        self,
        address: str,
        name: str,
        message: Struct,
        reply_type: type[ReplyT],
        *,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> ReplyT | None:
        """Call another node.

        Args:
            address: its peer address.
            name: name of the call.
            message: what to send.
            reply_type: what it answers.
            timeout_s: longest time for the answer.

        Returns:
            The answer, None if there was none.

        """
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, max_idle=2)
            self._clients[address] = client
        calls = JsonClient(exchanger=client, error_reader=_peer_failure)
        try:
            return await calls.post(
                f'{PEER_PREFIX}/{name}',
                message,
                reply_type,
                current_time() + timeout_s,
            )
        except RefusalError as exc:
            self._log.event(
                'peer_failed', peer=address, call=name, detail=str(exc)
            )
            return None


def _peer_failure(body: bytes) -> Exception:
    return RefusalError(body.decode(errors='replace')[:MAX_DETAIL])
