"""The HTTP server and client: malformed, large, slow and late messages."""

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

from tests.support import virtual
from trefoilhitch._generated.messages import Refusal
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import ConnectionLostError, DeadlineError
from trefoilhitch.http_client import HttpClient, HttpConnection
from trefoilhitch.http_message import HttpLimits, HttpRequest, HttpResponse
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory

LIMITS = HttpLimits(
    body_bytes=100, header_bytes=300, connections=4, request_read_s=2
)
SLOW_S = 5.0


class _Echo:
    async def respond(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/slow':
            await sleep(SLOW_S)
        if req.path == '/broken':
            raise LookupError('a fault of the program')
        return HttpResponse(body=req.body)


@asynccontextmanager
async def _served() -> AsyncIterator[tuple[HttpServer, str]]:
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(_Echo()),
            reporter=NullLog(),
            limits=LIMITS,
        )
        port = await server.listen(nursery, '127.0.0.1', 0)
        yield server, f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def _connect(host: str) -> SocketStream:
    return await open_tcp_stream('127.0.0.1', int(host.partition(':')[2]))


async def _raw(host: str, message: bytes) -> tuple[int, Refusal]:
    async with await _connect(host) as stream:
        await stream.send_all(message)
        answer = await stream.receive_some()
        head, _, body = answer.partition(b'\r\n\r\n')
        return int(head.split()[1]), decode(body, type=Refusal)


@virtual
async def test_what_is_not_http_is_refused() -> None:
    async with _served() as (_, host):
        status, refusal = await _raw(host, b'HELLO\r\n\r\n')
        assert (status, refusal.code, refusal.run) == (400, 'bad_request', 'no')
        assert (
            await HttpClient(host).request(HttpRequest('POST', '/'), 9)
        ).status == 200


@virtual
async def test_large_headers_are_refused() -> None:
    async with _served() as (_, host):
        endless = b'GET / HTTP/1.1\r\nx: ' + b'x' * 400
        status, refusal = await _raw(host, endless)
        assert (status, refusal.code) == (431, 'headers_too_large')


@virtual
async def test_a_large_body_is_refused_and_the_connection_stays() -> None:
    async with _served() as (_, host):
        conn = await HttpConnection.open(host, 9)
        large = await conn.exchange(
            HttpRequest('POST', '/', body=b'x' * 101), 9
        )
        assert large.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        assert decode(large.body, type=Refusal).run == 'no'
        good = await conn.exchange(HttpRequest('POST', '/', body=b'x' * 100), 9)
        assert good.body == b'x' * 100


@virtual
async def test_a_slow_sender_is_refused_and_an_idle_one_is_not() -> None:
    async with _served() as (_, host):
        idle = await HttpConnection.open(host, 9)
        began = current_time()
        status, refusal = await _raw(
            host, b'POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx'
        )
        assert (status, refusal.code) == (408, 'request_timeout')
        assert current_time() - began == pytest.approx(LIMITS.request_read_s)
        await sleep(60)
        assert (await idle.exchange(HttpRequest('GET', '/'), 999)).status == 200


@virtual
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with _served() as (_, host), await _connect(host) as stream:
        for body in (b'a', b'b'):
            await stream.send_all(
                b'POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\n' + body
            )
        answers = b''
        while answers.count(b'HTTP/1.1') < 2 or not answers.endswith(b'b'):
            answers += await stream.receive_some()
        assert answers.index(b'\r\n\r\na') < answers.index(b'\r\n\r\nb')


@virtual
async def test_a_fault_of_the_program_is_one_typed_answer() -> None:
    async with _served() as (_, host):
        client = HttpClient(host)
        broken = await client.request(HttpRequest('GET', '/broken'), 9)
        assert decode(broken.body, type=Refusal).code == 'internal'
        assert (await client.request(HttpRequest('GET', '/'), 9)).status == 200


@virtual
async def test_connections_over_the_limit_are_refused() -> None:
    async with _served() as (_, host):
        held = [await HttpConnection.open(host, 9) for _ in range(4)]
        await held[0].exchange(HttpRequest('GET', '/'), 9)
        refused = await HttpClient(host).request(HttpRequest('GET', '/'), 9)
        assert decode(refused.body, type=Refusal).code == 'connection_limit'


@virtual
async def test_a_late_answer_goes_to_nobody() -> None:
    async with _served() as (_, host):
        conn = await HttpConnection.open(host, 9)
        with pytest.raises(DeadlineError):
            await conn.exchange(HttpRequest('POST', '/slow', body=b'mine'), 1)
        assert conn.closed
        with pytest.raises(ConnectionLostError):
            await conn.exchange(HttpRequest('POST', '/', body=b'yours'), 9)


@virtual
async def test_stopping_finishes_what_runs_and_closes_what_idles() -> None:
    async with _served() as (server, host):
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
