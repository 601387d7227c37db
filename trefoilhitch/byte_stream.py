"""Minimal byte stream over a TCP socket."""

from contextlib import suppress
from socket import AF_INET, IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket
from typing import Self

from trio import ClosedResourceError
from trio.lowlevel import notify_closing, wait_readable, wait_writable
from trio.socket import SocketType


class ByteStreamError(Exception):
    """The socket failed or was closed."""


class ByteStream:
    """Sends and receives bytes on a connected socket.

    Unlike trio's SocketStream, it waits until the socket is readable before
    the first read attempt, and does not yield to the scheduler after each
    write.

    Args:
        sock: connected, non-blocking socket.

    """

    def __init__(self, sock: socket) -> None:
        """Store the socket and disable Nagle's algorithm."""
        self._sock = sock
        with suppress(OSError):
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    @classmethod
    def from_trio(cls, sock: SocketType) -> Self:
        """Take over a socket from trio.

        Args:
            sock: connected socket; it must not be used afterwards.

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
        """Wait for bytes and return them.

        Args:
            limit: largest number of bytes to return.

        Returns:
            The bytes, empty at the end of the stream.

        Raises:
            ByteStreamError: the socket failed or was closed.

        """
        try:
            return await self._receive(limit)
        except (OSError, ValueError, ClosedResourceError) as exc:
            raise ByteStreamError(str(exc)) from exc

    async def send(self, message: bytes) -> None:
        """Send all bytes of a message.

        Args:
            message: bytes to send.

        Raises:
            ByteStreamError: the socket failed or was closed.

        """
        try:
            await self._send(message)
        except (OSError, ValueError, ClosedResourceError) as exc:
            raise ByteStreamError(str(exc)) from exc

    def close(self) -> None:
        """Close the socket immediately and wake the tasks that wait on it."""
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
