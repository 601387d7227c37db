"""Lines of the wire protocol over a stream, for the stand-ins."""

from trio import SocketStream

RECEIVE_BYTES = 65536
LINE_END = b'\r\n'


class LineReader:
    """Receives lines.

    Args:
        stream: an open connection.

    """

    def __init__(self, stream: SocketStream) -> None:
        """Start without bytes."""
        self._stream = stream
        self._buffer = b''

    async def receive_line(self) -> str:
        """Receive a line.

        Returns:
            The line without its end, empty at the end of the connection.

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
        lines: without their ends.

    """
    text = ''.join(f'{line}\r\n' for line in lines)
    await stream.send_all(text.encode('latin-1'))
