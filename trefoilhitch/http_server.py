"""HTTP/1.1 server on trio: connections, answers and graceful shutdown."""

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

RECEIVE_BYTES = 16384
ACCEPT_BACKLOG = 1024


class ErrorReporter(Protocol):
    """Takes note of failures that a server did not expect."""

    def report(self, exc: Exception) -> None:
        """Take note of a failure.

        Args:
            exc: what was raised.

        """


class RequestHandlerFactory(Protocol):
    """Makes the answerer of each new connection."""

    def connection_opened(self) -> RequestHandler:
        """Return the answerer for a new connection."""

    def connection_closed(self, request_handler: RequestHandler) -> None:
        """Release the answerer of a connection that closed.

        Args:
            request_handler: what `connection_opened` returned.

        """


class SharedHandlerFactory:
    """Gives every connection the same answerer.

    Args:
        request_handler: answers all requests.

    """

    def __init__(self, request_handler: RequestHandler) -> None:
        """Keep the answerer."""
        self._request_handler = request_handler

    def connection_opened(self) -> RequestHandler:
        """Return the shared answerer."""
        return self._request_handler

    def connection_closed(self, request_handler: RequestHandler) -> None:
        """Release nothing: the answerer is shared.

        Args:
            request_handler: the shared answerer.

        """


class HttpServer:
    """Serves HTTP on one address until it is told to drain.

    Args:
        factory: makes an answerer for each connection.
        reporter: takes note of unexpected failures.
        limits: bounds on what is read.

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
        """Open the listener and serve it in the background.

        Args:
            nursery: runs the connections.
            address: IPv4 address.
            port: TCP port; 0 for any.

        Returns:
            The port.

        """
        listeners = await open_tcp_listeners(
            port, host=address, backlog=ACCEPT_BACKLOG
        )
        nursery.start_soon(self._accept_connections, listeners[0])
        return int(listeners[0].socket.getsockname()[1])

    def drain(self) -> None:
        """Go on answering, but close each connection after its answer."""
        self._draining = True

    def stop(self) -> None:
        """Close the listener and idle connections; let requests finish."""
        self._draining = True
        self._stopping = True
        self._accept_scope.cancel()
        for scope in self._idle_scopes:
            scope.cancel()

    async def _accept_connections(self, listener: SocketListener) -> None:
        async with listener, open_nursery() as nursery:
            with self._accept_scope:
                while not self._stopping:
                    accepted = await listener.accept()
                    stream = ByteStream.from_trio(accepted.socket)
                    nursery.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: ByteStream) -> None:
        self.connections += 1
        request_handler = self._factory.connection_opened()
        try:
            await self._serve_requests(stream, request_handler)
        except ByteStreamError:
            return
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
        reader = RequestParser(self._limits)
        scope = CancelScope()
        with scope:
            keep_open = True
            while keep_open and not self._stopping:
                keep_open = await self._serve_request(
                    stream, reader, request_handler, scope
                )
        if scope.cancelled_caught and reader.partial:
            await _send(
                stream, _refusal_response(RequestTimeoutError(), close=True)
            )

    async def _serve_request(
        self,
        stream: ByteStream,
        reader: RequestParser,
        request_handler: RequestHandler,
        scope: CancelScope,
    ) -> bool:
        """Receive and answer one request.

        Returns:
            Whether the connection stays open.

        """
        try:
            req = await self._receive(stream, reader, scope)
        except BodyTooLargeError as too_large:
            await _send(stream, _refusal_response(too_large))
            return True
        except RefusalError as exc:
            await _send(stream, _refusal_response(exc, close=True))
            return False
        if req is None:
            return False
        resp = await self._respond(request_handler, req)
        keep_open = not (resp.close or self._draining or _wants_close(req))
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
        reader: RequestParser,
        scope: CancelScope,
    ) -> HttpRequest | None:
        """Wait for a whole request; the scope ends waits that are too long."""
        req = reader.next_request()
        self._idle_scopes.add(scope)
        try:
            while req is None:
                chunk = await stream.receive(RECEIVE_BYTES)
                if not chunk:
                    return None
                reader.feed(chunk)
                req = reader.next_request()
                self._update_read_deadline(reader, scope)
        finally:
            self._idle_scopes.discard(scope)
        return req

    def _update_read_deadline(
        self, reader: RequestParser, scope: CancelScope
    ) -> None:
        if not reader.partial:
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
