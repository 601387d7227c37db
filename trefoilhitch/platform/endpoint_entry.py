"""Decodes and checks an endpoint's entry in the store."""

from msgspec import DecodeError, Raw, ValidationError
from msgspec.json import decode

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.platform._generated.platform import ServerEntry
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.tcp import split_address


class UnreadableEntryError(TrefoilhitchError):
    """The entry of an endpoint is invalid."""


def decode_entry(endpoint: str, spec: Raw) -> EndpointRecord:
    """Decode the entry of an endpoint.

    Args:
        endpoint: id of the endpoint.
        spec: the entry as JSON, not yet decoded.

    Returns:
        The endpoint's record.

    Raises:
        UnreadableEntryError: a field is missing or has the wrong type, or the
            address, state or role is invalid.

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
