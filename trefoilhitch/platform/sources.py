"""The operators' declaration and the endpoints' entries as change sources."""

from typing import Generic, TypeVar

from trefoilhitch.decision_log import DecisionLog
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
    ChangeList,
    ObjectStoreClient,
    StoredObject,
)
from trefoilhitch.pooler.current_declaration import Declaration
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.pooler.object_watcher import Changes

# Characters of a failure that are logged.
MAX_DETAIL_CHARS = 200
_MS_PER_S = 1000
ItemT = TypeVar('ItemT')


class _ObjectSource(Generic[ItemT]):
    """Reads one kind of objects.

    Args:
        store: calls of the store.
        log: takes note of what cannot be read.

    """

    kind: str

    def __init__(self, store: ObjectStoreClient, log: DecisionLog) -> None:
        """Keep the store."""
        self._store = store
        self._log = log

    async def read_all(self, deadline: float) -> Changes[ItemT]:
        """Read all objects as they are now.

        Args:
            deadline: monotonic time.

        Returns:
            The objects.

        Raises:
            StoreUnavailableError: no answer.

        """
        return self._decode_changes(
            await self._store.list_kind(self.kind, deadline)
        )

    async def wait(
        self, revision: int, wait_s: float, deadline: float
    ) -> Changes[ItemT]:
        """Wait for changes after a revision, for a while.

        Args:
            revision: what is known.
            wait_s: how long the store waits.
            deadline: monotonic time.

        Returns:
            The changes.

        Raises:
            StoreHistoryGoneError: the objects have to be read again.
            StoreUnavailableError: no answer.

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
        if listed.unreadable:
            self._log.event(
                'objects_unreadable',
                listing=self.kind,
                number=listed.unreadable,
            )
        return Changes(present, tuple(absent), listed.revision)


class EndpointSource(_ObjectSource[EndpointRecord]):
    """Entries of endpoints; one that cannot be read hides no other."""

    kind = ENDPOINT_KIND

    def _decode_object(self, stored: StoredObject) -> EndpointRecord | None:
        try:
            return decode_entry(stored.meta.name, stored.spec)
        except UnreadableEntryError as exc:
            self._log.event('entry_ignored', detail=str(exc)[:MAX_DETAIL_CHARS])
            return None


class DeclarationSource(_ObjectSource[Declaration]):
    """The declaration in force."""

    kind = CONFIG_KIND

    def _decode_object(self, stored: StoredObject) -> Declaration | None:
        if stored.meta.name != CONFIG_NAME:
            return None
        try:
            return read_declaration(bytes(stored.spec).decode())
        except (UnreadableDeclarationError, UnicodeDecodeError) as exc:
            self._log.event(
                'declaration_ignored', detail=str(exc)[:MAX_DETAIL_CHARS]
            )
            return None


def read_declaration(document: str) -> Declaration:
    """Read a declaration.

    Args:
        document: JSON as the operator wrote it.

    Returns:
        The declaration with its text.

    Raises:
        UnreadableDeclarationError: it is not a declaration.

    """
    return Declaration(decode_declaration(document), document)
