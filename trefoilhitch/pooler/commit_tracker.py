"""Whether a lead still acknowledges commits, from what all nodes see."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class CommitProgress:
    """Commits at one endpoint.

    Args:
        endpoint: id of the endpoint.
        acknowledged_sent_at: when the newest commit was sent that was
            acknowledged, None if none was.
        first_overdue_sent_at: when the first commit after it was sent whose
            acknowledgement is overdue, None if none is.
        last_overdue_sent_at: when the newest overdue commit was sent.

    """

    endpoint: str
    acknowledged_sent_at: float | None = None
    first_overdue_sent_at: float | None = None
    last_overdue_sent_at: float | None = None

    def with_acknowledged(self, sent_at: float) -> 'CommitProgress':
        """Return the track after a commit was acknowledged.

        Args:
            sent_at: when it was sent.

        Returns:
            The track; commits sent before no longer count as overdue.

        """
        newest = max(sent_at, self.acknowledged_sent_at or sent_at)
        overdue = self.first_overdue_sent_at
        if overdue is not None and overdue <= newest:
            overdue = None
        return replace(
            self, acknowledged_sent_at=newest, first_overdue_sent_at=overdue
        )

    def with_overdue(self, sent_at: float) -> 'CommitProgress':
        """Return the track after an acknowledgement became overdue.

        Args:
            sent_at: when the commit was sent.

        Returns:
            The track; nothing is overdue if a later commit was acknowledged.

        """
        alarmed = max(sent_at, self.last_overdue_sent_at or sent_at)
        first = min(sent_at, self.first_overdue_sent_at or sent_at)
        if (
            self.acknowledged_sent_at is not None
            and first <= self.acknowledged_sent_at
        ):
            return replace(self, last_overdue_sent_at=alarmed)
        return replace(
            self, first_overdue_sent_at=first, last_overdue_sent_at=alarmed
        )


class CommitTracker:
    """Keeps the track of each service's lead."""

    def __init__(self) -> None:
        """Start without any."""
        self._progress: dict[str, CommitProgress] = {}

    def progress(self, service: str, endpoint: str) -> CommitProgress:
        """Return the track of an endpoint, a new one if it was not tracked.

        Args:
            service: the service that it leads.
            endpoint: its id.

        Returns:
            The track.

        """
        known = self._progress.get(service)
        if known is None or known.endpoint != endpoint:
            return CommitProgress(endpoint)
        return known

    def record_acknowledged(
        self, service: str, endpoint: str, sent_at: float
    ) -> None:
        """Take note of an acknowledged commit.

        Args:
            service: the service.
            endpoint: id of its lead.
            sent_at: when the commit was sent.

        """
        track = self.progress(service, endpoint)
        self._progress[service] = track.with_acknowledged(sent_at)

    def record_overdue(
        self, service: str, endpoint: str, sent_at: float
    ) -> None:
        """Take note of an overdue acknowledgement.

        Args:
            service: the service.
            endpoint: id of its lead.
            sent_at: when the commit was sent.

        """
        self._progress[service] = self.progress(service, endpoint).with_overdue(
            sent_at
        )

    def all_progress(self) -> dict[str, CommitProgress]:
        """Return the track of each service."""
        return dict(self._progress)
