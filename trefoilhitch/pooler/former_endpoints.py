"""Endpoints whose entries have been missing from the directory for too long.

One that disappeared without a planned shutdown is lost: it may hold commits
that others lack, and it may come back.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from trefoilhitch.pooler.ended_members import EndedMembers, MemberEnd
from trefoilhitch.pooler.endpoint_record import EndpointRecord

# How long a lost endpoint counts as a holder of its group's log.
LOST_RETENTION_S = 30.0
# How long it is remembered that an endpoint is gone for good, in case the
# record of its group still names it.
GONE_RETENTION_S = 300.0


@dataclass(frozen=True, slots=True)
class FormerEndpoint:
    """An endpoint that is not listed any more.

    Args:
        record: its newest entry.
        forget_at: monotonic time at which it is forgotten.

    """

    record: EndpointRecord
    forget_at: float


class FormerEndpoints:
    """Remembers endpoints that are lost or gone.

    Args:
        ended: receives the endpoints when they are lost, replaced or gone.

    """

    def __init__(self, ended: EndedMembers) -> None:
        """Start without endpoints."""
        self._ended = ended
        self._lost: dict[str, FormerEndpoint] = {}
        self._gone: dict[str, FormerEndpoint] = {}

    def add(self, record: EndpointRecord, now: float) -> None:
        """Add an endpoint whose entry has been missing for too long.

        Args:
            record: its newest entry; one that was leaving is gone for good.
            now: monotonic time.

        """
        if record.leaving:
            self._ended.add(record, MemberEnd.LEFT)
            self._add_gone(record, now)
        else:
            self._ended.add(record, MemberEnd.LOST)
            self._lost[record.endpoint] = FormerEndpoint(
                record, now + LOST_RETENTION_S
            )

    def discard(self, endpoint: str) -> None:
        """Forget that an endpoint was lost.

        Args:
            endpoint: endpoint id.

        """
        self._lost.pop(endpoint, None)

    def record_replaced(self, record: EndpointRecord) -> None:
        """Record that another endpoint has started at an endpoint's address.

        Args:
            record: newest entry of the endpoint that was replaced.

        """
        self.discard(record.endpoint)
        self._ended.add(record, MemberEnd.REPLACED)

    def expire(self, now: float) -> None:
        """Take endpoints that were lost long ago for gone.

        Args:
            now: monotonic time.

        """
        for endpoint in _expired(self._lost, now):
            record = self._lost.pop(endpoint).record
            self._ended.add(record, MemberEnd.FORGOTTEN)
            self._add_gone(record, now)
        for forgotten in _expired(self._gone, now):
            self._gone.pop(forgotten)

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return the newest entry of a lost endpoint.

        Args:
            endpoint: endpoint id.

        Returns:
            The entry, None if the endpoint is not lost.

        """
        lost = self._lost.get(endpoint)
        return lost.record if lost else None

    def lost(self) -> list[EndpointRecord]:
        """Return the newest entries of all lost endpoints."""
        return [each.record for each in self._lost.values()]

    def is_gone(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint is gone and has not restarted since.

        Args:
            record: an entry of it.

        """
        gone = self._gone.get(record.endpoint)
        if gone is None:
            return False
        return gone.record.started_at_ms >= record.started_at_ms

    def _add_gone(self, record: EndpointRecord, now: float) -> None:
        self._gone[record.endpoint] = FormerEndpoint(
            record, now + GONE_RETENTION_S
        )


def _expired(former: Mapping[str, FormerEndpoint], now: float) -> list[str]:
    return [
        endpoint for endpoint, each in former.items() if each.forget_at <= now
    ]
