"""Stops nodes from waiting for a node that accepts no connections.

When the accept queue of a node overflows, each of the many requests to it
would wait for a connection until its time-out, one after the other. Here, the
first that gets none in time ends the wait of all others, and later ones fail at
once, until one trial at a time shows that the node responds again.
"""

from functools import partial
from random import Random

from trio import (
    CancelScope,
    Nursery,
    current_time,
    open_nursery,
    sleep,
    sleep_forever,
)

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import UnreachableError
from trefoilhitch.http_client import ConnectionOpener, HttpConnection
from trefoilhitch.pooler.control.failure_backoff import pause_s
from trefoilhitch.pooler.reported_call import run_reported

# Longest time for a node to accept a connection: five round trips between
# regions, and half of what a statement may take to reach a stand-in. Waiting
# longer does not help against a lost packet: it is sent again after a second.
CONNECT_TIMEOUT_S = 0.2
# Time after which a node that never accepts a connection is tried by requests
# again. A VM that was removed has been found failed by then.
MAX_TRIALS_S = 30.0


class NoConnectionsError(UnreachableError):
    """Another request found that the node accepts no connections."""


class ConnectionGuard:
    """Opens connections to other nodes, unless they are known to accept none.

    Args:
        random: spreads the trials of many nodes.
        log: records nodes that accept no connections.
        open_connection: opens a connection to an address until a deadline.

    """

    def __init__(
        self,
        *,
        random: Random,
        log: DecisionLog,
        open_connection: ConnectionOpener = HttpConnection.open,
    ) -> None:
        """Start without failures."""
        self._random = random
        self._log = log
        self._open_connection = open_connection
        self._waiting: dict[str, set[CancelScope]] = {}
        self._refusing: set[str] = set()
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Try nodes that accepted no connection, until cancelled."""
        try:
            async with open_nursery() as nursery:
                self._nursery = nursery
                await sleep_forever()
        finally:
            # Without trials, requests try for themselves.
            self._nursery = None
            self._refusing.clear()

    def accepts(self, address: str) -> bool:
        """Return whether a node may accept a connection.

        Args:
            address: peer address of the node.

        """
        return address not in self._refusing

    async def open(self, address: str, deadline: float) -> HttpConnection:
        """Connect to a node.

        Args:
            address: peer address of the node.
            deadline: monotonic time.

        Returns:
            The connection.

        Raises:
            UnreachableError: none was established in time.
            NoConnectionsError: another request found that the node accepts
                none.

        """
        waiting = self._waiting.setdefault(address, set())
        scope = CancelScope()
        waiting.add(scope)
        try:
            with scope:
                return await self._attempt(address, deadline)
        finally:
            waiting.discard(scope)
            if not waiting:
                self._waiting.pop(address, None)
        raise NoConnectionsError(f'{address}: accepts no connections')

    async def _attempt(self, address: str, deadline: float) -> HttpConnection:
        connect_by = current_time() + CONNECT_TIMEOUT_S
        try:
            conn = await self._open_connection(
                address, min(connect_by, deadline)
            )
        except UnreachableError:
            # A node that refuses a connection does so at once, so that nobody
            # waits. A request with less time proves nothing.
            if current_time() >= connect_by:
                self._on_failure(address)
            raise
        self._refusing.discard(address)
        return conn

    def _on_failure(self, address: str) -> None:
        if self._nursery is None or address in self._refusing:
            return
        self._refusing.add(address)
        self._log.event('peer_accepts_no_connections', peer=address)
        for scope in self._waiting.get(address, ()):
            scope.cancel()
        self._nursery.start_soon(
            run_reported, self._log, partial(self._try_until_response, address)
        )

    async def _try_until_response(self, address: str) -> None:
        """Try a node, at once and then after growing pauses."""
        give_up_at = current_time() + MAX_TRIALS_S
        failures = 0
        try:
            while address in self._refusing and current_time() < give_up_at:
                if await self._responds(address):
                    break
                failures += 1
                await sleep(pause_s(failures, self._random.random()))
        finally:
            self._refusing.discard(address)
        self._log.event('peer_trials_ended', peer=address, failures=failures)

    async def _responds(self, address: str) -> bool:
        """Return whether a node accepts or refuses a connection in time."""
        connect_by = current_time() + CONNECT_TIMEOUT_S
        try:
            conn = await self._open_connection(address, connect_by)
        except UnreachableError:
            return current_time() < connect_by
        conn.close()
        return True
