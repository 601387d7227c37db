"""Tracks whether a primary still acknowledges commits, as seen by all nodes."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class CommitProgress:
    """Acknowledged and overdue commits of one endpoint.

    Times are in seconds on a clock that includes suspended time.

    Args:
        endpoint: endpoint id.
        acknowledged_sent_at: when the newest acknowledged commit was sent,
            None if there is none.
        first_overdue_sent_at: when the oldest overdue commit after that one
            was sent, None if there is none.
        last_overdue_sent_at: when the newest commit that became overdue was
            sent, None if there is none.

    """

    endpoint: str
    acknowledged_sent_at: float | None = None
    first_overdue_sent_at: float | None = None
    last_overdue_sent_at: float | None = None

    def with_acknowledged(self, sent_at: float) -> 'CommitProgress':
        """Return the progress after a commit was acknowledged.

        Args:
            sent_at: when the commit was sent.

        Returns:
            The progress; commits sent earlier no longer count as overdue.

        """
        newest_acknowledged = max(sent_at, self.acknowledged_sent_at or sent_at)
        overdue = self.first_overdue_sent_at
        if overdue is not None and overdue <= newest_acknowledged:
            overdue = None
        return replace(
            self,
            acknowledged_sent_at=newest_acknowledged,
            first_overdue_sent_at=overdue,
        )

    def with_overdue(self, sent_at: float) -> 'CommitProgress':
        """Return the progress after an acknowledgement became overdue.

        Args:
            sent_at: when the commit was sent.

        Returns:
            The progress; nothing is overdue if a later commit was
            acknowledged.

        """
        last_overdue = max(sent_at, self.last_overdue_sent_at or sent_at)
        first = min(sent_at, self.first_overdue_sent_at or sent_at)
        if (
            self.acknowledged_sent_at is not None
            and first <= self.acknowledged_sent_at
        ):
            return replace(self, last_overdue_sent_at=last_overdue)
        return replace(
            self, first_overdue_sent_at=first, last_overdue_sent_at=last_overdue
        )


class CommitTracker:
    """Tracks the commits of each service's primary."""

    def __init__(self) -> None:
        """Create a tracker without commits."""
        self._progress: dict[str, CommitProgress] = {}

    def progress(self, service: str, endpoint: str) -> CommitProgress:
        """Return the progress of an endpoint.

        Args:
            service: service whose primary the endpoint is.
            endpoint: endpoint id.

        Returns:
            The progress; it is empty if the endpoint was not tracked.

        """
        known = self._progress.get(service)
        if known is None or known.endpoint != endpoint:
            return CommitProgress(endpoint)
        return known

    def record_acknowledged(
        self, service: str, endpoint: str, sent_at: float
    ) -> None:
        """Record an acknowledged commit.

        Args:
            service: service name.
            endpoint: id of its primary.
            sent_at: when the commit was sent.

        """
        progress = self.progress(service, endpoint)
        self._progress[service] = progress.with_acknowledged(sent_at)

    def record_overdue(
        self, service: str, endpoint: str, sent_at: float
    ) -> None:
        """Record an overdue acknowledgement.

        Args:
            service: service name.
            endpoint: id of its primary.
            sent_at: when the commit was sent.

        """
        self._progress[service] = self.progress(service, endpoint).with_overdue(
            sent_at
        )

    def all_progress(self) -> dict[str, CommitProgress]:
        """Return the progress of each service's primary."""
        return dict(self._progress)
