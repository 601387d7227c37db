"""Clients' sessions over the wire protocol."""

import math
from dataclasses import dataclass

from trio import (
    CancelScope,
    Nursery,
    SocketListener,
    current_time,
    open_nursery,
    open_tcp_listeners,
    sleep,
)

from trefoilhitch.byte_stream import ByteStream, ByteStreamError
from trefoilhitch.http_client import is_readable
from trefoilhitch.platform.client_codec import (
    TERMINATE,
    decode_query,
    decode_start,
    encode_answer,
    encode_error,
    encode_ready,
)
from trefoilhitch.platform.lines import LineBuffer, WireError
from trefoilhitch.pooler.client_session import ClientSession
from trefoilhitch.pooler.response import Refusal, SessionState, refusal_response
from trefoilhitch.pooler.service import PoolerService
from trefoilhitch.tcp import split_address, watch_silence

RECEIVE_BYTES = 16384
BACKLOG = 512
ACCEPT_PAUSE_S = 0.05


@dataclass(slots=True, eq=False)
class _Connection:
    """A client's connection.

    Args:
        stream: the open stream.
        lines: what was received.
        waiting: cancelled to stop waiting for the next message.

    """

    stream: ByteStream
    lines: LineBuffer
    waiting: CancelScope | None = None


class FrontServer:
    """Accepts clients and carries their statements to sessions.

    Args:
        service: opens sessions and says when to close them.

    """

    def __init__(self, service: PoolerService) -> None:
        """Start without connections."""
        self._service = service
        self._open: set[_Connection] = set()

    async def listen(self, nursery: Nursery, address: str) -> None:
        """Accept clients.

        Args:
            nursery: runs the connections.
            address: `ADDRESS:PORT`.

        """
        host, port = split_address(address)
        listeners = await open_tcp_listeners(port, host=host, backlog=BACKLOG)
        nursery.start_soon(self._accept, listeners[0])

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._open)

    def close_idle(self) -> None:
        """Have connections closed that wait for a message outside of one."""
        for conn in self._open:
            if conn.waiting is not None and not conn.lines.partial:
                conn.waiting.cancel()

    async def _accept(self, listener: SocketListener) -> None:
        async with open_nursery() as nursery:
            while True:
                try:
                    accepted = await listener.accept()
                except OSError as exc:
                    self._service.log.event('accept_failed', detail=str(exc))
                    await sleep(ACCEPT_PAUSE_S)
                    continue
                watch_silence(accepted.socket)
                stream = ByteStream.from_trio(accepted.socket)
                nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: ByteStream) -> None:
        conn = _Connection(stream, LineBuffer())
        self._open.add(conn)
        try:
            await self._converse(conn)
        except ByteStreamError:
            return
        except Exception as exc:
            # One client's failure must not end the others' sessions.
            self._service.log.report(exc)
        finally:
            self._open.discard(conn)
            stream.close()

    async def _converse(self, conn: _Connection) -> None:
        if len(self._open) > self._service.max_sessions:
            await conn.stream.send(
                encode_error(Refusal.BUSY, 'too many sessions')
            )
            return
        session = await self._start(conn)
        if session is None:
            return
        try:
            await self._answer_all(conn, session)
        finally:
            session.close()

    async def _start(self, conn: _Connection) -> ClientSession | None:
        limits = self._service.limits
        deadline = current_time() + limits.message_read_s
        try:
            line = await self._next_line(conn, deadline)
            start = decode_start(line) if line else None
        except WireError as exc:
            await conn.stream.send(encode_error(Refusal.MALFORMED, str(exc)))
            return None
        if start is None:
            return None
        session = await self._service.open(start)
        if isinstance(session, Refusal):
            await conn.stream.send(encode_error(session, ''))
            return None
        await conn.stream.send(encode_ready())
        return session

    async def _answer_all(
        self, conn: _Connection, session: ClientSession
    ) -> None:
        answered = True
        while answered and not self._may_close(conn, session):
            try:
                answered = await self._answer_next(conn, session)
            except WireError as exc:
                answer = refusal_response(
                    Refusal.MALFORMED, str(exc), SessionState.FAILED
                )
                await conn.stream.send(encode_answer(answer))
                return

    async def _answer_next(
        self, conn: _Connection, session: ClientSession
    ) -> bool:
        line = await self._next_message(conn, session)
        if line is None or line == TERMINATE:
            return False
        answer = await session.run(decode_query(line))
        await conn.stream.send(encode_answer(answer))
        return True

    def _may_close(self, conn: _Connection, session: ClientSession) -> bool:
        if session.in_transaction or conn.lines.partial:
            return False
        if not self._service.closing_idle:
            return False
        return not is_readable(conn.stream.descriptor)

    async def _next_message(
        self, conn: _Connection, session: ClientSession
    ) -> str | None:
        if not session.in_transaction:
            return await self._next_line(conn, math.inf)
        idle_s = self._service.limits.transaction_idle_s
        deadline = min(
            current_time() + idle_s, self._service.end_transactions_at
        )
        if not await self._wait_for_bytes(conn, deadline):
            session.abandon_transaction()
        return await self._next_line(conn, math.inf, closable=False)

    async def _wait_for_bytes(self, conn: _Connection, deadline: float) -> bool:
        """Wait until a message begins to arrive, or a deadline passes."""
        if conn.lines.partial:
            return True
        with CancelScope(deadline=deadline):
            conn.lines.feed(await self._receive(conn))
            return True
        return False

    async def _next_line(
        self, conn: _Connection, deadline: float, *, closable: bool = True
    ) -> str | None:
        line = conn.lines.next_line()
        while line is None:
            if conn.lines.partial and deadline == math.inf:
                deadline = current_time() + self._service.limits.message_read_s
            if not await self._receive_before(
                conn, deadline, closable=closable
            ):
                return None
            line = conn.lines.next_line()
        return line

    async def _receive_before(
        self, conn: _Connection, deadline: float, *, closable: bool
    ) -> bool:
        """Receive bytes, unless the connection is to be closed instead."""
        scope = CancelScope(deadline=deadline)
        conn.waiting = scope if closable else None
        try:
            with scope:
                conn.lines.feed(await self._receive(conn))
        finally:
            conn.waiting = None
        if not scope.cancelled_caught:
            return True
        if conn.lines.partial:
            raise WireError('message was not sent in time')
        # A message that arrived meanwhile is still answered.
        return is_readable(conn.stream.descriptor)

    async def _receive(self, conn: _Connection) -> bytes:
        chunk = await conn.stream.receive(RECEIVE_BYTES)
        if not chunk:
            raise ByteStreamError('the client closed')
        return chunk
