"""Splits the bytes of a connection into lines that end in CR LF."""

MAX_MESSAGE_BYTES = 1048576
# Whether the limit includes the line end is open, so that it does in what is
# sent, and does not in what is received.
LINE_END_BYTES = 2
# Characters of an unexpected message that an error quotes.
MAX_SHOWN_CHARS = 40
_LINE_END = b'\r\n'
_BLANK = ' '


class WireError(Exception):
    """The bytes or fields are not a message of the wire protocol."""


def encode_line(*fields: str) -> bytes:
    """Encode a message; its last field extends to the end of the line.

    Args:
        fields: the word of the message and its fields.

    Returns:
        One line with its line end.

    Raises:
        WireError: a field other than the last is empty or contains a blank, a
            field contains a line end or is not Latin-1, or the message is too
            long.

    """
    for field in fields[:-1]:
        if not field or _BLANK in field:
            raise WireError(f'not a field: {field[:MAX_SHOWN_CHARS]!a}')
    line = _BLANK.join(fields)
    _check_line(line)
    try:
        return line.encode('latin-1') + _LINE_END
    except UnicodeEncodeError as exc:
        raise WireError('character that is not Latin-1') from exc


def _check_line(line: str) -> None:
    if '\r' in line or '\n' in line:
        raise WireError('line end inside a message')
    if len(line) + LINE_END_BYTES > MAX_MESSAGE_BYTES:
        raise WireError('message too long')


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
