"""HTTP/1.1 client on trio; a connection without a full response is closed."""

import math
from collections import deque
from collections.abc import Awaitable, Callable
from select import POLLIN, poll
from typing import Self

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from trio import CancelScope, current_time

from trefoilhitch.byte_stream import ByteStream, ByteStreamError
from trefoilhitch.errors import (
    ConnectionLostError,
    DeadlineError,
    UnreachableError,
)
from trefoilhitch.http_message import HttpRequest, HttpResponse, encode_request
from trefoilhitch.tcp import open_stream

RECEIVE_BYTES = 65536
MAX_HEAD_BYTES = 262144
# Far above the largest page of the store.
MAX_BODY_BYTES = 67108864
_FIRST_FINAL_STATUS = 200


def is_readable(descriptor: int) -> bool:
    """Return whether a socket has data to read or has reached its end.

    Args:
        descriptor: file descriptor of the socket.

    Returns:
        True if a read would not block.

    """
    poller = poll()
    poller.register(descriptor, POLLIN)
    return bool(poller.poll(0))


class ResponseParser:
    """Parses one response from the bytes of a connection."""

    def __init__(self) -> None:
        """Start at the beginning of a response."""
        self.complete = False
        self._has_surplus = False
        self._head_bytes = 0
        self._keep_alive = True
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._parser = HttpResponseParser(self)

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes.

        Args:
            chunk: next bytes of the connection.

        Raises:
            ConnectionLostError: the bytes are not one HTTP response, or it is
                over the limits.

        """
        self._head_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except (HttpParserError, HttpParserUpgrade) as exc:
            raise ConnectionLostError('not an HTTP response') from exc
        if self._has_surplus:
            raise ConnectionLostError('more than one response')
        if self._is_too_large():
            raise ConnectionLostError('response too large')

    def response(self) -> HttpResponse:
        """Return the complete response."""
        return HttpResponse(
            self._parser.get_status_code(),
            bytes(self._body),
            self._headers,
            close=not self._keep_alive,
        )

    def on_message_begin(self) -> None:
        """Record bytes after the end of the response."""
        self._has_surplus = self.complete

    def on_header(self, name: bytes, text: bytes) -> None:
        """Record a header.

        Args:
            name: its name.
            text: its value.

        """
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body.

        Args:
            body: part of the body.

        """
        self._head_bytes = 0
        self._body += body

    def on_headers_complete(self) -> None:
        """Record whether the connection stays open."""
        self._keep_alive = self._parser.should_keep_alive()

    def on_message_complete(self) -> None:
        """Record the end of the response, unless it is only informational."""
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self.complete = True
        else:
            self._headers = {}

    def _is_too_large(self) -> bool:
        if len(self._body) > MAX_BODY_BYTES:
            return True
        return not self.complete and self._head_bytes > MAX_HEAD_BYTES


class HttpConnection:
    """Connection that carries one request at a time.

    Args:
        stream: open stream to the server.
        address: `ADDRESS:PORT` of the server.

    """

    def __init__(self, stream: ByteStream, address: str) -> None:
        """Store the stream."""
        self.closed = False
        self._stream = stream
        self._address = address

    @classmethod
    async def open(cls, address: str, deadline: float) -> Self:
        """Connect to a server.

        Args:
            address: `ADDRESS:PORT`.
            deadline: monotonic time.

        Returns:
            The open connection.

        Raises:
            UnreachableError: no connection was established in time.

        """
        with CancelScope(deadline=deadline):
            try:
                return cls(await open_stream(address), address)
            except OSError as exc:
                raise UnreachableError(f'{address}: {exc}') from exc
        raise UnreachableError(f'{address}: no connection before the deadline')

    async def exchange(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request and wait for the complete response.

        Without a complete response, the connection is closed, so that a late
        response cannot be taken for that of the next request.

        Args:
            req: request to send.
            deadline: monotonic time.

        Returns:
            The response.

        Raises:
            ConnectionLostError: the connection failed, the response was not
                valid, or the request cannot be encoded.
            DeadlineError: the deadline passed first.

        """
        resp = None
        try:
            with CancelScope(deadline=deadline):
                resp = await self._exchange(req)
        except ByteStreamError as exc:
            raise ConnectionLostError(f'{self._address}: {exc}') from exc
        finally:
            if resp is None or resp.close:
                self.close()
        if resp is None:
            raise DeadlineError(
                f'{self._address}: no answer before the deadline'
            )
        return resp

    def close(self) -> None:
        """Close the connection immediately."""
        self.closed = True
        self._stream.close()

    def is_stale(self) -> bool:
        """Return whether an idle connection is unusable.

        Returns:
            True if it is closed, the server has closed it, or the server has
            sent bytes without a request.

        """
        return self.closed or is_readable(self._stream.descriptor)

    async def _exchange(self, req: HttpRequest) -> HttpResponse:
        await self._stream.send(self._encode(req))
        parser = ResponseParser()
        while not parser.complete:
            chunk = await self._stream.receive(RECEIVE_BYTES)
            if not chunk:
                raise ConnectionLostError(
                    f'{self._address}: closed before the answer'
                )
            parser.feed(chunk)
        return parser.response()

    def _encode(self, req: HttpRequest) -> bytes:
        try:
            return encode_request(req, self._address)
        except ValueError as exc:
            raise ConnectionLostError(
                f'{self._address}: {exc}', run='no'
            ) from exc


ConnectionOpener = Callable[[str, float], Awaitable[HttpConnection]]


class HttpClient:
    """Reuses idle connections to one server and opens more as needed.

    Args:
        address: `ADDRESS:PORT` of the server.
        max_idle: largest number of idle connections.
        connect_timeout_s: longest time for the server to accept a connection,
            in seconds.
        open_connection: opens a connection to an address until a deadline.

    """

    def __init__(
        self,
        address: str,
        *,
        max_idle: int = 64,
        connect_timeout_s: float = math.inf,
        open_connection: ConnectionOpener = HttpConnection.open,
    ) -> None:
        """Start without connections."""
        self.address = address
        self._open_connection = open_connection
        self._max_idle = max_idle
        self._connect_timeout_s = connect_timeout_s
        self._idle: deque[HttpConnection] = deque()

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request on an idle or a new connection.

        Args:
            req: request to send.
            deadline: monotonic time.

        Returns:
            The response.

        Raises:
            UnreachableError: no connection was established; nothing was sent.
            ConnectionLostError: the connection failed.
            DeadlineError: the deadline passed first.

        """
        connect_by = min(deadline, current_time() + self._connect_timeout_s)
        conn = self._pop_idle() or await self._open_connection(
            self.address, connect_by
        )
        resp = await conn.exchange(req, deadline)
        self._release(conn)
        return resp

    def has_idle(self) -> bool:
        """Return whether the next request needs no new connection."""
        conn = self._pop_idle()
        if conn is not None:
            self._idle.append(conn)
        return conn is not None

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _pop_idle(self) -> HttpConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_stale():
                return conn
            conn.close()
        return None

    def _release(self, conn: HttpConnection) -> None:
        if conn.closed:
            return
        if len(self._idle) >= self._max_idle:
            conn.close()
            return
        self._idle.append(conn)
