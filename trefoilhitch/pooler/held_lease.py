"""The lease of one service, as its holder uses it."""

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
)
from trefoilhitch.pooler.lease_client import LeaseClient


class FailoverStoppedError(TrefoilhitchError):
    """A replacement of a lead was given up."""


class HeldLease:
    """Takes a lease, changes it step by step and gives it back.

    Args:
        client: reads and writes leases.
        service: service that it is for.
        node: name of this node.
        clock: seconds, on a clock that counts suspended time.
        log: takes note of each step.

    """

    def __init__(
        self,
        client: LeaseClient,
        *,
        service: str,
        node: str,
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Start without the lease."""
        self.record = LeaseRecord()
        self._client = client
        self._service = service
        self._node = node
        self._clock = clock
        self._log = log
        self._expires_at = clock()

    async def acquire(self, seen: ObservedLease, attempt: str) -> None:
        """Take the lease under a new token.

        Args:
            seen: the lease as this node saw it.
            attempt: unique mark of what it is taken for.

        Raises:
            SuccessionStoppedError: another node has it.
            StoreUnavailableError: the store did not answer.

        """
        if not may_acquire(seen, self._node, self._clock()):
            raise FailoverStoppedError(f'{seen.record.holder} has the lease')
        await self._write(
            replace(
                seen.record,
                token=seen.record.token + 1,
                holder=self._node,
                attempt=attempt,
            )
        )

    async def record_candidate(self, endpoint: str) -> None:
        """Write down which endpoint's promotion is about to be ordered.

        Args:
            endpoint: its id.

        Raises:
            SuccessionStoppedError: another node has the lease.
            StoreUnavailableError: the store did not answer.

        """
        await self._write(replace(self.record, candidate=endpoint))

    async def raise_token(self) -> None:
        """Take a higher token.

        Raises:
            SuccessionStoppedError: another node has the lease.
            StoreUnavailableError: the store did not answer.

        """
        higher = self.record.token + 1
        await self._write(replace(self.record, token=higher))

    def ensure_valid(self) -> None:
        """Make sure that the lease has not run out.

        Raises:
            SuccessionStoppedError: it has.

        """
        if self._clock() >= self._expires_at:
            raise FailoverStoppedError('the lease ran out')

    async def release(self, *, keep_candidate: bool) -> None:
        """Give the lease back.

        Args:
            keep_candidate: whether an order may still be carried out.

        Raises:
            SuccessionStoppedError: another node has the lease.
            StoreUnavailableError: the store did not answer.

        """
        candidate = self.record.candidate if keep_candidate else ''
        await self._write(replace(self.record, holder='', candidate=candidate))

    async def _write(self, lease: LeaseRecord) -> None:
        sent_at = self._clock()
        stored = await self._client.write(self._service, lease)
        if stored is None:
            raise FailoverStoppedError('the lease changed meanwhile')
        self.record = stored
        self._expires_at = sent_at + LEASE_DURATION_S - LEASE_MARGIN_S
        self._log.event(
            'lease_written',
            service=self._service,
            token=stored.token,
            candidate=stored.candidate,
            revision=stored.revision,
        )
