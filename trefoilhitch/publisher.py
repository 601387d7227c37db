"""Publishes configurations: bundles by content, and one head object."""

from dataclasses import dataclass
from hashlib import sha256

from msgspec.json import decode, encode

from trefoilhitch._generated.store import Bundle, Head
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config_sync import (
    BUNDLE_OBJECT_NAME,
    HEAD_OBJECT_NAME,
    read_head,
)
from trefoilhitch.errors import (
    StoreConflictError,
    StoreUnavailableError,
    TrefoilhitchError,
)
from trefoilhitch.store import ObjectStore

STORE_TIMEOUT_MS = 5000
APPLY_ATTEMPTS = 3


class RevisionConflictError(TrefoilhitchError):
    """Another operator's configuration came into force first.

    Args:
        base: revision that the operator looked at.
        current: revision that is in force.
        operator: who applied that one.

    """

    def __init__(self, *, base: int, current: int, operator: str) -> None:
        """Keep what the operator is told."""
        super().__init__(
            f'revision {current} by {operator} is in force, not {base}'
        )
        self.base = base
        self.current = current
        self.operator = operator


class OutcomeUnknownError(TrefoilhitchError):
    """The store gave no answer; the change may be in force."""


@dataclass(frozen=True, slots=True)
class PublishedConfig:
    """The configuration that is in force.

    Args:
        head: the head object.
        version: version of the head object.
        bundle: the configuration.

    """

    head: Head
    version: int
    bundle: Bundle


class Publisher:
    """Reads and replaces the configuration in the store.

    Args:
        store: the object API.

    """

    def __init__(self, store: ObjectStore) -> None:
        """Keep the store."""
        self._store = store

    async def current(self) -> PublishedConfig:
        """Return the configuration that is in force.

        Returns:
            It; revision 0 and an empty bundle before the first.

        Raises:
            StoreUnavailableError: the store gave no answer.

        """
        deadline = deadline_after_ms(STORE_TIMEOUT_MS)
        stored = await self._store.get(HEAD_OBJECT_NAME, deadline)
        head = read_head(stored)
        if not head.revision:
            return PublishedConfig(head, stored.version, Bundle())
        name = BUNDLE_OBJECT_NAME.format(digest=head.bundle)
        body = await self._store.get(name, deadline)
        return PublishedConfig(
            head, stored.version, decode(body.body, type=Bundle)
        )

    async def apply(self, bundle: Bundle, *, base: int, operator: str) -> Head:
        """Put a configuration in force, all of it or nothing.

        Args:
            bundle: the configuration.
            base: revision that the operator looked at.
            operator: who applies it.

        Returns:
            The new head.

        Raises:
            RevisionConflictError: another revision is in force.
            OutcomeUnknownError: the store gave no answer.
            StoreTooLargeError: the bundle is larger than an object may be.

        """
        body = encode(bundle).decode()
        digest = sha256(body.encode()).hexdigest()
        head = Head(revision=base + 1, bundle=digest, operator=operator)
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
