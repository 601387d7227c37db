"""Lines that end in CR LF, out of the bytes of a connection."""

MAX_MESSAGE_BYTES = 1048576
# Characters of an unexpected message that are shown.
MAX_SHOWN_CHARS = 40
_LINE_END = b'\r\n'


class WireError(Exception):
    """What arrived is not a message of the wire protocol."""


class LineBuffer:
    """Splits received bytes into lines.

    Args:
        max_line_bytes: longest line in bytes.

    """

    def __init__(self, max_line_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Start empty."""
        self._max_line_bytes = max_line_bytes
        self._bytes = bytearray()
        self._search_from = 0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._bytes)

    def feed(self, chunk: bytes) -> None:
        """Take received bytes.

        Args:
            chunk: bytes in the order of their arrival.

        """
        self._bytes += chunk

    def next_line(self) -> str | None:
        """Return the next whole line.

        Returns:
            The line without its end, or None if more bytes are needed.

        Raises:
            WireError: the line is too long or holds a stray line end.

        """
        end = self._bytes.find(_LINE_END, self._search_from)
        length = len(self._bytes) if end < 0 else end
        if length > self._max_line_bytes:
            raise WireError('message too long')
        if end < 0:
            self._search_from = max(0, length - 1)
            return None
        line = bytes(self._bytes[:end])
        self._bytes = self._bytes[end + len(_LINE_END) :]
        self._search_from = 0
        if b'\r' in line or b'\n' in line:
            raise WireError('stray line end')
        # One character a byte: what is forwarded leaves as it came.
        return line.decode('latin-1')
