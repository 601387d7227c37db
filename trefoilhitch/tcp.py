"""TCP connections with keepalive, which detects unresponsive peers."""

from collections.abc import Callable
from contextlib import suppress
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)

from trio import SocketListener, SocketStream, open_tcp_stream, sleep
from trio.socket import SocketType

from trefoilhitch.byte_stream import ByteStream
from trefoilhitch.decimal_text import parse_decimal

# An unresponsive peer is detected after idle + probes * interval seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 3000
ACCEPT_RETRY_DELAY_S = 0.05
MAX_PORT = 65535
# Characters of a malformed address that an error quotes.
MAX_SHOWN_CHARS = 80
_OPTIONS = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_keepalive(sock: SocketType) -> None:
    """Configure the kernel to close a connection with an unresponsive peer.

    Args:
        sock: connected socket.

    """
    for level, option, setting in _OPTIONS:
        # A socket that has already failed raises an error at its next use.
        with suppress(OSError):
            sock.setsockopt(level, option, setting)


async def accept_stream(
    listener: SocketListener, report: Callable[[OSError], None]
) -> SocketStream:
    """Wait for the next connection; go on after a failure to accept one.

    Args:
        listener: the listener.
        report: records a failure, such as a lack of file descriptors.

    Returns:
        The accepted connection.

    """
    while True:
        try:
            return await listener.accept()
        except OSError as exc:
            report(exc)
        await sleep(ACCEPT_RETRY_DELAY_S)


async def open_stream(address: str) -> ByteStream:
    """Connect to a server.

    Args:
        address: `ADDRESS:PORT`.

    Returns:
        The open stream.

    Raises:
        OSError: no connection was established.

    """
    host, port = split_address(address)
    if not port:
        raise OSError(f'no port to connect to: {address}')
    try:
        stream = await open_tcp_stream(host, port)
    except ValueError as exc:
        raise OSError(f'not a host: {host[:MAX_SHOWN_CHARS]!a}') from exc
    enable_keepalive(stream.socket)
    return ByteStream.from_trio(stream.socket)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Args:
        address: `ADDRESS:PORT`.

    Returns:
        Host and port; port 0 is for listening only.

    Raises:
        OSError: the address does not have this form.

    """
    host, _, port_text = address.rpartition(':')
    port = parse_decimal(port_text)
    if not host or port is None or port > MAX_PORT:
        raise OSError(
            f'not of the form ADDRESS:PORT: {address[:MAX_SHOWN_CHARS]!a}'
        )
    return host, port
