"""The members of a database group, as a record in the store names them.

Entries of endpoints expire while the directory is away, and a node that starts
has never seen those. The record tells it which endpoints hold the group's log.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.era_numbers import NO_ERA


@dataclass(frozen=True, slots=True, order=True)
class RecordedMember:
    """An endpoint that may hold commits which others lack.

    Args:
        endpoint: endpoint id.
        address: `ADDRESS:PORT`.
        data_centre: data centre in which it runs.
        started_at_ms: Unix time of its start in ms.
        leaving: whether it is shutting down.

    """

    endpoint: str
    address: str
    data_centre: str
    started_at_ms: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class RecordedGroup:
    """A group's record as it is stored.

    Args:
        members: its members, sorted; empty if there is no record.
        revision: revision of the stored record, 0 if there is none.
        era: era of the store in which it was read.

    """

    members: tuple[RecordedMember, ...] = ()
    revision: int = 0
    era: int = NO_ERA


def record_members(
    endpoints: Iterable[EndpointRecord],
) -> tuple[RecordedMember, ...]:
    """Return the members to record.

    Args:
        endpoints: all endpoints that may hold commits which others lack.

    """
    members = (
        RecordedMember(
            each.endpoint,
            each.address,
            each.data_centre,
            each.started_at_ms,
            each.leaving,
        )
        for each in endpoints
    )
    return tuple(sorted(members))


def read_members(
    service: str, members: Iterable[RecordedMember]
) -> list[EndpointRecord]:
    """Return the entries that recorded members had.

    Args:
        service: service name.
        members: members of its group.

    Returns:
        Their entries. The record names neither roles, which change, nor
        slots.

    """
    return [
        EndpointRecord(
            endpoint=each.endpoint,
            service=service,
            address=each.address,
            data_centre=each.data_centre,
            started_at_ms=each.started_at_ms,
            leaving=each.leaving,
            role='replica',
            slots=1,
        )
        for each in members
    ]
