"""Entries of endpoints in the store, each checked on its own."""

from msgspec import DecodeError, Raw, ValidationError
from msgspec.json import decode

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.platform._generated.platform import ServerEntry
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.tcp import split_address


class UnreadableEntryError(TrefoilhitchError):
    """An entry does not describe an endpoint that can be used."""


def decode_entry(endpoint: str, spec: Raw) -> EndpointRecord:
    """Read the entry of an endpoint.

    Args:
        endpoint: its id.
        spec: what the entry holds.

    Returns:
        The endpoint.

    Raises:
        UnreadableEntryError: a field is missing or of another type, or a
            state or role is not a known one.

    """
    try:
        entry = decode(spec, type=ServerEntry)
        split_address(entry.address)
    except (DecodeError, ValidationError, OSError) as exc:
        raise UnreadableEntryError(f'{endpoint}: {exc}') from exc
    return EndpointRecord(
        endpoint=endpoint,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        started_at_ms=entry.born,
        leaving=entry.state == 'draining',
        role=entry.db_role,
        slots=entry.capacity,
    )
