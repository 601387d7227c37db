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
        self._buffer = b''

    async def receive_line(self) -> str:
        """Receive the next line.

        Returns:
            The line without its line end; empty if the connection is closed.

        """
        while LINE_END not in self._buffer:
            chunk = await self._stream.receive_some(RECEIVE_BYTES)
            if not chunk:
                return ''
            self._buffer += bytes(chunk)
        line, _, rest = self._buffer.partition(LINE_END)
        self._buffer = rest
        return line.decode('latin-1')


async def send_lines(stream: SocketStream, *lines: str) -> None:
    """Send lines.

    Args:
        stream: an open connection.
        lines: lines without line ends.

    """
    text = ''.join(f'{line}\r\n' for line in lines)
    await stream.send_all(text.encode('latin-1'))
