"""The lease of one service, from its holder's side."""

from collections.abc import Callable
from dataclasses import replace

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.lease import (
    LEASE_DURATION_S,
    LEASE_MARGIN_S,
    LeaseRecord,
    ObservedLease,
    may_acquire,
    next_token,
)
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.store_era import StoreEra


class FailoverStoppedError(TrefoilhitchError):
    """A failover was given up."""


class HeldLease:
    """Acquires, updates and releases the lease of a service.

    Args:
        client: reads and writes leases.
        service: name of the service.
        node: name of this node.
        address: peer address of this node, at which other nodes ask whether
            the failover still runs; empty if they cannot.
        clock: seconds, on a clock that counts suspended time.
        store_era: era of the store.
        log: records each write of the lease.

    """

    def __init__(
        self,
        client: LeaseClient,
        *,
        service: str,
        node: str,
        address: str,
        clock: Callable[[], float],
        store_era: StoreEra,
        log: DecisionLog,
    ) -> None:
        """Start without the lease."""
        self.record = LeaseRecord()
        self._client = client
        self._service = service
        self._node = node
        self._address = address
        self._clock = clock
        self._store_era = store_era
        self._log = log
        self._expires_at = clock()

    async def acquire(self, seen: ObservedLease, attempt: str) -> None:
        """Acquire the lease under a new fencing token.

        Args:
            seen: the lease as this node last read it.
            attempt: unique id of the failover.

        Raises:
            FailoverStoppedError: another node holds the lease.
            StoreUnavailableError: the store did not answer.
            UnreadableLeaseError: another writer stored a lease that cannot be
                read.

        """
        era_seen_at = self._store_era.seen_at
        if not may_acquire(seen, self._node, self._clock(), era_seen_at):
            holder = seen.record.holder or 'an unknown node'
            raise FailoverStoppedError(f'{holder} may hold the lease')
        await self._write(
            replace(
                seen.record,
                token=next_token(seen.record),
                holder=self._node,
                address=self._address,
                attempt=attempt,
            )
        )

    async def record_candidate(self, endpoint: str) -> None:
        """Record in the lease which endpoint is about to be promoted.

        Args:
            endpoint: id of the endpoint.

        Raises:
            FailoverStoppedError: another node holds the lease.
            StoreUnavailableError: the store did not answer.
            UnreadableLeaseError: another writer stored a lease that cannot be
                read.

        """
        await self._write(replace(self.record, candidate=endpoint))

    async def raise_token(self) -> None:
        """Raise the fencing token.

        Raises:
            FailoverStoppedError: another node holds the lease.
            StoreUnavailableError: the store did not answer.
            UnreadableLeaseError: another writer stored a lease that cannot be
                read.

        """
        higher = next_token(self.record)
        await self._write(replace(self.record, token=higher))

    def ensure_valid(self) -> None:
        """Check that the lease is still held.

        Raises:
            FailoverStoppedError: the lease has expired, or the store may have
                lost it.

        """
        if not self.is_valid():
            raise FailoverStoppedError('the lease expired or was lost')

    def is_valid(self) -> bool:
        """Return whether the lease has neither expired nor been lost."""
        if self._store_era.current != self.record.era:
            return False
        return self._clock() < self._expires_at

    def record_promotion(self, primary: Primary) -> None:
        """Record a confirmed promotion, which the release will store.

        Args:
            primary: the new primary and its term.

        """
        self.record = replace(
            self.record, primary=primary.endpoint, term=primary.term
        )

    async def release(self, *, keep_candidate: bool) -> None:
        """Release the lease.

        Args:
            keep_candidate: whether an unanswered promotion command may still
                take effect.

        Raises:
            FailoverStoppedError: another node holds the lease.
            StoreUnavailableError: the store did not answer.
            UnreadableLeaseError: another writer stored a lease that cannot be
                read.

        """
        candidate = self.record.candidate if keep_candidate else ''
        await self._write(
            replace(self.record, holder='', address='', candidate=candidate)
        )

    async def _write(self, lease: LeaseRecord) -> None:
        sent_at = self._clock()
        stored = await self._client.write(self._service, lease)
        if stored is None:
            raise FailoverStoppedError('the lease was changed or lost')
        self.record = stored
        self._expires_at = sent_at + LEASE_DURATION_S - LEASE_MARGIN_S
        self._log.event(
            'lease_written',
            service=self._service,
            token=stored.token,
            candidate=stored.candidate,
            revision=stored.revision,
            era=stored.era,
        )
