"""Decodes messages of other nodes; one bad item does not hide the others.

A node passes on what it learnt from others, so an item that cannot be read says
nothing about its sender. Leases are not filtered: a missing one permits the use
of a primary.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeVar

from msgspec import Raw, Struct
from msgspec.json import encode

from trefoilhitch._generated.peer import (
    AcknowledgedReport,
    CommitReport,
    EndpointEntryReport,
    EntriesReply,
    Exchange,
    LeadProof,
    MemberBeat,
    MembersReply,
    ProbeReply,
    ProbeRequest,
    ProofReply,
)
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json

MessageT = TypeVar('MessageT')


class _NamedEntry(Struct, frozen=True):
    endpoint: str


@dataclass(frozen=True, slots=True)
class _ItemList:
    """A list whose unreadable items are left out.

    Args:
        item_type: type of its items.
        needs_first: whether the message is refused without the first item.

    """

    item_type: type[Any]
    needs_first: bool = False


_LISTS: Mapping[type[Any], Mapping[str, _ItemList]] = MappingProxyType(
    {
        Exchange: {
            # The first one is that of the sender.
            'beats': _ItemList(MemberBeat, needs_first=True),
            'proofs': _ItemList(LeadProof),
            'commits': _ItemList(CommitReport),
            'acknowledged': _ItemList(AcknowledgedReport),
        },
        MembersReply: {'beats': _ItemList(MemberBeat)},
        ProbeRequest: {'beats': _ItemList(MemberBeat)},
        ProbeReply: {'beats': _ItemList(MemberBeat)},
        ProofReply: {'proofs': _ItemList(LeadProof)},
        EntriesReply: {'entries': _ItemList(EndpointEntryReport)},
    }
)


def decode_message(document: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode a message of another node.

    Args:
        document: the message as JSON.
        message_type: type of the message.

    Returns:
        The message without the items that cannot be read; an entry of which
        only the name can be read counts as removed.

    Raises:
        UnreadableJsonError: the message cannot be read, or an exchange does not
            tell its sender.

    """
    lists = _LISTS.get(message_type)
    if lists is None:
        return decode_json(document, message_type)
    try:
        return decode_json(document, message_type)
    except UnreadableJsonError:
        filtered = _without_unreadable(document, lists)
    return decode_json(filtered, message_type)


def _without_unreadable(
    document: bytes, lists: Mapping[str, _ItemList]
) -> bytes:
    fields = decode_json(document, dict[str, Raw])
    filtered = {
        name: Raw(_filter(fields[name], lists[name]))
        for name in fields.keys() & lists.keys()
    }
    return encode({**fields, **filtered})


def _filter(document: Raw, item_list: _ItemList) -> bytes:
    readable = [
        _read(each, item_list.item_type)
        for each in decode_json(document, list[Raw])
    ]
    if item_list.needs_first and readable and readable[0] is None:
        raise UnreadableJsonError('the first item is unreadable')
    return encode([each for each in readable if each is not None])


def _read(document: Raw, item_type: type[Any]) -> Any:
    try:
        return decode_json(document, item_type)
    except UnreadableJsonError:
        return _read_removed(document, item_type)


def _read_removed(
    document: Raw, item_type: type[Any]
) -> EndpointEntryReport | None:
    if item_type is not EndpointEntryReport:
        return None
    try:
        name = decode_json(document, _NamedEntry).endpoint
    except UnreadableJsonError:
        return None
    return EndpointEntryReport(endpoint=name, present=False)
