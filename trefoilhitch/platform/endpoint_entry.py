"""Decodes and checks an endpoint's entry in the store."""

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Final

from msgspec import Raw

from trefoilhitch.decimal_text import parse_decimal
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.platform._generated.platform import ServerEntry
from trefoilhitch.pooler.endpoint_record import EndpointRecord

MAX_NAME_CHARS: Final = 255
MAX_PORT: Final = 65535
# Neither blanks nor control characters.
_WORD = re.compile(r'[^\s\x00-\x20\x7f-\xa0]+')
_BROADCAST = IPv4Address('255.255.255.255')


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
        UnreadableEntryError: a field is missing, has the wrong type or is out
            of bounds, or the id or the service is not one word on the wire.

    """
    try:
        entry = decode_json(spec, ServerEntry)
    except UnreadableJsonError as exc:
        raise UnreadableEntryError(f'{endpoint}: {exc}') from exc
    _check_word('id', endpoint)
    _check_word('service', entry.service)
    return EndpointRecord(
        endpoint=endpoint,
        service=entry.service,
        address=_read_address(endpoint, entry.address),
        data_centre=entry.zone,
        started_at_ms=entry.born,
        leaving=entry.state == 'draining',
        role=entry.db_role,
        slots=entry.capacity,
    )


def _check_word(field: str, text: str) -> None:
    if len(text) > MAX_NAME_CHARS or not _WORD.fullmatch(text):
        raise UnreadableEntryError(f'{text}: the {field} is not one word')


def _read_address(endpoint: str, address: str) -> str:
    """Check an address; return its usual form."""
    host, _, port_text = address.rpartition(':')
    port = parse_decimal(port_text)
    if port is None or not 0 < port <= MAX_PORT:
        raise UnreadableEntryError(f'{endpoint}: invalid port in {address}')
    return f'{_read_host(endpoint, host)}:{port}'


def _read_host(endpoint: str, host: str) -> IPv4Address:
    try:
        ip = IPv4Address(host)
    except AddressValueError as exc:
        raise UnreadableEntryError(f'{endpoint}: {exc}') from exc
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise UnreadableEntryError(f'{endpoint}: {ip} names no single host')
    return ip
