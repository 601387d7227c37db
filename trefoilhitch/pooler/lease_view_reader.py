"""Reads the leases through one node of each data centre, and these through one.

The store counts each call, so that only one node reads from it.
"""

from collections.abc import Callable

from trefoilhitch._generated.peer import (
    LeaseReport,
    LeaseViewReply,
    LeaseViewRequest,
    MemberBeat,
)
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.era_numbers import NO_ERA
from trefoilhitch.pooler.gateway_placement import rank_by_name
from trefoilhitch.pooler.lease import LeaseListing, LeaseRecord
from trefoilhitch.pooler.lease_observer import LeaseObserver, read_lease_view
from trefoilhitch.pooler.lease_view import LeaseView, is_idle
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.ports import LeaseStore

PEER_TIMEOUT_S = 0.3
# Oldest view that another node is given without reading the leases again.
MAX_SHARED_AGE_S = 0.2
# Stands for the holder of a lease that another node reported as not idle.
UNKNOWN_HOLDER = '?'
_MS_PER_S = 1000


class LeaseViewReader:
    """Reads the leases from the store, or from the node that reads them.

    Args:
        store: stores the leases.
        membership: the known nodes.
        client: sends requests to other nodes.
        clock: returns seconds on a clock that includes suspended time.
        asked: tells which nodes may be asked.

    """

    def __init__(
        self,
        *,
        store: LeaseStore,
        membership: MembershipView,
        client: PeerClient,
        clock: Callable[[], float],
        asked: PeerBackoff,
    ) -> None:
        """Store the dependencies."""
        self._asked = asked
        self._store = store
        self._membership = membership
        self._client = client
        self._clock = clock

    async def read(self, deadline: float) -> LeaseView:
        """Read the leases of all services.

        Args:
            deadline: monotonic time for the store's response.

        Returns:
            The view.

        Raises:
            StoreUnavailableError: neither the other node nor the store
                answered.

        """
        view = await self._read_from_peer()
        if view is not None:
            return view
        return await read_lease_view(self._store, self._clock, deadline)

    async def _read_from_peer(self) -> LeaseView | None:
        source = self._source()
        if source is None:
            return None
        sent_at = self._clock()
        reply = await self._client.request(
            source.address,
            'leases',
            LeaseViewRequest(),
            LeaseViewReply,
            timeout_s=PEER_TIMEOUT_S,
        )
        self._asked.record(source.node, answered=reply is not None)
        if reply is None or not reply.known:
            return None
        return LeaseView(
            sent_at - reply.age_ms / _MS_PER_S,
            LeaseListing(
                {
                    each.service: _read_report(each, reply.era)
                    for each in reply.leases
                },
                reply.era,
            ),
        )

    def _source(self) -> MemberBeat | None:
        """Return the node to ask, None if this one reads from the store."""
        own = self._membership.heartbeat
        reaching = [
            node for node in self._membership.live() if not node.store_lost
        ]
        local = [node for node in reaching if self._membership.is_near(node)]
        for node in rank_by_name('leases', local):
            if node.node == own.node:
                break
            if self._asked.may_ask(node.node):
                return node
        # Those ranked next would ask this node, so the store is read instead.
        first = rank_by_name('leases', reaching)[:1]
        for reader in first:
            if reader.node != own.node and self._asked.may_ask(reader.node):
                return reader
        return None


async def reply_with_view(
    observer: LeaseObserver, clock: Callable[[], float]
) -> LeaseViewReply:
    """Answer another node's request for a view.

    Args:
        observer: keeps the view of this node.
        clock: returns seconds on a clock that includes suspended time.

    Returns:
        The view, unknown if it is too old to be useful.

    """
    view = await observer.recent_view(MAX_SHARED_AGE_S)
    if view.is_expired(clock()):
        return LeaseViewReply(known=False)
    age_ms = int((clock() - view.observed_at) * _MS_PER_S) + 1
    reports = [
        LeaseReport(
            service=service,
            idle=is_idle(lease),
            outdated=not lease.belongs_to_era,
            primary=lease.primary,
            term=lease.term,
            address=lease.address,
            attempt=lease.attempt,
            candidate=lease.candidate,
        )
        for service, lease in view.listing.leases.items()
    ]
    return LeaseViewReply(age_ms=age_ms, era=view.listing.era, leases=reports)


def _read_report(report: LeaseReport, era: int) -> LeaseRecord:
    """Return what another node tells of a lease.

    It tells no token, so that a lease without one is of an earlier era.
    """
    holder = '' if report.idle else UNKNOWN_HOLDER
    return LeaseRecord(
        holder=holder,
        address=report.address,
        attempt=report.attempt,
        candidate=report.candidate,
        primary=report.primary,
        term=report.term,
        era=era if report.outdated else NO_ERA,
    )
