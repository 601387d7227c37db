"""The leases as this node has read them, and whether their attempts run."""

import math
from collections.abc import Callable
from dataclasses import replace

from trefoilhitch._generated.peer import (
    LeaseAttemptReply,
    LeaseAttemptRequest,
)
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.lease import (
    ObservedLease,
    is_same_version,
    may_acquire,
    may_ask_holder,
)
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.store_era import StoreEra

# Longest time for the holder's answer. A lease whose holder does not answer
# counts as held, as if it had not been asked.
HOLDER_TIMEOUT_S = 0.3
# Least time between two requests to holders of the lease of one service.
HOLDER_QUERY_INTERVAL_S = 0.5


class SeenLeases:
    """Reads leases and remembers when each revision was first read.

    Args:
        leases: reads leases from the store.
        client: sends requests to other nodes.
        node: name of this node.
        address: peer address of this node.
        clock: returns seconds on a clock that includes suspended time.
        store_era: era of the store.
        log: records leases whose holder does not run the attempt any more.

    """

    def __init__(
        self,
        *,
        leases: LeaseClient,
        client: PeerClient,
        node: str,
        address: str,
        clock: Callable[[], float],
        store_era: StoreEra,
        log: DecisionLog,
    ) -> None:
        """Start without known leases."""
        self._leases = leases
        self._client = client
        self._node = node
        self._address = address
        self._clock = clock
        self._store_era = store_era
        self._log = log
        self._seen: dict[str, ObservedLease] = {}
        self._next_query_at: dict[str, float] = {}

    async def read(
        self, service: str, on_failure: Callable[[], None]
    ) -> ObservedLease:
        """Read the lease of a service.

        Args:
            service: service name.
            on_failure: called after each attempt without an answer.

        Returns:
            The lease, and when its revision was first read.

        Raises:
            StoreUnavailableError: no attempt was answered.
            UnreadableLeaseError: the content of the lease cannot be read.

        """
        record = await self._leases.read(service, on_failure=on_failure)
        known = self._seen.get(service)
        if known is None or not is_same_version(known.record, record):
            known = ObservedLease(record, self._clock())
            self._seen[service] = known
        return known

    async def read_for_failover(
        self, service: str, on_failure: Callable[[], None]
    ) -> ObservedLease:
        """Read a lease; if another node holds it, ask whether its attempt runs.

        Args:
            service: service name.
            on_failure: called after each attempt without an answer.

        Returns:
            The lease, marked if its attempt has ended.

        Raises:
            StoreUnavailableError: no attempt was answered.
            UnreadableLeaseError: the content of the lease cannot be read.

        """
        seen = await self.read(service, on_failure)
        if not self._should_ask(service, seen):
            return seen
        self._next_query_at[service] = self._clock() + HOLDER_QUERY_INTERVAL_S
        if not await self._request_denial(seen):
            return seen
        ended = replace(seen, has_ended=True)
        if self._seen.get(service) is seen:
            self._seen[service] = ended
        self._log.event(
            'lease_holder_ended',
            service=service,
            holder=seen.record.holder,
            attempt=seen.record.attempt,
            revision=seen.record.revision,
        )
        return ended

    def _should_ask(self, service: str, seen: ObservedLease) -> bool:
        now = self._clock()
        if may_acquire(seen, self._node, now, self._store_era.seen_at):
            return False
        next_query_at = self._next_query_at.get(service, -math.inf)
        return may_ask_holder(
            seen, self._node, self._address, now, next_query_at
        )

    async def _request_denial(self, seen: ObservedLease) -> bool:
        """Ask the holder; return whether it denies the attempt."""
        reply = await self._client.request(
            seen.record.address,
            'lease_attempt',
            LeaseAttemptRequest(
                node=seen.record.holder, attempt=seen.record.attempt
            ),
            LeaseAttemptReply,
            timeout_s=HOLDER_TIMEOUT_S,
        )
        return reply is not None and not reply.running
