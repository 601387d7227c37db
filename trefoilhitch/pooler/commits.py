"""Whether a lead still acknowledges commits, from what all nodes see."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class CommitTrack:
    """Commits at one endpoint.

    Args:
        endpoint: id of the endpoint.
        acknowledged_at: when the newest commit was sent that was
            acknowledged, None if none was.
        overdue_since: when the first commit after it was sent whose
            acknowledgement is overdue, None if none is.
        alarmed_at: when the newest commit was sent that became overdue.

    """

    endpoint: str
    acknowledged_at: float | None = None
    overdue_since: float | None = None
    alarmed_at: float | None = None

    def acknowledge(self, sent_at: float) -> 'CommitTrack':
        """Return the track after a commit was acknowledged.

        Args:
            sent_at: when it was sent.

        Returns:
            The track; commits sent before no longer count as overdue.

        """
        newest = max(sent_at, self.acknowledged_at or sent_at)
        overdue = self.overdue_since
        if overdue is not None and overdue <= newest:
            overdue = None
        return replace(self, acknowledged_at=newest, overdue_since=overdue)

    def miss(self, sent_at: float) -> 'CommitTrack':
        """Return the track after an acknowledgement became overdue.

        Args:
            sent_at: when the commit was sent.

        Returns:
            The track; nothing is overdue if a later commit was acknowledged.

        """
        alarmed = max(sent_at, self.alarmed_at or sent_at)
        first = min(sent_at, self.overdue_since or sent_at)
        if self.acknowledged_at is not None and first <= self.acknowledged_at:
            return replace(self, alarmed_at=alarmed)
        return replace(self, overdue_since=first, alarmed_at=alarmed)


class Commits:
    """Keeps the track of each service's lead."""

    def __init__(self) -> None:
        """Start without any."""
        self._tracks: dict[str, CommitTrack] = {}

    def track(self, service: str, endpoint: str) -> CommitTrack:
        """Return the track of an endpoint, a new one if it was not tracked.

        Args:
            service: the service that it leads.
            endpoint: its id.

        Returns:
            The track.

        """
        known = self._tracks.get(service)
        if known is None or known.endpoint != endpoint:
            return CommitTrack(endpoint)
        return known

    def acknowledge(self, service: str, endpoint: str, sent_at: float) -> None:
        """Take note of an acknowledged commit.

        Args:
            service: the service.
            endpoint: id of its lead.
            sent_at: when the commit was sent.

        """
        track = self.track(service, endpoint)
        self._tracks[service] = track.acknowledge(sent_at)

    def miss(self, service: str, endpoint: str, sent_at: float) -> None:
        """Take note of an overdue acknowledgement.

        Args:
            service: the service.
            endpoint: id of its lead.
            sent_at: when the commit was sent.

        """
        self._tracks[service] = self.track(service, endpoint).miss(sent_at)

    def all_tracks(self) -> dict[str, CommitTrack]:
        """Return the track of each service."""
        return dict(self._tracks)
