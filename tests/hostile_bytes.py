"""Strategies for chunks of messages and noise, and a server that sends them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from hypothesis import strategies as st
from trio import (
    BrokenResourceError,
    SocketStream,
    open_nursery,
    open_tcp_listeners,
    serve_listeners,
)

COMMON_PARTS = (
    b'\r\n',
    b'\r\n\r\n',
    b'content-length: 2\r\n',
    b'content-length: 99999999999999999999999\r\n',
    b'content-length: \xb2\r\n',
    b'transfer-encoding: chunked\r\n',
    b'1\r\nx\r\n0\r\n',
    b'ffffffffffffffffffffff\r\n',
    b'\xe9\xff: \xa0\r\n',
    b'x:\r\n',
    b'ab',
    b'\x00',
)
BINARY = st.binary(max_size=30)


def chunks_of(parts: tuple[bytes, ...]) -> st.SearchStrategy[list[bytes]]:
    """Return lists of chunks made of parts of messages and of noise."""
    piece = st.one_of(st.sampled_from(parts + COMMON_PARTS), BINARY)
    return st.lists(
        st.lists(piece, max_size=8).map(b''.join), min_size=1, max_size=4
    )


async def send_chunks(stream: SocketStream, chunks: list[bytes]) -> None:
    """Send chunks and the end of the stream; stop if it was closed."""
    try:
        for chunk in chunks:
            await stream.send_all(chunk)
        await stream.send_eof()
    except BrokenResourceError:
        return


async def receive_all(stream: SocketStream) -> bytes:
    """Receive until the stream ends."""
    received: list[bytes] = []
    try:
        async for chunk in stream:
            received.append(bytes(chunk))
    except BrokenResourceError:
        return b''.join(received)
    return b''.join(received)


@asynccontextmanager
async def answering_server(chunks: list[bytes]) -> AsyncIterator[str]:
    """Answer the first bytes of each connection; yield the address."""

    async def answer(stream: SocketStream) -> None:
        async with stream:
            await stream.receive_some()
            await send_chunks(stream, chunks)
            await receive_all(stream)

    async with open_nursery() as nursery:
        listeners = await open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(serve_listeners, answer, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()
