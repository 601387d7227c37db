"""Change sources of what operators and endpoints write."""

from typing import Generic, TypeVar

from trefoilhitch.platform.declarations import (
    UnreadableDeclarationError,
    decode_declaration,
)
from trefoilhitch.platform.endpoint_entry import (
    UnreadableEntryError,
    decode_entry,
)
from trefoilhitch.platform.object_store import (
    CONFIG_KIND,
    CONFIG_NAME,
    ENDPOINT_KIND,
    EVACUATION_KIND,
    ObjectStoreClient,
)
from trefoilhitch.platform.stored_objects import ChangeList, StoredObject
from trefoilhitch.platform.unreadable_reporter import UnreadableReporter
from trefoilhitch.pooler.current_declaration import Declaration
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.object_watcher import Changes

_MS_PER_S = 1000
ItemT = TypeVar('ItemT')


class _ObjectSource(Generic[ItemT]):
    """Reads and watches the objects of one kind.

    Args:
        store: client of the store.
        unreadable: records objects that cannot be decoded.

    """

    kind: str

    def __init__(
        self, store: ObjectStoreClient, unreadable: UnreadableReporter
    ) -> None:
        """Initialise with the store's client and the reporter."""
        self._store = store
        self._unreadable = unreadable

    async def read_all(self, deadline: float) -> Changes[ItemT]:
        """Read all current objects.

        Args:
            deadline: monotonic time in seconds.

        Returns:
            The objects.

        Raises:
            StoreUnavailableError: no valid response.

        """
        return self._decode_changes(
            await self._store.list_kind(self.kind, deadline)
        )

    async def wait(
        self, revision: int, wait_s: float, deadline: float
    ) -> Changes[ItemT]:
        """Wait for changes after a revision.

        Args:
            revision: latest revision that the caller has seen.
            wait_s: how long the store waits for a change, in seconds.
            deadline: monotonic time in seconds.

        Returns:
            The changes, possibly none.

        Raises:
            StoreHistoryGoneError: the store no longer has the changes since
                that revision; all objects have to be read again.
            StoreUnavailableError: no valid response.

        """
        wait_ms = int(wait_s * _MS_PER_S)
        return self._decode_changes(
            await self._store.watch(self.kind, revision, wait_ms, deadline)
        )

    def _decode_object(self, stored: StoredObject) -> ItemT | None:
        raise NotImplementedError

    def _decode_changes(self, listed: ChangeList) -> Changes[ItemT]:
        present: dict[str, ItemT] = {}
        absent: dict[str, None] = {}
        for change in listed.changes:
            name = change.stored.meta.name
            decoded = (
                None if change.removed else self._decode_object(change.stored)
            )
            present.pop(name, None)
            absent.pop(name, None)
            if decoded is None:
                absent[name] = None
            else:
                present[name] = decoded
        if listed.nameless:
            self._unreadable.record_nameless(self.kind, listed.nameless)
        return Changes(present, tuple(absent), listed.revision, listed.era)


class EndpointSource(_ObjectSource[EndpointRecord]):
    """Reads endpoints' entries; logs an invalid one and omits it."""

    kind = ENDPOINT_KIND

    def _decode_object(self, stored: StoredObject) -> EndpointRecord | None:
        try:
            return decode_entry(stored.meta.name, stored.spec)
        except UnreadableEntryError as exc:
            self._unreadable.record(
                'entry_ignored', self.kind, stored.meta.name, exc
            )
            return None


class EvacuationSource(_ObjectSource[str]):
    """Reads which data centres are evacuated; only names matter."""

    kind = EVACUATION_KIND

    def _decode_object(self, stored: StoredObject) -> str:
        return stored.meta.name


class DeclarationSource(_ObjectSource[Declaration]):
    """Reads the declaration in force."""

    kind = CONFIG_KIND

    def _decode_object(self, stored: StoredObject) -> Declaration | None:
        if stored.meta.name != CONFIG_NAME:
            return None
        try:
            return read_declaration(bytes(stored.spec).decode())
        except (UnreadableDeclarationError, UnicodeDecodeError) as exc:
            self._unreadable.record(
                'declaration_ignored', self.kind, stored.meta.name, exc
            )
            return None


def read_declaration(document: str) -> Declaration:
    """Decode a declaration.

    Args:
        document: JSON as the operator wrote it.

    Returns:
        The declaration with its text.

    Raises:
        UnreadableDeclarationError: document is not a valid declaration.

    """
    return Declaration(decode_declaration(document), document)
