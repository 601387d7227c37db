"""Sends requests to other nodes over persistent connections."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from msgspec import Struct
from trio import Nursery, current_time, open_nursery, sleep_forever

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import RefusalError
from trefoilhitch.http_client import HttpClient, HttpConnection
from trefoilhitch.json_client import JsonClient
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.control.connection_guard import (
    ConnectionGuard,
    NoConnectionsError,
)
from trefoilhitch.pooler.peer_decoding import decode_message
from trefoilhitch.pooler.peer_dependencies import PEER_PREFIX
from trefoilhitch.pooler.reported_call import run_reported

PEER_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.3
# Idle connections that are kept to each node.
MAX_IDLE_CONNECTIONS = 4
# A declaration may be large.
DECLARATION_TIMEOUT_S = 1.5
# Longest detail of a failure that is logged.
MAX_DETAIL_CHARS = 200

# Calls that are always tried: they find out which nodes are reachable, or are
# of use at one node only.
_UNGUARDED_CALLS = frozenset(('exchange', 'probe', 'abandon', 'lease_attempt'))
ReplyT = TypeVar('ReplyT')


class PeerClient:
    """Sends requests to other nodes.

    Args:
        log: records failed requests.
        guard: tells which nodes accept no connections; None if each request
            finds out for itself.
        metrics: counts requests and their failures by call.

    """

    def __init__(
        self,
        log: DecisionLog,
        *,
        guard: ConnectionGuard | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Start without connections."""
        self.log = log
        self._guard = guard
        self._metrics = metrics or Metrics()
        self._connections: dict[str, HttpClient] = {}
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Run the requests that nobody waits for, until cancelled."""
        try:
            async with open_nursery() as nursery:
                if self._guard is not None:
                    nursery.start_soon(self._guard.run)
                self._nursery = nursery
                await sleep_forever()
        finally:
            self._nursery = None

    @property
    def is_guarded(self) -> bool:
        """Whether requests to nodes that accept no connections fail at once."""
        return self._guard is not None

    def accepts_connections(self, address: str) -> bool:
        """Return whether a node may accept a connection.

        Args:
            address: peer address of the node.

        Returns:
            False if it is known to accept none. Those that are open may then
            be cut off as well, which shows only when a response is missing.

        """
        return self._guard is None or self._guard.accepts(address)

    def may_reach(self, address: str) -> bool:
        """Return whether a request to a node may be sent at the moment.

        Args:
            address: peer address of the node.

        Returns:
            False if the node is known to accept no connections and none is
            idle.

        """
        if self.accepts_connections(address):
            return True
        return self._http_client(address).has_idle()

    def start_request(
        self,
        address: str,
        name: str,
        message: Struct,
        reply_type: type[ReplyT],
        *,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> None:
        """Send a request without waiting for its response.

        Args:
            address: peer address of the node.
            name: name of the request.
            message: body of the request.
            reply_type: type of the response's body.
            timeout_s: longest time for the response, in seconds.

        """
        if self._nursery is not None:
            self._nursery.start_soon(
                partial(
                    self.request,
                    address,
                    name,
                    message,
                    reply_type,
                    timeout_s=timeout_s,
                )
            )

    async def call(
        self,
        address: str,
        name: str,
        message: Struct,
        reply_type: type[ReplyT],
        deadline: float,
        *,
        bypasses_guard: bool = False,
    ) -> ReplyT:
        """Send a request to another node and return its response.

        Args:
            address: peer address of the node.
            name: name of the request.
            message: body of the request.
            reply_type: type of the response's body.
            deadline: monotonic time.
            bypasses_guard: whether the request is sent although the node is
                known to accept no connections, as no other node can serve it.

        Returns:
            The response's body.

        Raises:
            UnreachableError: no connection was established; nothing was sent.
            RefusalError: the request failed.

        """
        self._metrics.count('peer_requests', name)
        is_tried = bypasses_guard or name in _UNGUARDED_CALLS
        if not (is_tried or self.may_reach(address)):
            raise NoConnectionsError(f'{address}: accepts no connections')
        json_client = JsonClient(
            transport=self._http_client(address),
            error_decoder=_peer_failure,
            reply_decoder=decode_message,
        )
        post = partial(
            json_client.post,
            f'{PEER_PREFIX}/{name}',
            message,
            reply_type,
            deadline,
        )
        try:
            return await post()
        except NoConnectionsError:
            if not is_tried:
                raise
        return await post()

    async def request(
        self,
        address: str,
        name: str,
        message: Struct,
        reply_type: type[ReplyT],
        *,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> ReplyT | None:
        """Send a request to another node.

        Args:
            address: peer address of the node.
            name: name of the request.
            message: body of the request.
            reply_type: type of the response's body.
            timeout_s: longest time for the response, in seconds.

        Returns:
            The response's body, or None if the request failed.

        """
        deadline = current_time() + timeout_s
        call = partial(self.call, address, name, message, reply_type, deadline)
        return await run_reported(
            self.log, partial(self._log_refusal, address, name, call)
        )

    def _http_client(self, address: str) -> HttpClient:
        http_client = self._connections.get(address)
        if http_client is None:
            opener = self._guard.open if self._guard else HttpConnection.open
            http_client = HttpClient(
                address,
                max_idle=MAX_IDLE_CONNECTIONS,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                open_connection=opener,
            )
            self._connections[address] = http_client
        return http_client

    async def _log_refusal(
        self, address: str, name: str, call: Callable[[], Awaitable[ReplyT]]
    ) -> ReplyT | None:
        try:
            return await call()
        except RefusalError as exc:
            self._metrics.count('peer_failures', name)
            self.log.event(
                'peer_failed', peer=address, call=name, detail=str(exc)
            )
            return None


def _peer_failure(body: bytes) -> Exception:
    return RefusalError(body.decode(errors='replace')[:MAX_DETAIL_CHARS])
