"""The failovers that run in this process, by their attempt ids."""

from collections.abc import Iterator
from contextlib import contextmanager

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import CommitPermitReply
from trefoilhitch.pooler.acknowledging.commit_permits import PermitSource


class RunningAttempts:
    """Knows which failovers run in this process.

    Other nodes acquire the lease of an attempt that does not run any more, so
    an attempt runs until nothing more is sent on its behalf. Statements that
    were already sent may still arrive at endpoints afterwards.
    """

    def __init__(self) -> None:
        """Start without an attempt."""
        self._attempts: dict[str, PermitSource | None] = {}

    @contextmanager
    def running(
        self, attempt: str, permits: PermitSource | None = None
    ) -> Iterator[None]:
        """Count an attempt as running inside a block.

        Args:
            attempt: unique id of the attempt.
            permits: tells which commits survive it; None if none does for
                sure.

        """
        self._attempts[attempt] = permits
        try:
            yield
        finally:
            self._attempts.pop(attempt, None)

    def is_running(self, attempt: str) -> bool:
        """Return whether an attempt runs.

        Args:
            attempt: unique id of the attempt.

        """
        return attempt in self._attempts

    async def permit(
        self, attempt: str, position: LogPosition
    ) -> CommitPermitReply:
        """Return whether the acknowledgement of a commit may be passed on.

        Args:
            attempt: unique id of the attempt.
            position: end of the primary's log when it acknowledged the commit.

        """
        if attempt not in self._attempts:
            return CommitPermitReply(running=False)
        permits = self._attempts[attempt]
        if permits is None:
            return CommitPermitReply(running=True)
        return CommitPermitReply(
            running=True, permitted=await permits.permits(position)
        )
