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
    Answerer,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from trefoilhitch.request_reader import RequestReader

RECEIVE_BYTES = 16384
BACKLOG = 1024


class ErrorReporter(Protocol):
    """Takes note of failures that a server did not expect."""

    def report(self, exc: Exception) -> None:
        """Take note of a failure.

        Args:
            exc: what was raised.

        """


class AnswererFactory(Protocol):
    """Makes the answerer of each new connection."""

    def connect(self) -> Answerer:
        """Return the answerer for a new connection."""

    def disconnect(self, answerer: Answerer) -> None:
        """Release the answerer of a connection that closed.

        Args:
            answerer: what `connect` returned.

        """


class SharedAnswerer:
    """Gives every connection the same answerer.

    Args:
        answerer: answers all requests.

    """

    def __init__(self, answerer: Answerer) -> None:
        """Keep the answerer."""
        self._answerer = answerer

    def connect(self) -> Answerer:
        """Return the shared answerer."""
        return self._answerer

    def disconnect(self, answerer: Answerer) -> None:
        """Release nothing: the answerer is shared.

        Args:
            answerer: the shared answerer.

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
        factory: AnswererFactory,
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
        self._idle: set[CancelScope] = set()
        self._accepting = CancelScope()

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
            port, host=address, backlog=BACKLOG
        )
        nursery.start_soon(self._accept, listeners[0])
        return int(listeners[0].socket.getsockname()[1])

    def drain(self) -> None:
        """Go on answering, but close each connection after its answer."""
        self._draining = True

    def stop(self) -> None:
        """Close the listener and idle connections; let requests finish."""
        self._draining = True
        self._stopping = True
        self._accepting.cancel()
        for scope in self._idle:
            scope.cancel()

    async def _accept(self, listener: SocketListener) -> None:
        async with listener, open_nursery() as nursery:
            with self._accepting:
                while not self._stopping:
                    accepted = await listener.accept()
                    stream = ByteStream.from_trio(accepted.socket)
                    nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: ByteStream) -> None:
        self.connections += 1
        answerer = self._factory.connect()
        try:
            await self._converse(stream, answerer)
        except ByteStreamError:
            return
        finally:
            self._release(stream, answerer)

    def _release(self, stream: ByteStream, answerer: Answerer) -> None:
        stream.close()
        self.connections -= 1
        self._factory.disconnect(answerer)

    async def _converse(self, stream: ByteStream, answerer: Answerer) -> None:
        if self.connections > self._limits.connections:
            await _send(stream, _refuse(ConnectionLimitError(), close=True))
            return
        reader = RequestReader(self._limits)
        scope = CancelScope()
        with scope:
            keep = True
            while keep and not self._stopping:
                keep = await self._exchange(stream, reader, answerer, scope)
        if scope.cancelled_caught and reader.partial:
            await _send(stream, _refuse(RequestTimeoutError(), close=True))

    async def _exchange(
        self,
        stream: ByteStream,
        reader: RequestReader,
        answerer: Answerer,
        scope: CancelScope,
    ) -> bool:
        """Receive and answer one request.

        Returns:
            Whether the connection stays open.

        """
        try:
            req = await self._receive(stream, reader, scope)
        except BodyTooLargeError as too_large:
            await _send(stream, _refuse(too_large))
            return True
        except RefusalError as exc:
            await _send(stream, _refuse(exc, close=True))
            return False
        if req is None:
            return False
        resp = await self._answer(answerer, req)
        keep = not (resp.close or self._draining or _wants_close(req))
        if not keep:
            resp = replace(resp, close=True)
        await _send(stream, resp)
        return keep

    async def _answer(
        self, answerer: Answerer, req: HttpRequest
    ) -> HttpResponse:
        try:
            return await answerer.answer(req)
        except RefusalError as refused:
            return _refuse(refused)
        except Exception as exc:
            self._reporter.report(exc)
            return _refuse(InternalError('see the log of this node'))

    async def _receive(
        self,
        stream: ByteStream,
        reader: RequestReader,
        scope: CancelScope,
    ) -> HttpRequest | None:
        """Wait for a whole request; the scope ends waits that are too long."""
        req = reader.next_request()
        self._idle.add(scope)
        try:
            while req is None:
                chunk = await stream.receive(RECEIVE_BYTES)
                if not chunk:
                    return None
                reader.feed(chunk)
                req = reader.next_request()
                self._limit_wait(reader, scope)
        finally:
            self._idle.discard(scope)
        return req

    def _limit_wait(self, reader: RequestReader, scope: CancelScope) -> None:
        if not reader.partial:
            scope.deadline = math.inf
            return
        self._idle.discard(scope)
        if scope.deadline == math.inf:
            scope.deadline = current_time() + self._limits.request_read_s


def _wants_close(req: HttpRequest) -> bool:
    return req.headers.get('connection', '').lower() == 'close'


def _refuse(exc: RefusalError, *, close: bool = False) -> HttpResponse:
    return HttpResponse(exc.status, encode(exc.refusal()), close=close)


async def _send(stream: ByteStream, resp: HttpResponse) -> None:
    await stream.send(encode_response(resp))
