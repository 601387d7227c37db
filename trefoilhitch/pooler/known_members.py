"""Members of a group as a failover knows them, for the log."""

from dataclasses import dataclass
from enum import Enum

from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import EndpointRegistry

_MS_PER_S = 1000


class EntryState(Enum):
    """State of a member's entry in the directory."""

    LISTED = 'listed'
    LEAVING = 'leaving'
    MISSING = 'missing'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class KnownMember:
    """A member of a group.

    Args:
        endpoint: endpoint id.
        entry: state of its entry.
        started_at_ms: Unix time of its start in ms.
        listed_for_ms: how long this node has known the entry of that start, in
            ms; None if the directory never listed it.

    """

    endpoint: str
    entry: EntryState
    started_at_ms: int
    listed_for_ms: int | None


def known_members(
    endpoints: EndpointRegistry, service: str, now: float
) -> list[KnownMember]:
    """Return the endpoints that may hold commits of a service.

    Args:
        endpoints: known endpoints.
        service: service name.
        now: monotonic time.

    """
    return [
        KnownMember(
            record.endpoint,
            _entry_state(endpoints, record),
            record.started_at_ms,
            _listed_for_ms(endpoints, record, now),
        )
        for record in endpoints.log_holders(service)
    ]


def _entry_state(
    endpoints: EndpointRegistry, record: EndpointRecord
) -> EntryState:
    if endpoints.is_lost(record.endpoint):
        return EntryState.LOST
    if endpoints.is_missing(record.endpoint):
        return EntryState.MISSING
    return EntryState.LEAVING if record.leaving else EntryState.LISTED


def _listed_for_ms(
    endpoints: EndpointRegistry, record: EndpointRecord, now: float
) -> int | None:
    since = endpoints.listings.since(record.endpoint)
    return None if since is None else int((now - since) * _MS_PER_S)
