"""Log positions of the commits whose acknowledgements a node passed on."""

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.position import ORIGIN, at_least


class AcknowledgedPositions:
    """Keeps the furthest acknowledged commit of each service.

    Only commits count whose clients were told of the success. The end of a
    primary's log may lie further, and need not survive a failover.
    """

    def __init__(self) -> None:
        """Start without commits."""
        self._furthest: dict[str, LogPosition] = {}

    def record(self, service: str, position: LogPosition) -> None:
        """Record that the acknowledgement of a commit is passed on.

        Args:
            service: service name.
            position: log position of the commit.

        """
        if not at_least(self._furthest.get(service, ORIGIN), position):
            self._furthest[service] = position

    def furthest(self, service: str) -> LogPosition | None:
        """Return the position of the furthest acknowledged commit.

        Args:
            service: service name.

        Returns:
            The position, None if no acknowledgement was passed on.

        """
        return self._furthest.get(service)
