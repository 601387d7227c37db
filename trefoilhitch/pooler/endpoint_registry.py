"""Which endpoints there are, from a directory that lags and has outages."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Literal

Role = Literal['primary', 'replica']
# Endpoints whose entries lapsed during an outage of the directory return in
# about two seconds; until then a missing entry proves nothing.
MISSING_GRACE_S = 2.5
# An endpoint that did not leave by plan may hold commits for this much longer.
LOST_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as the directory lists it.

    Args:
        endpoint: its id.
        service: database group that it belongs to.
        address: `ADDRESS:PORT`.
        data_centre: where it stands.
        started_at_ms: Unix time of its start in ms, tells restarts apart.
        leaving: whether it is about to end.
        role: what it says it is.
        slots: statements that it runs at once.

    """

    endpoint: str
    service: str
    address: str
    data_centre: str
    started_at_ms: int
    leaving: bool
    role: Role
    slots: int


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint with what happened to its entry.

    Args:
        record: its newest entry.
        expires_at: monotonic time after which a missing entry means that
            the endpoint is gone; None while the entry is there.

    """

    record: EndpointRecord
    expires_at: float | None = None


class EndpointRegistry:
    """Keeps the entries of all endpoints."""

    def __init__(self) -> None:
        """Start empty."""
        self._listed: dict[str, ListedEndpoint] = {}
        self._lost: dict[str, ListedEndpoint] = {}

    def replace_all(
        self, records: Mapping[str, EndpointRecord], now: float
    ) -> None:
        """Take over a whole listing.

        Args:
            records: every valid entry by id.
            now: monotonic time.

        """
        for endpoint in self._listed.keys() - records.keys():
            self.mark_missing(endpoint, now)
        for record in records.values():
            self.put(record)

    def put(self, record: EndpointRecord) -> None:
        """Take over one entry.

        An endpoint that starts again under another id at the same address
        brings its log along; its earlier entry says nothing any more.

        Args:
            record: the entry.

        """
        self._listed[record.endpoint] = ListedEndpoint(record)
        self._listed = _without_predecessors(self._listed, record)
        self._lost = _without_predecessors(self._lost, record)
        self._lost.pop(record.endpoint, None)

    def mark_missing(self, endpoint: str, now: float) -> None:
        """Note that an entry is gone.

        Args:
            endpoint: its id.
            now: monotonic time.

        """
        listed = self._listed.get(endpoint)
        if listed is not None and listed.expires_at is None:
            self._listed[endpoint] = replace(
                listed, expires_at=now + MISSING_GRACE_S
            )

    def drop_expired(self, now: float) -> list[str]:
        """Drop the endpoints whose entries stayed away.

        Args:
            now: monotonic time.

        Returns:
            Their ids.

        """
        gone = [
            endpoint
            for endpoint, listed in self._listed.items()
            if listed.expires_at is not None and listed.expires_at <= now
        ]
        for lost_id in gone:
            self._retain_lost(self._listed.pop(lost_id).record, now)
        self._lost = {
            name: lost
            for name, lost in self._lost.items()
            if lost.expires_at is not None and lost.expires_at > now
        }
        return gone

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return an endpoint's entry.

        Args:
            endpoint: its id.

        Returns:
            Its newest entry, also for a while after it was lost, or None.

        """
        listed = self._listed.get(endpoint) or self._lost.get(endpoint)
        return listed.record if listed else None

    def members(self, service: str) -> list[EndpointRecord]:
        """Return all endpoints of a service, leaving ones among them.

        Args:
            service: its name.

        Returns:
            Their entries, by id.

        """
        return [
            self._listed[endpoint].record
            for endpoint in sorted(self._listed)
            if self._listed[endpoint].record.service == service
        ]

    def services(self) -> list[str]:
        """Return the services that have endpoints."""
        return sorted(
            {listed.record.service for listed in self._listed.values()}
        )

    def log_holders(self, service: str) -> list[EndpointRecord]:
        """Return all endpoints that may hold commits which others lack.

        Args:
            service: its name.

        Returns:
            Its members, and those that were lost a short while ago.

        """
        lost = [
            listed.record
            for listed in self._lost.values()
            if listed.record.service == service
        ]
        return [*self.members(service), *lost]

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may be given new work.

        Args:
            service: its name.

        Returns:
            Entries that are neither leaving nor missing, by id.

        """
        return [
            record
            for record in self.members(service)
            if not record.leaving and not self.is_missing(record.endpoint)
        ]

    def is_lost(self, endpoint: str) -> bool:
        """Tell whether an endpoint's entry stayed away for too long.

        Args:
            endpoint: its id.

        Returns:
            True if the endpoint is to be taken as gone, for a while.

        """
        return endpoint in self._lost

    def is_missing(self, endpoint: str) -> bool:
        """Tell whether an endpoint's entry is gone at the moment.

        Args:
            endpoint: its id.

        Returns:
            True if there is no entry.

        """
        listed = self._listed.get(endpoint)
        return listed is None or listed.expires_at is not None

    def _retain_lost(self, record: EndpointRecord, now: float) -> None:
        if not record.leaving:
            self._lost[record.endpoint] = ListedEndpoint(
                record, now + LOST_RETENTION_S
            )


def _without_predecessors(
    listed: Mapping[str, ListedEndpoint], record: EndpointRecord
) -> dict[str, ListedEndpoint]:
    return {
        endpoint: each
        for endpoint, each in listed.items()
        if endpoint == record.endpoint
        or (each.record.service, each.record.address)
        != (record.service, record.address)
        or each.record.started_at_ms > record.started_at_ms
    }
