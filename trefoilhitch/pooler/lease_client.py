"""Reads and writes leases, with retries when a response is lost.

A lease is written on the condition that the store still has the revision that
was read, in the same era, and it names the attempt that wrote it. A write whose
response was lost can therefore be looked up and retried: it takes effect at
most once, and a late one fails its condition.
"""

from collections.abc import Callable
from functools import partial

from trio import current_time

from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.lease import (
    LeaseRecord,
    is_same_version,
    same_content,
)
from trefoilhitch.pooler.ports import LeaseStore
from trefoilhitch.pooler.store_retry import (
    attempt_deadline,
    pause,
    read_with_retries,
)

# Time for all attempts of one call.
CALL_TIMEOUT_S = 1.5


class LeaseClient:
    """Reads and writes leases.

    Args:
        store: stores the leases.

    """

    def __init__(self, store: LeaseStore) -> None:
        """Set the store of the leases."""
        self._store = store

    async def read(
        self, service: str, on_failure: Callable[[], None] | None = None
    ) -> LeaseRecord:
        """Read a lease; one that does not exist has revision 0.

        Args:
            service: name of the service.
            on_failure: called after each attempt without an answer.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: no attempt was answered.
            UnreadableLeaseError: the content of the lease cannot be read.

        """
        deadline = current_time() + CALL_TIMEOUT_S
        read = partial(self._store.read_lease, service)
        if on_failure is None:
            return await read_with_retries(read, deadline)
        return await read_with_retries(read, deadline, on_failure)

    async def write(
        self, service: str, lease: LeaseRecord
    ) -> LeaseRecord | None:
        """Write a lease if the store still has its revision and its era.

        Args:
            service: name of the service.
            lease: the lease; its revision is the one to replace.

        Returns:
            The lease as stored, or None if another node changed it or the
            store was restored.

        Raises:
            StoreUnavailableError: no attempt was answered; the lease may still
                be written.
            UnreadableLeaseError: a response was lost, and the lease that is
                stored now cannot be read.

        """
        deadline = current_time() + CALL_TIMEOUT_S
        while True:
            stored = await self._attempt_write(service, lease, deadline)
            if stored is not None:
                return stored
            current = await self._read(service, deadline)
            if same_content(current, lease):
                return current
            if not is_same_version(current, lease):
                return None

    async def _attempt_write(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Write once; return the lease if it is known to be stored."""
        started_at = current_time()
        try:
            return await self._store.write_lease(
                service, lease, attempt_deadline(deadline)
            )
        except StoreUnavailableError:
            await pause(started_at, deadline)
            if current_time() >= deadline:
                raise
        return None

    async def _read(self, service: str, deadline: float) -> LeaseRecord:
        return await read_with_retries(
            partial(self._store.read_lease, service), deadline
        )
