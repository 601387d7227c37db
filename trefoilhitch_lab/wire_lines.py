"""Read and write lines of the wire protocol, for the emulator."""

from trio import SocketStream

RECEIVE_BYTES = 65536
LINE_END = b'\r\n'


class LineReader:
    """Reads lines from a connection.

    Args:
        stream: an open connection.

    """

    def __init__(self, stream: SocketStream) -> None:
        """Start with an empty buffer."""
        self._stream = stream
        self._buffer = bytearray()

    async def receive_line(self) -> str:
        """Receive the next line.

        Returns:
            The line without its line end; empty if the connection is closed.

        """
        line = await self.receive_bytes()
        return (line or b'').decode('latin-1')

    async def receive_bytes(self) -> bytes | None:
        """Receive the next line as it was sent.

        Returns:
            The line without its line end; None if the connection is closed.

        """
        end = self._buffer.find(LINE_END)
        while end < 0:
            chunk = await self._stream.receive_some(RECEIVE_BYTES)
            if not chunk:
                return None
            # A line end may begin in the previous chunk.
            search_from = max(0, len(self._buffer) - 1)
            self._buffer += chunk
            end = self._buffer.find(LINE_END, search_from)
        line = bytes(self._buffer[:end])
        self._buffer = self._buffer[end + len(LINE_END) :]
        return line


async def send_lines(stream: SocketStream, *lines: str) -> None:
    """Send lines.

    Args:
        stream: an open connection.
        lines: lines without line ends.

    """
    text = ''.join(f'{line}\r\n' for line in lines)
    await stream.send_all(text.encode('latin-1'))
