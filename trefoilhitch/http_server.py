"""HTTP/1.1 server on trio with graceful shutdown."""

import math
from dataclasses import replace
from typing import Protocol

from msgspec.json import encode
from trio import (
    CancelScope,
    Nursery,
    SocketListener,
    current_time,
    open_nursery,
    open_tcp_listeners,
)

from trefoilhitch.byte_stream import ByteStream, ByteStreamError
from trefoilhitch.errors import (
    BodyTooLargeError,
    ConnectionLimitError,
    InternalError,
    RefusalError,
    RequestTimeoutError,
)
from trefoilhitch.http_message import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RequestHandler,
    encode_response,
)
from trefoilhitch.request_parser import RequestParser
from trefoilhitch.tcp import accept_stream

RECEIVE_BYTES = 16384
ACCEPT_BACKLOG = 1024


class ErrorReporter(Protocol):
    """Records unexpected exceptions of a server."""

    def report(self, exc: Exception) -> None:
        """Record an unexpected exception.

        Args:
            exc: exception that a request handler raised.

        """


class RequestHandlerFactory(Protocol):
    """Creates the request handler of each connection."""

    def connection_opened(self) -> RequestHandler:
        """Return the request handler for a new connection."""

    def connection_closed(self, request_handler: RequestHandler) -> None:
        """Release the request handler of a closed connection.

        Args:
            request_handler: handler that `connection_opened` returned.

        """


class SharedHandlerFactory:
    """Uses one request handler for all connections.

    Args:
        request_handler: handler of all requests.

    """

    def __init__(self, request_handler: RequestHandler) -> None:
        """Store the request handler."""
        self._request_handler = request_handler

    def connection_opened(self) -> RequestHandler:
        """Return the shared request handler."""
        return self._request_handler

    def connection_closed(self, request_handler: RequestHandler) -> None:
        """Release nothing, because the request handler is shared.

        Args:
            request_handler: the shared request handler.

        """


class HttpServer:
    """Serves HTTP on one address until it is stopped.

    Args:
        factory: creates a request handler for each connection.
        reporter: records unexpected exceptions.
        limits: limits on connections and requests.

    """

    def __init__(
        self,
        *,
        factory: RequestHandlerFactory,
        reporter: ErrorReporter,
        limits: HttpLimits | None = None,
    ) -> None:
        """Start without connections."""
        self.connections = 0
        self._factory = factory
        self._reporter = reporter
        self._limits = limits or HttpLimits()
        self._draining = False
        self._stopping = False
        self._idle_scopes: set[CancelScope] = set()
        self._accept_scope = CancelScope()

    async def listen(self, nursery: Nursery, address: str, port: int) -> int:
        """Open a listener and serve it in the background.

        Args:
            nursery: runs the tasks of the server.
            address: IPv4 address to listen on.
            port: TCP port; 0 for any free port.

        Returns:
            The TCP port in use.

        """
        listeners = await open_tcp_listeners(
            port, host=address, backlog=ACCEPT_BACKLOG
        )
        nursery.start_soon(self._accept_connections, listeners[0])
        return int(listeners[0].socket.getsockname()[1])

    def drain(self) -> None:
        """Close each connection after its next response."""
        self._draining = True

    def stop(self) -> None:
        """Close the listener and idle connections; let open requests finish."""
        self._draining = True
        self._stopping = True
        self._accept_scope.cancel()
        for scope in self._idle_scopes:
            scope.cancel()

    async def _accept_connections(self, listener: SocketListener) -> None:
        async with listener, open_nursery() as nursery:
            with self._accept_scope:
                while not self._stopping:
                    accepted = await accept_stream(
                        listener, self._reporter.report
                    )
                    stream = ByteStream.from_trio(accepted.socket)
                    nursery.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: ByteStream) -> None:
        self.connections += 1
        request_handler = self._factory.connection_opened()
        try:
            await self._serve_requests(stream, request_handler)
        except ByteStreamError:
            return
        except Exception as exc:
            # One caller's failure must not end the connections of others.
            self._reporter.report(exc)
        finally:
            self._close_connection(stream, request_handler)

    def _close_connection(
        self, stream: ByteStream, request_handler: RequestHandler
    ) -> None:
        stream.close()
        self.connections -= 1
        self._factory.connection_closed(request_handler)

    async def _serve_requests(
        self, stream: ByteStream, request_handler: RequestHandler
    ) -> None:
        if self.connections > self._limits.connections:
            await _send(
                stream, _refusal_response(ConnectionLimitError(), close=True)
            )
            return
        parser = RequestParser(self._limits)
        scope = CancelScope()
        with scope:
            keep_open = True
            while keep_open and not self._stopping:
                keep_open = await self._serve_request(
                    stream, parser, request_handler, scope
                )
        if scope.cancelled_caught and parser.partial:
            await _send(
                stream, _refusal_response(RequestTimeoutError(), close=True)
            )

    async def _serve_request(
        self,
        stream: ByteStream,
        parser: RequestParser,
        request_handler: RequestHandler,
        scope: CancelScope,
    ) -> bool:
        """Receive one request and send its response.

        Returns:
            Whether the connection stays open.

        """
        try:
            req = await self._receive(stream, parser, scope)
        except BodyTooLargeError as too_large:
            await _send(stream, _refusal_response(too_large))
            return True
        except RefusalError as exc:
            await _send(stream, _refusal_response(exc, close=True))
            return False
        if req is None:
            return False
        resp = await self._respond(request_handler, req)
        is_last = parser.is_exhausted or _wants_close(req)
        keep_open = not (resp.close or self._draining or is_last)
        if not keep_open:
            resp = replace(resp, close=True)
        await _send(stream, resp)
        return keep_open

    async def _respond(
        self, request_handler: RequestHandler, req: HttpRequest
    ) -> HttpResponse:
        try:
            return await request_handler.respond(req)
        except RefusalError as refusal:
            return _refusal_response(refusal)
        except Exception as exc:
            self._reporter.report(exc)
            return _refusal_response(InternalError('see the log of this node'))

    async def _receive(
        self,
        stream: ByteStream,
        parser: RequestParser,
        scope: CancelScope,
    ) -> HttpRequest | None:
        """Wait for a complete request, until the scope is cancelled.

        Returns:
            The request, or None if the client closed the connection.

        """
        req = parser.next_request()
        self._idle_scopes.add(scope)
        try:
            while req is None:
                chunk = await stream.receive(RECEIVE_BYTES)
                if not chunk:
                    return None
                parser.feed(chunk)
                req = parser.next_request()
                self._update_read_deadline(parser, scope)
        finally:
            self._idle_scopes.discard(scope)
        return req

    def _update_read_deadline(
        self, parser: RequestParser, scope: CancelScope
    ) -> None:
        if not parser.partial:
            scope.deadline = math.inf
            return
        self._idle_scopes.discard(scope)
        if scope.deadline == math.inf:
            scope.deadline = current_time() + self._limits.request_read_s


def _wants_close(req: HttpRequest) -> bool:
    return req.headers.get('connection', '').lower() == 'close'


def _refusal_response(
    exc: RefusalError, *, close: bool = False
) -> HttpResponse:
    return HttpResponse(exc.status, encode(exc.refusal()), close=close)


async def _send(stream: ByteStream, resp: HttpResponse) -> None:
    await stream.send(encode_response(resp))
