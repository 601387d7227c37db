"""Bytes that a caller of HTTP sends cost only its connection."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from errno import EMFILE

import pytest
from hypothesis import given
from trio import SocketListener, SocketStream, open_nursery, open_tcp_stream

from tests.hostile_bytes import chunks_of, receive_all, send_chunks
from tests.support import run_virtual, with_virtual_clock
from trefoilhitch.errors import ConnectionLostError, RefusalError
from trefoilhitch.http_client import HttpClient, HttpConnection
from trefoilhitch.http_message import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.request_parser import RequestParser
from trefoilhitch_lab.stack import FailureCollector

LIMITS = HttpLimits(body_bytes=100, header_bytes=300, request_read_s=2)
UPGRADE = (
    b'GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n'
    b'Upgrade: h2c\r\n\r\n'
)
GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
REQUEST_PARTS = (
    UPGRADE,
    GET,
    b'POST / HTTP/1.1\r\n',
    b'CONNECT a:80 HTTP/1.1\r\n',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    b'connection: upgrade\r\nupgrade: x\r\n',
    b'expect: 100-continue\r\n',
)
REQUEST_CHUNKS = chunks_of(REQUEST_PARTS)


class _EchoHandler:
    async def respond(self, req: HttpRequest) -> HttpResponse:
        return HttpResponse(body=req.body)


class _UnencodableHandler:
    async def respond(self, req: HttpRequest) -> HttpResponse:
        return HttpResponse(headers={'x': 'a\r\nb'})


@asynccontextmanager
async def _running_server(
    reporter: FailureCollector,
) -> AsyncIterator[tuple[HttpServer, str]]:
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(_EchoHandler()),
            reporter=reporter,
            limits=LIMITS,
        )
        port = await server.listen(nursery, '127.0.0.1', 0)
        yield server, f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def _connect(host: str) -> SocketStream:
    return await open_tcp_stream('127.0.0.1', int(host.partition(':')[2]))


@with_virtual_clock
async def test_upgrade_request_is_served_and_ends_only_its_connection() -> None:
    reporter = FailureCollector()
    async with _running_server(reporter) as (_, host):
        other = await HttpConnection.open(host, 9)
        async with await _connect(host) as stream:
            await stream.send_all(GET + UPGRADE + GET)
            received = await receive_all(stream)
        assert received.count(b'HTTP/1.1 200 OK') == 2
        assert received.count(b'connection: close') == 1
        assert (await other.exchange(HttpRequest('GET', '/'), 9)).status == 200
    assert not reporter.failures


@given(REQUEST_CHUNKS)
def test_bytes_of_one_caller_cost_no_other_connection(
    chunks: list[bytes],
) -> None:
    reporter = FailureCollector()

    async def play() -> None:
        async with _running_server(reporter) as (_, host):
            other = await HttpConnection.open(host, 99)
            async with await _connect(host) as stream:
                await send_chunks(stream, chunks)
                await receive_all(stream)
            assert (
                await other.exchange(HttpRequest('GET', '/'), 99)
            ).body == b''

    run_virtual(play)
    assert not reporter.failures


@given(REQUEST_CHUNKS)
def test_request_parser_raises_only_refusals(chunks: list[bytes]) -> None:
    parser = RequestParser(LIMITS)
    try:
        for chunk in chunks:
            parser.feed(chunk)
    except RefusalError as exc:
        assert exc.status in {400, 431}


@with_virtual_clock
async def test_failure_of_one_connection_is_reported_and_others_go_on() -> None:
    reporter = FailureCollector()
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(_UnencodableHandler()),
            reporter=reporter,
        )
        port = await server.listen(nursery, '127.0.0.1', 0)
        for _ in range(2):
            with pytest.raises(ConnectionLostError):
                await HttpClient(f'127.0.0.1:{port}').request(
                    HttpRequest('GET', '/'), 9
                )
        nursery.cancel_scope.cancel()
    assert [type(exc) for exc in reporter.failures] == [ValueError, ValueError]


def test_lack_of_descriptors_does_not_end_the_listener(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reporter = FailureCollector()
    accept = SocketListener.accept
    failures = [OSError(EMFILE, 'too many open files') for _ in range(3)]

    async def accept_or_fail(listener: SocketListener) -> SocketStream:
        if failures:
            raise failures.pop()
        return await accept(listener)

    async def play() -> None:
        async with _running_server(reporter) as (_, host):
            resp = await HttpClient(host).request(HttpRequest('GET', '/'), 9)
            assert resp.status == 200

    monkeypatch.setattr(SocketListener, 'accept', accept_or_fail)
    run_virtual(play)
    assert len(reporter.failures) == 3


def test_endless_trailers_of_a_request_are_refused() -> None:
    parser = RequestParser(LIMITS)
    parser.feed(
        b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n'
    )
    parser.feed(b'0\r\n')
    with pytest.raises(RefusalError):
        for _ in range(LIMITS.header_bytes):
            parser.feed(b'x: y\r\n')


def test_unknown_status_is_encoded_without_a_phrase() -> None:
    assert encode_response(HttpResponse(799)).startswith(b'HTTP/1.1 799 \r\n')
