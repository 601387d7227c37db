"""A log that neither blocks nor grows: lines wait in a bounded buffer."""

from collections import deque

# Lines a second that are kept over time, and at once.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 2000
MAX_BUFFER_BYTES = 262144


class LogBuffer:
    """Keeps lines until they are written; counts those it has to drop.

    Args:
        now: monotonic time in seconds.

    """

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.dropped = 0
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._tokens: float = MAX_BURST_LINES
        self._refilled_at = now

    def __len__(self) -> int:
        """Return how many bytes wait."""
        return self._size

    def add(self, line: bytes, now: float) -> bool:
        """Keep a line if there is room for it.

        Args:
            line: the line with its end.
            now: monotonic time in seconds.

        Returns:
            False if it was dropped.

        """
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        too_large = self._size + len(line) > MAX_BUFFER_BYTES
        if too_large or self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        self._lines.append(line)
        self._size += len(line)
        return True

    def take(self) -> bytes:
        """Return all lines that wait, and keep none of them."""
        taken = b''.join(self._lines)
        self._lines.clear()
        self._size = 0
        return taken

    def put_back(self, rest: bytes) -> None:
        """Keep what could not be written yet.

        Args:
            rest: the end of what was taken.

        """
        if rest:
            self._lines.appendleft(rest)
            self._size += len(rest)

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped = self.dropped
        self.dropped = 0
        return dropped
