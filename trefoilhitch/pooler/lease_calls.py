"""Calls of the store that keeps leases, repeated when an answer is lost.

A lease is written under the condition that the store still has the revision
that was read, and it names the attempt that wrote it. So a write whose answer
was lost can be looked for and repeated: it takes effect at most once, and a
late one fails by its condition.
"""

from trio import current_time, sleep

from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.lease import LeaseRecord, same_content
from trefoilhitch.pooler.ports import LeaseStore

# Time for all tries of one call.
CALL_TIMEOUT_S = 1.5
# Time for one try. A store that is slow answers within it.
TRY_TIMEOUT_S = 0.45
# Pause after a try that failed at once.
TRY_PAUSE_S = 0.2


class LeaseCalls:
    """Reads and writes leases.

    Args:
        leases: keeps leases.

    """

    def __init__(self, leases: LeaseStore) -> None:
        """Keep the store."""
        self._leases = leases

    async def read(self, service: str) -> LeaseRecord:
        """Read a lease; one that does not exist has revision 0.

        Args:
            service: service that it is for.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: no answer to any try.

        """
        return await self._read(service, current_time() + CALL_TIMEOUT_S)

    async def write(
        self, service: str, lease: LeaseRecord
    ) -> LeaseRecord | None:
        """Write a lease if the store still has the revision it names.

        Args:
            service: service that it is for.
            lease: the lease; its revision is the one to replace.

        Returns:
            The lease as stored, None if someone else changed it.

        Raises:
            StoreUnavailableError: no answer to any try; it may still be
                written.

        """
        deadline = current_time() + CALL_TIMEOUT_S
        while True:
            stored = await self._try_to_write(service, lease, deadline)
            if stored is not None:
                return stored
            present = await self._read(service, deadline)
            if same_content(present, lease):
                return present
            if present.revision != lease.revision:
                return None

    async def _try_to_write(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Return the lease if it is known to be written."""
        began = current_time()
        try:
            return await self._leases.write_lease(
                service, lease, _try_deadline(deadline)
            )
        except StoreUnavailableError:
            await _pause(began, deadline)
            if current_time() >= deadline:
                raise
        return None

    async def _read(self, service: str, deadline: float) -> LeaseRecord:
        while True:
            began = current_time()
            try:
                return await self._leases.read_lease(
                    service, _try_deadline(deadline)
                )
            except StoreUnavailableError:
                await _pause(began, deadline)
                if current_time() >= deadline:
                    raise


def _try_deadline(deadline: float) -> float:
    return min(deadline, current_time() + TRY_TIMEOUT_S)


async def _pause(began: float, deadline: float) -> None:
    rest_s = min(began + TRY_PAUSE_S, deadline) - current_time()
    if rest_s > 0:
        await sleep(rest_s)
