"""The failovers that run in this process, by their attempt ids."""

from collections.abc import Iterator
from contextlib import contextmanager


class RunningAttempts:
    """Knows which failovers run in this process.

    Other nodes acquire the lease of an attempt that does not run any more, so
    an attempt runs until nothing more is sent on its behalf. Statements that
    were already sent may still arrive at endpoints afterwards.
    """

    def __init__(self) -> None:
        """Start without an attempt."""
        self._attempts: set[str] = set()

    @contextmanager
    def running(self, attempt: str) -> Iterator[None]:
        """Count an attempt as running inside a block.

        Args:
            attempt: unique id of the attempt.

        """
        self._attempts.add(attempt)
        try:
            yield
        finally:
            self._attempts.discard(attempt)

    def is_running(self, attempt: str) -> bool:
        """Return whether an attempt runs.

        Args:
            attempt: unique id of the attempt.

        """
        return attempt in self._attempts
