"""Bounded buffer for log lines: a slow reader costs neither time nor memory."""

from collections import deque

# Token bucket: lines accepted per second on average, and in one burst.
MAX_LINES_PER_S = 400
MAX_BURST_LINES = 2000
MAX_BUFFER_BYTES = 262144


class LogBuffer:
    """Buffers lines until they are written, and counts those it drops.

    Args:
        now: monotonic time in seconds.

    """

    def __init__(self, now: float) -> None:
        """Initialise an empty buffer with a full burst."""
        self.dropped = 0
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._tokens: float = MAX_BURST_LINES
        self._refilled_at = now

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return self._size

    def add(self, line: bytes, now: float) -> bool:
        """Add a line, or drop it if a limit is exceeded.

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
        """Remove and return all buffered lines."""
        taken = b''.join(self._lines)
        self._lines.clear()
        self._size = 0
        return taken

    def put_back(self, rest: bytes) -> None:
        """Put unwritten bytes back at the front.

        Args:
            rest: the unwritten end of what `take` returned.

        """
        if rest:
            self._lines.appendleft(rest)
            self._size += len(rest)

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped = self.dropped
        self.dropped = 0
        return dropped
