"""Publishes configurations: content-addressed bundles and one head object."""

from dataclasses import dataclass

from msgspec.json import encode

from trefoilhitch._generated.store import Bundle, Head
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import BundleError
from trefoilhitch.config_sync import read_head
from trefoilhitch.errors import (
    StoreConflictError,
    StoreUnavailableError,
    TrefoilhitchError,
)
from trefoilhitch.head_repair import (
    BUNDLE_OBJECT_NAME,
    HEAD_OBJECT_NAME,
    bundle_digest,
)
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.store import ObjectStore

STORE_TIMEOUT_MS = 5000
APPLY_ATTEMPTS = 3


class RevisionConflictError(TrefoilhitchError):
    """Another operator applied a configuration first.

    Args:
        base: revision that this operator's change is based on.
        current: revision in force.
        operator: name of the operator who applied the current revision.

    """

    def __init__(self, *, base: int, current: int, operator: str) -> None:
        """Build the message for the operator."""
        super().__init__(
            f'revision {current} by {operator} is in force, not {base}'
        )
        self.base = base
        self.current = current
        self.operator = operator


class OutcomeUnknownError(TrefoilhitchError):
    """The store did not respond; the change may be in force."""


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """The configuration in force.

    Args:
        head: decoded head object.
        version: version of the head object.
        bundle: configuration that the head names.

    """

    head: Head
    version: int
    bundle: Bundle


class Publisher:
    """Reads and replaces the configuration in the store.

    Args:
        store: stores the head and the bundles.

    """

    def __init__(self, store: ObjectStore) -> None:
        """Store the collaborator."""
        self._store = store

    async def current(self) -> PublishedConfig:
        """Return the configuration in force.

        Returns:
            The configuration; revision 0 and an empty bundle if none was
            applied yet.

        Raises:
            StoreUnavailableError: the store did not respond.
            BundleError: the head or the bundle cannot be decoded.

        """
        deadline = deadline_after_ms(STORE_TIMEOUT_MS)
        stored = await self._store.get(HEAD_OBJECT_NAME, deadline)
        head = read_head(stored)
        if not head.revision:
            return PublishedConfig(head, stored.version, Bundle())
        name = BUNDLE_OBJECT_NAME.format(digest=head.bundle)
        stored_bundle = await self._store.get(name, deadline)
        try:
            bundle = decode_json(stored_bundle.body, Bundle)
        except UnreadableJsonError as exc:
            raise BundleError(f'revision {head.revision}: {exc}') from exc
        return PublishedConfig(head, stored.version, bundle)

    async def apply(self, bundle: Bundle, *, base: int, operator: str) -> Head:
        """Apply a configuration atomically.

        Args:
            bundle: whole configuration.
            base: revision that the change is based on.
            operator: name of the operator.

        Returns:
            The new head.

        Raises:
            RevisionConflictError: another revision is in force.
            OutcomeUnknownError: the store did not respond.
            StoreTooLargeError: the bundle exceeds the store's object size.

        """
        body = encode(bundle).decode()
        head = Head(
            revision=base + 1, bundle=bundle_digest(body), operator=operator
        )
        for _ in range(APPLY_ATTEMPTS):
            try:
                return await self._attempt_apply(head, body)
            except StoreUnavailableError as exc:
                failure = exc
        raise OutcomeUnknownError(str(failure))

    async def _attempt_apply(self, head: Head, body: str) -> Head:
        deadline = deadline_after_ms(STORE_TIMEOUT_MS)
        stored = await self._store.get(HEAD_OBJECT_NAME, deadline)
        current = read_head(stored)
        if current == head:
            return head
        if current.revision != head.revision - 1:
            raise _conflict(head, current)
        name = BUNDLE_OBJECT_NAME.format(digest=head.bundle)
        await self._store.put(name, body, None, deadline)
        try:
            await self._store.put(
                HEAD_OBJECT_NAME,
                encode(head).decode(),
                stored.version,
                deadline,
            )
        except StoreConflictError:
            stored_head = read_head(
                await self._store.get(HEAD_OBJECT_NAME, deadline)
            )
            if stored_head != head:
                raise _conflict(head, stored_head) from None
        return head


def _conflict(head: Head, current: Head) -> RevisionConflictError:
    return RevisionConflictError(
        base=head.revision - 1,
        current=current.revision,
        operator=current.operator,
    )
