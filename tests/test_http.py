"""HTTP server and client: malformed, large, slow and late messages."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import pytest
from msgspec.json import decode
from trio import (
    SocketStream,
    current_time,
    open_nursery,
    open_tcp_stream,
    sleep,
)

from tests.support import with_virtual_clock
from trefoilhitch._generated.messages import Refusal
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import ConnectionLostError, DeadlineError
from trefoilhitch.http_client import (
    HttpClient,
    HttpConnection,
    ResponseParser,
)
from trefoilhitch.http_message import HttpLimits, HttpRequest, HttpResponse
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory

LIMITS = HttpLimits(
    body_bytes=100, header_bytes=300, connections=4, request_read_s=2
)
SLOW_S = 5.0


class _EchoHandler:
    async def respond(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/slow':
            await sleep(SLOW_S)
        if req.path == '/broken':
            raise LookupError('unexpected exception of the handler')
        return HttpResponse(body=req.body)


@asynccontextmanager
async def _running_server() -> AsyncIterator[tuple[HttpServer, str]]:
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(_EchoHandler()),
            reporter=NullLog(),
            limits=LIMITS,
        )
        port = await server.listen(nursery, '127.0.0.1', 0)
        yield server, f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def _connect(host: str) -> SocketStream:
    return await open_tcp_stream('127.0.0.1', int(host.partition(':')[2]))


async def _send_raw(host: str, message: bytes) -> tuple[int, Refusal]:
    async with await _connect(host) as stream:
        await stream.send_all(message)
        resp = await stream.receive_some()
        head, _, body = resp.partition(b'\r\n\r\n')
        return int(head.split()[1]), decode(body, type=Refusal)


@with_virtual_clock
async def test_malformed_request_is_refused() -> None:
    async with _running_server() as (_, host):
        status, refusal = await _send_raw(host, b'HELLO\r\n\r\n')
        assert (status, refusal.code, refusal.run) == (400, 'bad_request', 'no')
        assert (
            await HttpClient(host).request(HttpRequest('POST', '/'), 9)
        ).status == 200


@with_virtual_clock
async def test_oversized_headers_are_refused() -> None:
    async with _running_server() as (_, host):
        oversized = b'GET / HTTP/1.1\r\nx: ' + b'x' * 400
        status, refusal = await _send_raw(host, oversized)
        assert (status, refusal.code) == (431, 'headers_too_large')


@with_virtual_clock
async def test_oversized_body_is_refused_and_connection_stays_open() -> None:
    async with _running_server() as (_, host):
        conn = await HttpConnection.open(host, 9)
        large = await conn.exchange(
            HttpRequest('POST', '/', body=b'x' * 101), 9
        )
        assert large.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        assert decode(large.body, type=Refusal).run == 'no'
        accepted = await conn.exchange(
            HttpRequest('POST', '/', body=b'x' * 100), 9
        )
        assert accepted.body == b'x' * 100


@with_virtual_clock
async def test_slow_request_times_out_but_idle_connection_does_not() -> None:
    async with _running_server() as (_, host):
        idle = await HttpConnection.open(host, 9)
        started_at = current_time()
        status, refusal = await _send_raw(
            host, b'POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx'
        )
        assert (status, refusal.code) == (408, 'request_timeout')
        assert current_time() - started_at == pytest.approx(
            LIMITS.request_read_s
        )
        await sleep(60)
        assert (await idle.exchange(HttpRequest('GET', '/'), 999)).status == 200


@with_virtual_clock
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with _running_server() as (_, host), await _connect(host) as stream:
        for body in (b'a', b'b'):
            await stream.send_all(
                b'POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\n' + body
            )
        received = b''
        while received.count(b'HTTP/1.1') < 2 or not received.endswith(b'b'):
            received += await stream.receive_some()
        assert received.index(b'\r\n\r\na') < received.index(b'\r\n\r\nb')


@with_virtual_clock
async def test_unexpected_exception_becomes_an_internal_refusal() -> None:
    async with _running_server() as (_, host):
        client = HttpClient(host)
        failed = await client.request(HttpRequest('GET', '/broken'), 9)
        assert decode(failed.body, type=Refusal).code == 'internal'
        assert (await client.request(HttpRequest('GET', '/'), 9)).status == 200


@with_virtual_clock
async def test_connections_over_the_limit_are_refused() -> None:
    async with _running_server() as (_, host):
        held = [await HttpConnection.open(host, 9) for _ in range(4)]
        await held[0].exchange(HttpRequest('GET', '/'), 9)
        refused = await HttpClient(host).request(HttpRequest('GET', '/'), 9)
        assert decode(refused.body, type=Refusal).code == 'connection_limit'


@with_virtual_clock
async def test_late_response_is_not_taken_for_the_next() -> None:
    async with _running_server() as (_, host):
        conn = await HttpConnection.open(host, 9)
        with pytest.raises(DeadlineError):
            await conn.exchange(HttpRequest('POST', '/slow', body=b'mine'), 1)
        assert conn.closed
        with pytest.raises(ConnectionLostError):
            await conn.exchange(HttpRequest('POST', '/', body=b'yours'), 9)


@with_virtual_clock
async def test_stop_finishes_requests_and_closes_idle_connections() -> None:
    async with _running_server() as (server, host):
        idle = await HttpConnection.open(host, 99)
        await idle.exchange(HttpRequest('GET', '/'), 99)
        busy = await HttpConnection.open(host, 99)
        async with open_nursery() as nursery:
            nursery.start_soon(_stop_soon, server)
            resp = await busy.exchange(
                HttpRequest('POST', '/slow', body=b'x'), 99
            )
        assert resp.body == b'x'
        assert resp.close
        await sleep(1)
        assert idle.is_stale()
        assert not server.connections


async def _stop_soon(server: HttpServer) -> None:
    await sleep(1)
    server.stop()


def test_client_returns_the_headers_of_a_response() -> None:
    parser = ResponseParser()
    parser.feed(b'HTTP/1.1 200 OK\r\nStore-Era: 7\r\ncontent-length: 0\r\n\r\n')
    assert parser.response().headers['store-era'] == '7'
