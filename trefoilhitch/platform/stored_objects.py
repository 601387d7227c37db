"""Decodes the store's answers; an unreadable object hides no other one."""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec import Raw, Struct, field

from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.json_members import split_array, split_object
from trefoilhitch.platform._generated.platform import ObjectMeta

_NULL = b'null'
_DEFAULT_FLAG = b'false'
_MISSING = b''


class StoredObject(Struct, frozen=True, kw_only=True):
    """An object of the store, identified by its kind and name.

    Args:
        meta: its name and revision.
        spec: its content as JSON, not yet decoded; it may be malformed.

    """

    meta: ObjectMeta
    spec: Raw = Raw(_NULL)


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """A change of one object.

    Args:
        stored: the object.
        removed: whether it was removed.

    """

    stored: StoredObject
    removed: bool = False


@dataclass(frozen=True, slots=True)
class ChangeList:
    """Objects or changes of one kind up to a revision.

    Args:
        changes: the objects or changes whose names could be decoded.
        revision: the store's revision.
        era: era of the store.
        nameless: number of objects whose names could not be decoded.

    """

    changes: tuple[ObjectChange, ...]
    revision: int
    era: int
    nameless: int = 0


@dataclass(frozen=True, slots=True)
class DecodedPage:
    """One answer to a listing or a watch.

    Args:
        changes: the objects or changes whose names could be decoded.
        nameless: number of the others.
        revision: the store's revision.
        has_more: whether the listing goes on.

    """

    changes: tuple[ObjectChange, ...]
    nameless: int
    revision: int
    has_more: bool = False


class _Page(Struct, frozen=True, kw_only=True):
    listed: list[Raw] = field(name='items')
    has_more: bool = False
    current_rev: int


class _Event(Struct, frozen=True, kw_only=True):
    object: Raw
    tombstone: bool = False


class _Events(Struct, frozen=True, kw_only=True):
    events: list[_Event]
    current_rev: int


def decode_page(body: bytes) -> DecodedPage:
    """Decode one page of a listing.

    Args:
        body: body of the store's answer.

    Returns:
        The page.

    Raises:
        UnreadableJsonError: the page itself is malformed, not just an object.

    """
    try:
        page = decode_json(body, _Page)
    except UnreadableJsonError:
        page = _split_page(body)
    changes = [_decode_change(raw, removed=False) for raw in page.listed]
    return _make_page(changes, page.current_rev, has_more=page.has_more)


def decode_events(body: bytes) -> DecodedPage:
    """Decode the answer to a watch.

    Args:
        body: body of the store's answer.

    Returns:
        The changes.

    Raises:
        UnreadableJsonError: the answer itself is malformed, not just an
            object.

    """
    try:
        answer = decode_json(body, _Events)
    except UnreadableJsonError:
        answer = _split_events(body)
    changes = [
        _decode_change(event.object, removed=event.tombstone)
        for event in answer.events
    ]
    return _make_page(changes, answer.current_rev)


def decode_object(document: bytes | Raw) -> StoredObject:
    """Decode an object of the store.

    Args:
        document: JSON.

    Returns:
        The object; its content may still be malformed.

    Raises:
        UnreadableJsonError: its name or revision cannot be decoded.

    """
    try:
        return decode_json(document, StoredObject)
    except UnreadableJsonError:
        members = split_object(bytes(document))
    return StoredObject(
        meta=decode_json(members.get('meta', _MISSING), ObjectMeta),
        spec=Raw(members.get('spec', _NULL)),
    )


def _decode_change(raw: Raw, *, removed: bool) -> ObjectChange | None:
    try:
        return ObjectChange(decode_object(raw), removed)
    except UnreadableJsonError:
        return None


def _make_page(
    decoded: Iterable[ObjectChange | None],
    revision: int,
    *,
    has_more: bool = False,
) -> DecodedPage:
    all_changes = tuple(decoded)
    changes = tuple(each for each in all_changes if each is not None)
    nameless = len(all_changes) - len(changes)
    return DecodedPage(changes, nameless, revision, has_more)


def _split_page(body: bytes) -> _Page:
    members = split_object(body)
    listed = split_array(members.get('items', _MISSING))
    return _Page(
        listed=[Raw(each) for each in listed],
        has_more=decode_json(members.get('has_more', _DEFAULT_FLAG), bool),
        current_rev=decode_json(members.get('current_rev', _MISSING), int),
    )


def _split_events(body: bytes) -> _Events:
    members = split_object(body)
    events = split_array(members.get('events', _MISSING))
    return _Events(
        events=[_split_event(each) for each in events],
        current_rev=decode_json(members.get('current_rev', _MISSING), int),
    )


def _split_event(document: bytes) -> _Event:
    members = split_object(document)
    return _Event(
        object=Raw(members.get('object', _MISSING)),
        tombstone=decode_json(members.get('tombstone', _DEFAULT_FLAG), bool),
    )
