"""Writes log lines to a file descriptor without ever waiting for it."""

import os

from trio import current_time

from trefoilhitch.log_buffer import LogBuffer

FLUSH_INTERVAL_S = 0.1


class LogWriter:
    """A text stream for log handlers that writes from a task of its own.

    Args:
        descriptor: file descriptor, made non-blocking.

    """

    def __init__(self, descriptor: int) -> None:
        """Start empty."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = LogBuffer(current_time())

    def write(self, text: str) -> int:
        """Take a line.

        Args:
            text: the line with its end.

        Returns:
            Its length.

        """
        self._buffer.add(text.encode(), current_time())
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines leave with the next `drain`."""

    def drain(self) -> int:
        """Write what can be written now.

        Returns:
            How many lines were dropped since the last call.

        """
        taken = self._buffer.take()
        try:
            written = os.write(self._descriptor, taken) if taken else 0
        except BlockingIOError:
            written = 0
        self._buffer.put_back(taken[written:])
        return self._buffer.take_dropped()
