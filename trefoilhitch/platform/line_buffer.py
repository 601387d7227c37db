"""Splits the bytes of a connection into lines that end in CR LF."""

MAX_MESSAGE_BYTES = 1048576
# Characters of an unexpected message that an error quotes.
MAX_SHOWN_CHARS = 40
_LINE_END = b'\r\n'


class WireError(Exception):
    """The received bytes are not a message of the wire protocol."""


class LineBuffer:
    """Splits received bytes into lines.

    Args:
        max_line_bytes: longest line that is accepted.

    """

    def __init__(self, max_line_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Initialise an empty buffer."""
        self._max_line_bytes = max_line_bytes
        self._bytes = bytearray()
        self._search_from = 0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether any received bytes are still buffered."""
        return bool(self._bytes)

    def feed(self, chunk: bytes) -> None:
        """Append received bytes.

        Args:
            chunk: bytes in the order of their arrival.

        """
        self._bytes += chunk

    def next_line(self) -> str | None:
        """Return the next complete line.

        Returns:
            The line without its end, or None if more bytes are needed.

        Raises:
            WireError: the line is too long or contains a lone CR or LF.

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
        # latin-1 maps each byte to one character, so that forwarded text is
        # sent with the same bytes.
        return line.decode('latin-1')
