"""A commit that an endpoint has acknowledged to this node."""

from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition


@dataclass(frozen=True, slots=True)
class AcknowledgedCommit:
    """A commit that an endpoint has acknowledged to this node.

    Args:
        service: service name.
        endpoint: id of the endpoint, which was the primary.
        position: end of its log when it answered. Commits of others that no
            replica has received may lie between the commit and this position.
        known_before: a position that its log had before the commit was sent,
            None if none is known.
        deadline: monotonic time by which the client needs an answer.

    """

    service: str
    endpoint: str
    position: LogPosition
    known_before: LogPosition | None
    deadline: float

    @property
    def reached(self) -> LogPosition:
        """The furthest position that the commit has surely reached."""
        known = self.known_before
        if known is None or known.term != self.position.term:
            return LogPosition(term=self.position.term, position=0)
        return LogPosition(term=known.term, position=known.position + 1)
