"""TCP connections with keepalive, which detects unresponsive peers."""

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

from trio import open_tcp_stream
from trio.socket import SocketType

from trefoilhitch.byte_stream import ByteStream

# An unresponsive peer is detected after idle + probes * interval seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 3000
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
    stream = await open_tcp_stream(host, port)
    enable_keepalive(stream.socket)
    return ByteStream.from_trio(stream.socket)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Args:
        address: `ADDRESS:PORT`.

    Returns:
        Host and port.

    Raises:
        OSError: the address does not have this form.

    """
    host, _, port = address.rpartition(':')
    if not (host and port.isdigit()):
        raise OSError(f'not of the form ADDRESS:PORT: {address}')
    return host, int(port)
