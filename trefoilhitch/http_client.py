"""HTTP/1.1 client on trio: a whole answer, or a closed connection."""

from collections import deque
from select import POLLIN, poll
from typing import Self

from httptools import HttpParserError, HttpResponseParser
from trio import CancelScope

from trefoilhitch.byte_stream import ByteStream, ByteStreamError
from trefoilhitch.errors import (
    ConnectionLostError,
    DeadlineError,
    UnreachableError,
)
from trefoilhitch.http_message import HttpRequest, HttpResponse, encode_request
from trefoilhitch.tcp import open_stream

RECEIVE_BYTES = 65536


def is_readable(descriptor: int) -> bool:
    """Tell whether a socket has something to read, its end included.

    Args:
        descriptor: file descriptor of the socket.

    Returns:
        True if a read would not wait.

    """
    poller = poll()
    poller.register(descriptor, POLLIN)
    return bool(poller.poll(0))


class ResponseParser:
    """Collects one response from the bytes of a connection."""

    def __init__(self) -> None:
        """Start at the beginning of a response."""
        self.complete = False
        self._keep_alive = True
        self._body = bytearray()
        self._parser = HttpResponseParser(self)

    def feed(self, chunk: bytes) -> None:
        """Take received bytes.

        Args:
            chunk: bytes in the order of their arrival.

        Raises:
            ConnectionLostError: they are not an HTTP response.

        """
        try:
            self._parser.feed_data(chunk)
        except HttpParserError as exc:
            raise ConnectionLostError('not an HTTP response') from exc

    def response(self) -> HttpResponse:
        """Return the whole response."""
        return HttpResponse(
            self._parser.get_status_code(),
            bytes(self._body),
            close=not self._keep_alive,
        )

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body.

        Args:
            body: the part.

        """
        self._body += body

    def on_headers_complete(self) -> None:
        """Note whether the connection stays open."""
        self._keep_alive = self._parser.should_keep_alive()

    def on_message_complete(self) -> None:
        """Note the last byte of the response."""
        self.complete = True


class HttpConnection:
    """A connection that carries one request at a time.

    Args:
        stream: the open stream.
        address: `ADDRESS:PORT` of the server.

    """

    def __init__(self, stream: ByteStream, address: str) -> None:
        """Keep the stream."""
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
            UnreachableError: the server did not accept in time.

        """
        with CancelScope(deadline=deadline):
            try:
                return cls(await open_stream(address), address)
            except OSError as exc:
                raise UnreachableError(f'{address}: {exc}') from exc
        raise UnreachableError(f'{address}: no connection before the deadline')

    async def exchange(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request and wait for its whole answer.

        If the answer does not arrive whole, for whatever cause, the connection
        is closed, so that nobody can take a late answer for their own.

        Args:
            req: the request.
            deadline: monotonic time.

        Returns:
            The whole response.

        Raises:
            ConnectionLostError: the connection failed.
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
        """Close at once."""
        self.closed = True
        self._stream.close()

    def is_stale(self) -> bool:
        """Tell whether the server ended or misused an idle connection.

        Returns:
            True if the connection must not be used.

        """
        return self.closed or is_readable(self._stream.descriptor)

    async def _exchange(self, req: HttpRequest) -> HttpResponse:
        await self._stream.send(encode_request(req, self._address))
        reader = ResponseParser()
        while not reader.complete:
            chunk = await self._stream.receive(RECEIVE_BYTES)
            if not chunk:
                raise ConnectionLostError(
                    f'{self._address}: closed before the answer'
                )
            reader.feed(chunk)
        return reader.response()


class HttpClient:
    """Keeps idle connections to one server and opens more as needed.

    Args:
        address: `ADDRESS:PORT`.
        max_idle: most idle connections that are kept.

    """

    def __init__(self, address: str, *, max_idle: int = 64) -> None:
        """Start without connections."""
        self.address = address
        self._max_idle = max_idle
        self._idle: deque[HttpConnection] = deque()

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request on a connection of its own.

        Args:
            req: the request.
            deadline: monotonic time.

        Returns:
            The whole response.

        Raises:
            UnreachableError: no connection; nothing was sent.
            ConnectionLostError: the connection failed.
            DeadlineError: the deadline passed first.

        """
        conn = self._pop_idle() or await HttpConnection.open(
            self.address, deadline
        )
        resp = await conn.exchange(req, deadline)
        self._release(conn)
        return resp

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
