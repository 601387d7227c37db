"""Writes log lines to a file descriptor without blocking."""

import os

from trio import current_time

from trefoilhitch.log_buffer import LogBuffer

FLUSH_INTERVAL_S = 0.1


class LogWriter:
    """A text stream for log handlers; `drain` writes the buffered lines.

    Args:
        descriptor: file descriptor, made non-blocking.

    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking and initialise the buffer."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = LogBuffer(current_time())

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full.

        Args:
            text: the line with its end.

        Returns:
            Length of the line in characters.

        """
        self._buffer.add(text.encode(), current_time())
        return len(text)

    def flush(self) -> None:
        """Do nothing: the next `drain` writes the lines."""

    def drain(self) -> int:
        """Write as many buffered lines as the descriptor accepts.

        Returns:
            How many lines were dropped since the last call.

        """
        taken = self._buffer.take()
        try:
            written = os.write(self._descriptor, taken) if taken else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; the process goes on without it.
            self._buffer.dropped += taken.count(b'\n')
            written = len(taken)
        self._buffer.put_back(taken[written:])
        return self._buffer.take_dropped()
