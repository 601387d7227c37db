"""Reads and writes leases, with retries when a response is lost.

A lease is written on the condition that the store still has the revision that
was read, in the same era, and it names the attempt that wrote it. A write whose
response was lost can therefore be looked up and retried: it takes effect at
most once, and a late one fails its condition.
"""

from trio import current_time, sleep

from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.lease import (
    LeaseRecord,
    is_same_version,
    same_content,
)
from trefoilhitch.pooler.ports import LeaseStore

# Time for all attempts of one call.
CALL_TIMEOUT_S = 1.5
# Time for one attempt. A slow store answers within it.
ATTEMPT_TIMEOUT_S = 0.45
# Least time between the starts of two attempts, also if one fails at once.
ATTEMPT_INTERVAL_S = 0.2


class LeaseClient:
    """Reads and writes leases.

    Args:
        store: stores the leases.

    """

    def __init__(self, store: LeaseStore) -> None:
        """Set the store of the leases."""
        self._store = store

    async def read(self, service: str) -> LeaseRecord:
        """Read a lease; one that does not exist has revision 0.

        Args:
            service: name of the service.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: no attempt was answered.

        """
        return await self._read(service, current_time() + CALL_TIMEOUT_S)

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
                service, lease, _attempt_deadline(deadline)
            )
        except StoreUnavailableError:
            await _pause(started_at, deadline)
            if current_time() >= deadline:
                raise
        return None

    async def _read(self, service: str, deadline: float) -> LeaseRecord:
        while True:
            started_at = current_time()
            try:
                return await self._store.read_lease(
                    service, _attempt_deadline(deadline)
                )
            except StoreUnavailableError:
                await _pause(started_at, deadline)
                if current_time() >= deadline:
                    raise


def _attempt_deadline(deadline: float) -> float:
    return min(deadline, current_time() + ATTEMPT_TIMEOUT_S)


async def _pause(started_at: float, deadline: float) -> None:
    pause_s = min(started_at + ATTEMPT_INTERVAL_S, deadline) - current_time()
    if pause_s > 0:
        await sleep(pause_s)
