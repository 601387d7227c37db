"""Bytes that a server of HTTP answers cost only its connection."""

import pytest
from hypothesis import example, given
from trio import (
    SocketStream,
    open_nursery,
    open_tcp_listeners,
    serve_listeners,
    sleep,
)

from tests.hostile_bytes import (
    answering_server,
    chunks_of,
    receive_all,
)
from tests.support import run_virtual
from trefoilhitch.errors import ConnectionLostError, DeadlineError
from trefoilhitch.http_client import MAX_HEAD_BYTES, HttpClient, ResponseParser
from trefoilhitch.http_message import HttpRequest

RESPONSE_PARTS = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 101 Switching Protocols\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 204 No Content\r\n',
    b'HTTP/1.1 999 \r\n',
    b'connection: upgrade\r\nupgrade: x\r\n',
    b'connection: close\r\n',
)
RESPONSE_CHUNKS = chunks_of(RESPONSE_PARTS)


@given(RESPONSE_CHUNKS)
@example([b'HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nab'])
def test_response_parser_raises_only_a_lost_connection(
    chunks: list[bytes],
) -> None:
    parser = ResponseParser()
    try:
        for chunk in chunks:
            parser.feed(chunk)
    except ConnectionLostError:
        return
    if parser.complete:
        assert parser.response().status >= 200


@given(RESPONSE_CHUNKS)
@example([b'HTTP/1.1 101 S\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nab'])
def test_odd_answer_of_a_server_has_a_documented_failure(
    chunks: list[bytes],
) -> None:
    async def play() -> None:
        async with answering_server(chunks) as address:
            client = HttpClient(address)
            try:
                await client.request(HttpRequest('GET', '/'), 9)
            except (ConnectionLostError, DeadlineError):
                await sleep(0)
            client.close()

    run_virtual(play)


def test_informational_responses_are_skipped() -> None:
    parser = ResponseParser()
    parser.feed(b'HTTP/1.1 100 Continue\r\nx: y\r\n\r\n')
    assert not parser.complete
    parser.feed(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab')
    resp = parser.response()
    assert (resp.status, resp.body) == (200, b'ab')
    assert 'x' not in resp.headers


@pytest.mark.parametrize('parts', [1, 2])
def test_second_response_is_not_joined_to_the_first(parts: int) -> None:
    message = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab'
    with pytest.raises(ConnectionLostError):
        ResponseParser().feed(message + message * parts)


def test_endless_head_or_body_of_a_response_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('trefoilhitch.http_client.MAX_BODY_BYTES', 1000)
    for head, rest in (
        (b'HTTP/1.1 200 OK\r\n', b'x: ' + b'y' * 1000 + b'\r\n'),
        (b'HTTP/1.1 100 Continue\r\n\r\n' * 2, b'HTTP/1.1 100 C\r\n\r\n' * 60),
        (b'HTTP/1.1 200 OK\r\ncontent-length: 999999\r\n\r\n', b'y' * 100),
    ):
        parser = ResponseParser()
        parser.feed(head)
        with pytest.raises(ConnectionLostError, match='too large'):
            for _ in range(MAX_HEAD_BYTES):
                parser.feed(rest)


@pytest.mark.parametrize('target', ['/\u0950', '/a\r\nx: y', '/\ud800'])
def test_request_that_cannot_be_encoded_is_not_sent(target: str) -> None:
    received: list[bytes] = []

    async def answer(stream: SocketStream) -> None:
        received.append(await receive_all(stream))

    async def play() -> None:
        async with open_nursery() as nursery:
            listeners = await open_tcp_listeners(0, host='127.0.0.1')
            nursery.start_soon(serve_listeners, answer, listeners)
            port = listeners[0].socket.getsockname()[1]
            with pytest.raises(ConnectionLostError) as caught:
                await HttpClient(f'127.0.0.1:{port}').request(
                    HttpRequest('GET', target), 9
                )
            assert caught.value.run == 'no'
            await sleep(1)
            nursery.cancel_scope.cancel()

    run_virtual(play)
    assert received == [b'']
