"""Server for clients of the wire protocol."""

import math
from dataclasses import dataclass

from trio import (
    CancelScope,
    Nursery,
    SocketListener,
    current_time,
    open_nursery,
    open_tcp_listeners,
)

from trefoilhitch.byte_stream import ByteStream, ByteStreamError
from trefoilhitch.http_client import is_readable
from trefoilhitch.platform.client_codec import (
    TERMINATE,
    decode_query,
    decode_start,
    encode_error,
    encode_ready,
    encode_response,
)
from trefoilhitch.platform.endpoint_codec import fits_message
from trefoilhitch.platform.line_buffer import LineBuffer, WireError
from trefoilhitch.pooler.client_session import ClientSession
from trefoilhitch.pooler.response import Refusal, SessionState, refusal_response
from trefoilhitch.pooler.session_manager import SessionManager
from trefoilhitch.tcp import accept_stream, enable_keepalive, split_address

RECEIVE_BYTES = 16384
LISTEN_BACKLOG = 512


@dataclass(slots=True, eq=False)
class _ClientConnection:
    """A client's connection.

    Args:
        stream: the open stream.
        buffer: received bytes, split into lines.
        wait_scope: cancelled to stop waiting for the next message.

    """

    stream: ByteStream
    buffer: LineBuffer
    wait_scope: CancelScope | None = None


class WireServer:
    """Accepts clients and runs their statements in sessions.

    Args:
        sessions: opens sessions and decides when to close them.

    """

    def __init__(self, sessions: SessionManager) -> None:
        """Initialise a server without connections."""
        self._sessions = sessions
        self._connections: set[_ClientConnection] = set()

    async def listen(self, nursery: Nursery, address: str) -> None:
        """Listen for clients.

        Args:
            nursery: nursery that runs the connections.
            address: `ADDRESS:PORT`.

        """
        host, port = split_address(address)
        listeners = await open_tcp_listeners(
            port, host=host, backlog=LISTEN_BACKLOG
        )
        nursery.start_soon(self._accept, listeners[0])

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def close_idle(self) -> None:
        """Close connections that wait for a message outside a transaction."""
        for conn in self._connections:
            if conn.wait_scope is not None and not conn.buffer.has_unread_bytes:
                conn.wait_scope.cancel()

    async def _accept(self, listener: SocketListener) -> None:
        async with open_nursery() as nursery:
            while True:
                accepted = await accept_stream(
                    listener, self._record_accept_failure
                )
                enable_keepalive(accepted.socket)
                stream = ByteStream.from_trio(accepted.socket)
                nursery.start_soon(self._serve, stream)

    def _record_accept_failure(self, exc: OSError) -> None:
        self._sessions.log.event('accept_failed', detail=str(exc))

    async def _serve(self, stream: ByteStream) -> None:
        conn = _ClientConnection(stream, LineBuffer())
        self._connections.add(conn)
        try:
            await self._run_session(conn)
        except ByteStreamError:
            return
        except Exception as exc:
            # One client's failure must not end the others' sessions.
            self._sessions.log.report(exc)
        finally:
            self._connections.discard(conn)
            stream.close()

    async def _run_session(self, conn: _ClientConnection) -> None:
        if len(self._connections) > self._sessions.max_sessions:
            await conn.stream.send(
                encode_error(Refusal.BUSY, 'too many sessions')
            )
            return
        session = await self._open_session(conn)
        if session is None:
            return
        try:
            await self._run_statements(conn, session)
        finally:
            session.close()

    async def _open_session(
        self, conn: _ClientConnection
    ) -> ClientSession | None:
        limits = self._sessions.limits
        deadline = current_time() + limits.message_read_s
        try:
            line = await self._next_line(conn, deadline)
            start = decode_start(line) if line else None
        except WireError as exc:
            await conn.stream.send(encode_error(Refusal.MALFORMED, str(exc)))
            return None
        if start is None:
            return None
        session = await self._sessions.open(start)
        if isinstance(session, Refusal):
            await conn.stream.send(encode_error(session, ''))
            return None
        await conn.stream.send(encode_ready())
        return session

    async def _run_statements(
        self, conn: _ClientConnection, session: ClientSession
    ) -> None:
        keep_open = True
        while keep_open and not self._may_close(conn, session):
            try:
                keep_open = await self._run_next_statement(conn, session)
            except WireError as exc:
                response = refusal_response(
                    Refusal.MALFORMED, str(exc), SessionState.FAILED
                )
                await conn.stream.send(encode_response(response))
                return

    async def _run_next_statement(
        self, conn: _ClientConnection, session: ClientSession
    ) -> bool:
        line = await self._next_message(conn, session)
        if line is None or line == TERMINATE:
            return False
        statement = decode_query(line)
        if fits_message(statement):
            response = await session.run(statement)
        else:
            response = session.refuse(statement, 'message too long')
        await conn.stream.send(encode_response(response))
        return True

    def _may_close(
        self, conn: _ClientConnection, session: ClientSession
    ) -> bool:
        if session.in_transaction or conn.buffer.has_unread_bytes:
            return False
        if not self._sessions.closes_idle_sessions:
            return False
        return not is_readable(conn.stream.descriptor)

    async def _next_message(
        self, conn: _ClientConnection, session: ClientSession
    ) -> str | None:
        if not session.in_transaction:
            return await self._next_line(conn, math.inf)
        idle_s = self._sessions.limits.transaction_idle_s
        deadline = min(
            current_time() + idle_s, self._sessions.end_transactions_at
        )
        if not await self._wait_for_bytes(conn, deadline):
            session.abandon_transaction()
        return await self._next_line(conn, math.inf, closable=False)

    async def _wait_for_bytes(
        self, conn: _ClientConnection, deadline: float
    ) -> bool:
        """Return whether a message begins to arrive before the deadline."""
        if conn.buffer.has_unread_bytes:
            return True
        with CancelScope(deadline=deadline):
            conn.buffer.feed(await self._receive(conn))
            return True
        return False

    async def _next_line(
        self, conn: _ClientConnection, deadline: float, *, closable: bool = True
    ) -> str | None:
        line = conn.buffer.next_line()
        while line is None:
            if conn.buffer.has_unread_bytes and deadline == math.inf:
                deadline = current_time() + self._sessions.limits.message_read_s
            if not await self._receive_before(
                conn, deadline, closable=closable
            ):
                return None
            line = conn.buffer.next_line()
        return line

    async def _receive_before(
        self, conn: _ClientConnection, deadline: float, *, closable: bool
    ) -> bool:
        """Receive bytes; return False if the connection is to be closed."""
        scope = CancelScope(deadline=deadline)
        conn.wait_scope = scope if closable else None
        try:
            with scope:
                conn.buffer.feed(await self._receive(conn))
        finally:
            conn.wait_scope = None
        if not scope.cancelled_caught:
            return True
        if conn.buffer.has_unread_bytes:
            raise WireError('message was not sent in time')
        # A message that arrived in the meantime still gets a response.
        return is_readable(conn.stream.descriptor)

    async def _receive(self, conn: _ClientConnection) -> bytes:
        chunk = await conn.stream.receive(RECEIVE_BYTES)
        if not chunk:
            raise ByteStreamError('client closed the connection')
        return chunk
