"""Repairs the head of the configuration after the store was restored.

A store that comes back from an older copy has lost the newest changes, and the
next change may get a revision that nodes have with another bundle.
"""

from enum import Enum
from hashlib import sha256

from msgspec.json import encode

from trefoilhitch._generated.store import Head
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import Config
from trefoilhitch.store import ObjectStore

HEAD_OBJECT_NAME = 'config/head'
BUNDLE_OBJECT_NAME = 'config/bundles/{digest}'
WRITE_TIMEOUT_MS = 2000


class HeadState(Enum):
    """How a head in the store compares with a node's configuration."""

    NEWER = 'newer'
    CURRENT = 'current'
    # The store has lost the configuration that the node has in force.
    LOST = 'lost'
    # Another change got the same revision after the loss.
    REPLACED = 'replaced'


def bundle_digest(body: str) -> str:
    """Return the digest under which a bundle is stored.

    Args:
        body: JSON of the bundle.

    """
    return sha256(body.encode()).hexdigest()


def compare_head(head: Head, current: Config) -> HeadState:
    """Compare the head in the store with the configuration in force.

    Args:
        head: head as the store has it.
        current: configuration in force on this node.

    Returns:
        How they differ.

    """
    if head.revision > current.revision:
        return HeadState.NEWER
    if head.revision < current.revision:
        return HeadState.LOST
    if current.revision and head.bundle != bundle_digest(current.body):
        return HeadState.REPLACED
    return HeadState.CURRENT


async def write_lost_head(
    store: ObjectStore, current: Config, version: int
) -> None:
    """Write the configuration in force again.

    Args:
        store: stores the head and the bundles.
        current: configuration in force on this node.
        version: version of the head that is replaced.

    Raises:
        StoreConflictError: another writer changed the head first.
        StoreUnavailableError: the store did not respond.

    """
    deadline = deadline_after_ms(WRITE_TIMEOUT_MS)
    digest = bundle_digest(current.body)
    name = BUNDLE_OBJECT_NAME.format(digest=digest)
    await store.put(name, current.body, None, deadline)
    head = Head(revision=current.revision, bundle=digest)
    await _write_head(store, head, version, deadline)


async def raise_head(store: ObjectStore, head: Head, version: int) -> None:
    """Give the next revision to a change whose revision was used before.

    Args:
        store: stores the head.
        head: head as the store has it.
        version: its version.

    Raises:
        StoreConflictError: another writer changed the head first.
        StoreUnavailableError: the store did not respond.

    """
    raised = Head(
        revision=head.revision + 1, bundle=head.bundle, operator=head.operator
    )
    deadline = deadline_after_ms(WRITE_TIMEOUT_MS)
    await _write_head(store, raised, version, deadline)


async def _write_head(
    store: ObjectStore, head: Head, version: int, deadline: float
) -> None:
    body = encode(head).decode()
    await store.put(HEAD_OBJECT_NAME, body, version, deadline)
