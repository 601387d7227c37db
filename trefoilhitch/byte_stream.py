"""Bytes over a TCP socket, with the least that an exchange needs."""

from contextlib import suppress
from socket import AF_INET, IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket
from typing import Self

from trio import ClosedResourceError
from trio.lowlevel import notify_closing, wait_readable, wait_writable
from trio.socket import SocketType


class ByteStreamError(Exception):
    """The socket failed or was closed."""


class ByteStream:
    """Sends and receives on a connected socket.

    It leaves out what trio's SocketStream does more: a read that is tried
    before it can succeed, and a pass through the scheduler after each write.

    Args:
        sock: a connected, non-blocking socket.

    """

    def __init__(self, sock: socket) -> None:
        """Keep the socket and send small messages at once."""
        self._sock = sock
        with suppress(OSError):
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    @classmethod
    def from_trio(cls, sock: SocketType) -> Self:
        """Take a socket over from trio.

        Args:
            sock: a connected socket; it must not be used any more.

        Returns:
            The stream.

        """
        detached = socket(AF_INET, SOCK_STREAM, fileno=sock.detach())
        detached.setblocking(False)
        return cls(detached)

    @property
    def descriptor(self) -> int:
        """Return the file descriptor."""
        return self._sock.fileno()

    async def receive(self, limit: int) -> bytes:
        """Wait for bytes.

        Args:
            limit: most bytes to return.

        Returns:
            Bytes; none at the end of the stream.

        Raises:
            ByteStreamError: the socket failed or was closed.

        """
        try:
            return await self._receive(limit)
        except (OSError, ValueError, ClosedResourceError) as exc:
            raise ByteStreamError(str(exc)) from exc

    async def send(self, message: bytes) -> None:
        """Send a whole message.

        Args:
            message: its bytes.

        Raises:
            ByteStreamError: the socket failed or was closed.

        """
        try:
            await self._send(message)
        except (OSError, ValueError, ClosedResourceError) as exc:
            raise ByteStreamError(str(exc)) from exc

    def close(self) -> None:
        """Close at once; whoever waits on the socket is woken."""
        if self._sock.fileno() >= 0:
            notify_closing(self._sock)
            self._sock.close()

    async def _receive(self, limit: int) -> bytes:
        chunk = None
        while chunk is None:
            await wait_readable(self._sock)
            chunk = self._try_receive(limit)
        return chunk

    def _try_receive(self, limit: int) -> bytes | None:
        try:
            return self._sock.recv(limit)
        except BlockingIOError:
            return None

    async def _send(self, message: bytes) -> None:
        remaining = memoryview(message)
        while remaining:
            try:
                remaining = remaining[self._sock.send(remaining) :]
            except BlockingIOError:
                await wait_writable(self._sock)
