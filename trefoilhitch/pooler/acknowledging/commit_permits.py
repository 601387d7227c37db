"""Permits acknowledgements of commits while a failover runs."""

from collections.abc import Mapping
from typing import Protocol

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.observations import later_position
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.position import contains


class PermitSource(Protocol):
    """Permits acknowledgements while one failover runs."""

    async def permits(self, position: LogPosition) -> bool:
        """Return whether the acknowledgement of a commit may be passed on."""


class CommitPermits:
    """Tells which commits survive the failover that this node runs.

    Before a promotion is commanded, these are the commits that a known replica
    has received: the endpoint that is promoted has to hold them. After that,
    these are the commits that the endpoint held when its promotion was
    commanded. A command that an earlier holder left may take effect at any
    time, so it counts from the start.
    """

    def __init__(self) -> None:
        """Start before the first command."""
        # Position that the promoted endpoint has to hold, None for any.
        self.floor: LogPosition | None = None
        # Ends of the logs of the replicas, as they were last reported.
        self._log_ends: dict[str, LogPosition] = {}
        # Ends of the logs of the endpoints that may be promoted by commands;
        # None if it is unknown.
        self._commanded: dict[str, LogPosition | None] = {}
        self._primary = ''

    def add_pending(self, endpoint: str) -> None:
        """Add an endpoint whose promotion an earlier holder may have commanded.

        Args:
            endpoint: id of the endpoint, empty if there is none.

        """
        if endpoint:
            self._commanded[endpoint] = None

    def exclude(self, endpoint: str) -> None:
        """Exclude the primary that is replaced: its own log proves nothing.

        Args:
            endpoint: id of the endpoint, empty if it is unknown.

        """
        self._primary = endpoint
        self._log_ends.pop(endpoint, None)

    def grant(self, position: LogPosition) -> bool:
        """Return whether a commit may be acknowledged, and must survive then.

        Args:
            position: end of the primary's log when it acknowledged the commit.

        Returns:
            False if the commit may be missing at the endpoint that is
            promoted, as far as is known now.

        """
        if not self._survives(position):
            return False
        self.floor = later_position(self.floor, position)
        return True

    def record(self, statuses: Mapping[str, EndpointStatus]) -> None:
        """Record what endpoints reported.

        Args:
            statuses: their statuses by id.

        """
        for endpoint, status in statuses.items():
            if status.is_primary or endpoint == self._primary:
                self._log_ends.pop(endpoint, None)
                continue
            self._log_ends[endpoint] = status.position
            if self._commanded.get(endpoint, status.position) is None:
                self._commanded[endpoint] = status.position

    def record_command(self, endpoint: str, position: LogPosition) -> None:
        """Record that the promotion of an endpoint is commanded now.

        Args:
            endpoint: id of the endpoint.
            position: end of its log.

        """
        self._commanded.setdefault(endpoint, position)

    def _survives(self, position: LogPosition) -> bool:
        if self._commanded:
            return all(
                log_end is not None and contains(log_end, position)
                for log_end in self._commanded.values()
            )
        return any(
            contains(log_end, position) for log_end in self._log_ends.values()
        )
