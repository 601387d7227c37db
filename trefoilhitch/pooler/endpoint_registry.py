"""Registry of known endpoints, fed by a directory that lags and has outages."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from trefoilhitch.pooler.ended_members import EndedMembers
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.evacuation.evacuated_data_centres import (
    EvacuatedDataCentres,
)
from trefoilhitch.pooler.former_endpoints import FormerEndpoints
from trefoilhitch.pooler.leaving_endpoints import LeavingEndpoints
from trefoilhitch.pooler.listing_times import ListingTimes
from trefoilhitch.pooler.restarted_endpoints import RestartedEndpoints

# Entries that expired during an outage of the directory return in about two
# seconds; until then, a missing entry does not mean that the endpoint is gone.
MISSING_GRACE_S = 2.5
# How long an endpoint serves after it began to leave, unless configured.
DEFAULT_DRAIN_TIMEOUT_S = 7.0
# Fraction of that time in which it is given new statements: this node may have
# learnt late that it leaves, and statements take time to arrive.
DRAIN_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint and whether its entry is missing from the directory.

    Args:
        record: its newest entry.
        expires_at: monotonic time at which a missing entry is dropped; None
            while the entry is listed.

    """

    record: EndpointRecord
    expires_at: float | None = None


class EndpointRegistry:
    """Stores the entries of all endpoints.

    Args:
        drain_timeout_s: how long an endpoint serves after it began to leave,
            in seconds.
        evacuated: the evacuated data centres, None if there can be none.

    """

    def __init__(
        self,
        drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S,
        evacuated: EvacuatedDataCentres | None = None,
    ) -> None:
        """Create an empty registry."""
        self.restarted = RestartedEndpoints()
        self.ended = EndedMembers()
        self.listings = ListingTimes()
        self._evacuated = evacuated or EvacuatedDataCentres()
        self._drain_s = drain_timeout_s * DRAIN_FRACTION
        self._listed: dict[str, ListedEndpoint] = {}
        self._former = FormerEndpoints(self.ended)
        # Endpoints that only the record of their group has named so far.
        self._remembered: set[str] = set()
        self._settles_at = math.inf
        self._leaving = LeavingEndpoints()
        self._declared_services: frozenset[str] = frozenset()
        # Endpoints whose entry names another service, which isn't declared.
        self._misplaced: set[str] = set()
        # Computed on demand, for they are read far more often than changed.
        self._members_by_service: dict[str, list[EndpointRecord]] = {}

    def replace_all(
        self, records: Mapping[str, EndpointRecord], now: float
    ) -> None:
        """Replace all entries by those of a complete listing.

        Args:
            records: all valid entries by endpoint id.
            now: monotonic time.

        """
        if math.isinf(self._settles_at):
            self._settles_at = now + MISSING_GRACE_S
        for endpoint in self._listed.keys() - records.keys():
            self.mark_missing(endpoint, now)
        for record in records.values():
            self.put(record)

    def has_settled(self, now: float) -> bool:
        """Return whether entries that had expired are listed again by now.

        Args:
            now: monotonic time.

        Returns:
            False until the first listing is old enough: the directory may
            have been away before it.

        """
        return now >= self._settles_at

    def remember(self, record: EndpointRecord, now: float) -> bool:
        """Add an endpoint that the record of its group names.

        It counts as missing until the directory lists it.

        Args:
            record: its entry.
            now: monotonic time.

        Returns:
            Whether it was not known.

        """
        missing = ListedEndpoint(record, now + MISSING_GRACE_S)
        known = self.get(record.endpoint)
        if known is not None:
            self.restarted.compare(record, known)
        if known is not None or self._former.is_gone(record):
            return False
        if _is_replaced(missing, self._listed):
            return False
        self._members_by_service.clear()
        self._listed[record.endpoint] = missing
        self._remembered.add(record.endpoint)
        if record.leaving:
            self._leaving.observe(
                record.endpoint, record.started_at_ms, leaving=True
            )
            self._leaving.record_time(record.endpoint, -math.inf)
        return True

    def was_listed(self, endpoint: str) -> bool:
        """Return whether the directory has listed an endpoint.

        Args:
            endpoint: endpoint id.

        """
        return (
            self.get(endpoint) is not None and endpoint not in self._remembered
        )

    def record_leaving(self, endpoint: str, now: float) -> None:
        """Record when an endpoint was first seen to be leaving.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        """
        self._leaving.record_time(endpoint, now)

    def has_left(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint may be given no statements any more.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            True if it has been leaving for almost as long as it serves.

        """
        since = self._leaving.since(endpoint)
        return since is not None and now >= since + self._drain_s

    def put(self, entry: EndpointRecord) -> EndpointRecord:
        """Add or update one entry.

        An endpoint that restarts under another id at the same address still
        has its log, so its earlier entry is removed once the directory lists
        it no more. An entry that is listed stays: the address of the other one
        may be copied.

        Args:
            entry: the entry.

        Returns:
            The entry as it is kept: an endpoint that was seen to be leaving
            does not return before it has restarted. An entry that names
            another service, which isn't declared, counts as missing.

        """
        known = self.get(entry.endpoint)
        declared = self._declared_services
        if known is not None and _is_misplaced(known, entry, declared):
            # A lost endpoint stays lost, and a holder of its log.
            if entry.endpoint in self._listed:
                self._misplaced.add(entry.endpoint)
            return known
        self._misplaced.discard(entry.endpoint)
        if known is not None:
            self.restarted.compare(known, entry)
        leaving = self._leaving.observe(
            entry.endpoint, entry.started_at_ms, leaving=entry.leaving
        )
        record = replace(entry, leaving=leaving)
        self._members_by_service.clear()
        self._remembered.discard(record.endpoint)
        self._listed[record.endpoint] = ListedEndpoint(record)
        self._former.discard(record.endpoint)
        for replaced in _predecessors(
            record, self._listed.values(), self._former.lost()
        ):
            self._listed.pop(replaced.endpoint, None)
            self._former.record_replaced(replaced)
        return record

    def mark_missing(self, endpoint: str, now: float) -> None:
        """Mark an entry as missing from the directory.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        """
        listed = self._listed.get(endpoint)
        if listed is None or listed.expires_at is not None:
            return
        missing = replace(listed, expires_at=now + MISSING_GRACE_S)
        self._listed[endpoint] = missing
        if _is_replaced(missing, self._listed):
            self._members_by_service.clear()
            self._listed.pop(endpoint)
            self._former.record_replaced(missing.record)

    def drop_expired(self, now: float) -> list[str]:
        """Drop the endpoints whose entries have been missing for too long.

        Args:
            now: monotonic time.

        Returns:
            Ids of the dropped endpoints.

        """
        for misplaced in self._misplaced:
            self.mark_missing(misplaced, now)
        self._misplaced.clear()
        gone = [
            endpoint
            for endpoint, listed in self._listed.items()
            if listed.expires_at is not None and listed.expires_at <= now
        ]
        for gone_id in gone:
            self._members_by_service.clear()
            self._remembered.discard(gone_id)
            self._former.add(self._listed.pop(gone_id).record, now)
            self._leaving.record_gone(gone_id, now)
        self._leaving.forget_gone(now)
        self._former.expire(now)
        return gone

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return an endpoint's entry.

        Args:
            endpoint: endpoint id.

        Returns:
            Its newest entry, None if it is unknown. The entry of a lost
            endpoint is still returned for a while.

        """
        listed = self._listed.get(endpoint)
        return listed.record if listed else self._former.get(endpoint)

    def members(self, service: str) -> list[EndpointRecord]:
        """Return all endpoints of a service, including leaving ones.

        Args:
            service: service name.

        Returns:
            Their entries, sorted by id.

        """
        self._group_by_service()
        return list(self._members_by_service.get(service, ()))

    def declare_services(self, names: Iterable[str]) -> None:
        """Set which services are declared.

        Args:
            names: their names.

        """
        self._declared_services = frozenset(names)

    def services(self) -> list[str]:
        """Return the declared services that have endpoints."""
        self._group_by_service()
        return [
            service
            for service in self._members_by_service
            if service in self._declared_services
        ]

    def log_holders(self, service: str) -> list[EndpointRecord]:
        """Return all endpoints that may hold commits which others lack.

        Args:
            service: service name.

        Returns:
            The members of the service and those lost recently.

        """
        lost = [
            record
            for record in self._former.lost()
            if record.service == service
        ]
        return [*self.members(service), *lost]

    def one_per_address(
        self,
        endpoints: Iterable[str],
        answered: Collection[str],
        primary: str | None,
    ) -> list[str]:
        """Return one endpoint for each address.

        One process listens at an address. Other entries that name it are of
        endpoints that ended there and left their logs, or are copies.

        Args:
            endpoints: endpoint ids.
            answered: ids of those that answered, preferred to others.
            primary: id of the known primary, preferred to silent ones.

        Returns:
            Their ids, sorted.

        """
        ranked = sorted(
            endpoints, key=lambda each: (each in answered, each == primary)
        )
        by_address: dict[str, str] = {}
        for endpoint in ranked:
            record = self.get(endpoint)
            # The id stands for the address of an endpoint without an entry.
            by_address[record.address if record else endpoint] = endpoint
        return sorted(by_address.values())

    def usable(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may be given new work.

        Args:
            service: service name.

        Returns:
            Entries that are neither leaving, missing nor in an evacuated data
            centre, sorted by id.

        """
        return [
            record
            for record in self.members(service)
            if not record.leaving
            and not self.is_missing(record.endpoint)
            and not self._evacuated.contains(record.data_centre)
        ]

    def is_lost(self, endpoint: str) -> bool:
        """Return whether an endpoint was lost recently.

        Args:
            endpoint: endpoint id.

        Returns:
            True if its entry has been missing for too long without a planned
            shutdown.

        """
        return self._former.get(endpoint) is not None

    def is_missing(self, endpoint: str) -> bool:
        """Return whether an endpoint's entry is missing at the moment.

        Args:
            endpoint: endpoint id.

        Returns:
            True if the directory lists no entry.

        """
        listed = self._listed.get(endpoint)
        return listed is None or listed.expires_at is not None

    def _group_by_service(self) -> None:
        if self._members_by_service:
            return
        records = [listed.record for listed in self._listed.values()]
        records.sort(key=lambda record: (record.service, record.endpoint))
        for record in records:
            members = self._members_by_service.setdefault(record.service, [])
            members.append(record)


def _is_misplaced(
    known: EndpointRecord, entry: EndpointRecord, declared: Collection[str]
) -> bool:
    return known.service in declared and entry.service not in declared


def _is_replaced(
    missing: ListedEndpoint, listed: Mapping[str, ListedEndpoint]
) -> bool:
    return any(_replaces(each, missing) for each in listed.values())


def _predecessors(
    record: EndpointRecord,
    listed: Iterable[ListedEndpoint],
    lost: Iterable[EndpointRecord],
) -> list[EndpointRecord]:
    """Return the endpoints that a listed endpoint has replaced."""
    successor = ListedEndpoint(record)
    missing = [each.record for each in listed if _replaces(successor, each)]
    return [*missing, *(each for each in lost if _succeeds(record, each))]


def _replaces(successor: ListedEndpoint, missing: ListedEndpoint) -> bool:
    """Return whether a listed endpoint has replaced one that is missing."""
    if successor.expires_at is not None or missing.expires_at is None:
        return False
    return _succeeds(successor.record, missing.record)


def _succeeds(new: EndpointRecord, old: EndpointRecord) -> bool:
    """Return whether an endpoint was started later at the same address."""
    if (new.service, new.address) != (old.service, old.address):
        return False
    return new.started_at_ms >= old.started_at_ms
