"""The failovers that other nodes, or this one, have announced."""

from dataclasses import dataclass

# Failovers of one service follow each other, so that only the newest may run.
MAX_NOTICES_PER_SERVICE = 8


@dataclass(frozen=True, slots=True)
class ReceivedNotice:
    """An announced failover of a service.

    Args:
        attempt: unique id of the failover.
        address: peer address of the node that runs it.
        received_at: when this node learnt of it, in seconds on a clock that
            includes suspended time.

    """

    attempt: str
    address: str
    received_at: float


class FailoverNotices:
    """Keeps the notices of each service.

    A notice may arrive late, after that of a failover which began later.
    """

    def __init__(self) -> None:
        """Start without notices."""
        # By service and attempt, the newest last.
        self._notices: dict[str, dict[str, ReceivedNotice]] = {}

    def record(self, service: str, notice: ReceivedNotice) -> None:
        """Record that a failover has begun.

        Args:
            service: service whose primary may be replaced.
            notice: the failover.

        """
        notices = self._notices.setdefault(service, {})
        notices.pop(notice.attempt, None)
        notices[notice.attempt] = notice
        if len(notices) > MAX_NOTICES_PER_SERVICE:
            notices.pop(next(iter(notices)))

    def discard(self, service: str, attempt: str) -> None:
        """Forget a failover that has ended.

        Args:
            service: service name.
            attempt: unique id of the failover.

        """
        self._notices.get(service, {}).pop(attempt, None)

    def newer_than(
        self, service: str, observed_at: float
    ) -> ReceivedNotice | None:
        """Return a failover that a view of the leases may not show yet.

        Args:
            service: service name.
            observed_at: when the view was requested, on the same clock.

        Returns:
            The newest notice, None if the view was requested after all.

        """
        newer = {
            attempt: notice
            for attempt, notice in self._notices.get(service, {}).items()
            if notice.received_at >= observed_at
        }
        self._notices[service] = newer
        return next(reversed(newer.values()), None)
